package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// platformNamePattern matches names that the users' platform gives to headers, paths and fields on the wire. Only the folder
// platform/ and the stand-in for the platform, standin/site/, may contain them.
var platformNamePattern = regexp.MustCompile(`X-Gypsumbank-(Request-Id|Deadline|Prompt|Response|Expect|Not-Executed|Instance|Model|Token|Request-Priority|Weight|Pin|Hold|Length|Kv|Tenant)|/-/(rows|blob|kv|hold|order|report)|Kv-(From|Fetch)|GYPSUMBANK_BOOT|"(routeKind|targetLatencyMs|coldRemainingMs|maxAttempts|atHand|inMemory|onDisk|adapterSlots|kvTotal|kvUsed|gapAimMs|loadsPerS|tenants|apiKeys|ratePerS|plainTokens|token_budget)"`)

// TestPlatformNamesStayInTheirFolder checks that no other Go file outside of tests contains a wire name of the platform.
func TestPlatformNamesStayInTheirFolder(t *testing.T) {
	t.Parallel()
	visited := map[string]bool{}
	err := filepath.WalkDir(".", func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (path == ".git" || path == "target" || path == "bin" || path == "platform" || path == filepath.Join("standin", "site")) {
			if path == "platform" {
				visited[path] = true
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
		if name := platformNamePattern.Find(data); name != nil {
			t.Errorf("%s contains the platform's wire name %q", path, name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if !visited["platform"] {
		t.Error("the walk did not visit the folder platform/")
	}
	data, err := os.ReadFile(filepath.Join("platform", "headers.go"))
	if err != nil || !platformNamePattern.Match(data) {
		t.Errorf("the pattern does not match the header names in the folder platform/: %v", err)
	}
}
