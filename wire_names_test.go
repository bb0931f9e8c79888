package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// platformNames match the names of the users' platform on the wire; only the folder platform/ and the stand-in of the
// platform may hold them.
var platformNames = regexp.MustCompile(`X-Gypsumbank-(Request-Id|Deadline|Prompt|Response|Expect|Not-Executed|Instance|Model|Token|Request-Priority|Weight|Pin|Hold|Length|Kv)|/-/(rows|blob|kv|hold|order|report)|Kv-(From|Fetch)|GYPSUMBANK_BOOT|"(routeKind|targetLatencyMs|coldRemainingMs|maxAttempts|atHand|inMemory|onDisk|adapterSlots|kvTotal|kvUsed|gapAimMs|loadsPerS)"`)

func TestPlatformNamesStayInTheirFolder(t *testing.T) {
	found := map[string]bool{}
	err := filepath.WalkDir(".", func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (path == ".git" || path == "target" || path == "bin" || path == "platform" || path == filepath.Join("standin", "site")) {
			if path == "platform" {
				found[path] = true
			}
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if name := platformNames.Find(data); name != nil {
			t.Errorf("%s holds %q", path, name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if !found["platform"] {
		t.Error("the folder platform/ was not met")
	}
	data, err := os.ReadFile(filepath.Join("platform", "headers.go"))
	if err != nil || !platformNames.Match(data) {
		t.Errorf("the pattern does not match the platform's own headers: %v", err)
	}
}
