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

// commentedDefault matches a commented-out key, which an example shows with its default.
var commentedDefault = regexp.MustCompile(`(?m)^;([a-z-]+ = )`)

// TestExamplesAreValid parses each example as it is and with its commented-out defaults enabled.
func TestExamplesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../examples/*.ini")
	if err != nil || len(paths) < 6 {
		t.Fatalf("found examples %v, error %v; want at least 6", paths, err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := parseFile(path, data); err != nil {
				t.Error(err)
			}
			if err := parseFile(path, commentedDefault.ReplaceAll(data, []byte("$1"))); err != nil {
				t.Error(err)
			}
		})
	}
}

func parseFile(path string, data []byte) error {
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

// FuzzFiles checks that every parse error of a settings file, plans or allowances wraps inifile.ErrInvalid.
func FuzzFiles(f *testing.F) {
	for _, seed := range []string{"[node]\nname = a\n", "version = 1\n[plan a]\nmodels = *\n", "[customer a]\nkey-sha256 = 00\n", "[a]\n[a]\n", "=\n[", "x = \"\"\"\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		for _, path := range []string{"plans.ini", "allowances.ini", "node.ini"} {
			if err := parseFile(path, []byte(text)); err != nil && !errors.Is(err, inifile.ErrInvalid) {
				t.Errorf("%s: error %v does not wrap ErrInvalid", path, err)
			}
		}
	})
}
