package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"gypsumbank/allowance"
	"gypsumbank/inifile"
	"gypsumbank/plan"
	"gypsumbank/settings"
)

// defaultKey matches a key that an example shows with its default in a comment.
var defaultKey = regexp.MustCompile(`(?m)^;([a-z-]+ = )`)

func TestExamplesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../examples/*.ini")
	if err != nil || len(paths) < 6 {
		t.Fatalf("examples: %v, %v", paths, err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := parse(path, data); err != nil {
				t.Error(err)
			}
			if err := parse(path, defaultKey.ReplaceAll(data, []byte("$1"))); err != nil {
				t.Error(err)
			}
		})
	}
}

func parse(path string, data []byte) error {
	var err error
	switch filepath.Base(path) {
	case "plans.ini":
		_, err = plan.New(path, data)
	case "allowances.ini":
		_, err = allowance.New(path, data)
	default:
		_, err = settings.New(path, data)
	}
	return err
}

func FuzzFiles(f *testing.F) {
	for _, seed := range []string{"[node]\nname = a\n", "version = 1\n[plan a]\nmodels = *\n", "[customer a]\nkey-sha256 = 00\n", "[a]\n[a]\n", "=\n[", "x = \"\"\"\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		for _, path := range []string{"plans.ini", "allowances.ini", "node.ini"} {
			if err := parse(path, []byte(text)); err != nil && !errors.Is(err, inifile.ErrInvalid) {
				t.Errorf("%s: %v does not wrap ErrInvalid", path, err)
			}
		}
	})
}
