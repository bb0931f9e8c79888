package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gypsumbank/inifile"
	"gypsumbank/settings"
)

const referencePage = "docs/settings.md"

// TestSettingsReferenceIsCurrent compares the page with the settings that are read; make man writes it.
func TestSettingsReferenceIsCurrent(t *testing.T) {
	site, deployment, err := settings.Reference()
	if err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	page.WriteString("# Settings\n\nWritten by `make man`. The files in [../examples/](../examples) say what each setting is for.\n" +
		"Unknown keys and values that are not allowed are told with file and key, and nothing starts.\n")
	writeKeys(&page, "On the users' platform: gateway and agent", site)
	writeKeys(&page, "In an own deployment: entry and sidecar", deployment)
	if os.Getenv(updateVariable) != "" {
		if err := os.WriteFile(referencePage, page.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	have, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(have, page.Bytes()) {
		t.Errorf("%s is not current; run make man", referencePage)
	}
}

func writeKeys(page *bytes.Buffer, title string, keys []inifile.Key) {
	fmt.Fprintf(page, "\n## %s\n\n| section | key | default | allowed |\n|---|---|---|---|\n", title)
	for _, key := range keys {
		fmt.Fprintf(page, "| %s | `%s` | %s | %s |\n", key.Section, key.Name, key.Default, key.Allowed)
	}
}

// TestExamplesShowEachSetting finds settings that no annotated example explains.
func TestExamplesShowEachSetting(t *testing.T) {
	site, deployment, err := settings.Reference()
	if err != nil {
		t.Fatal(err)
	}
	paths, err := filepath.Glob("examples/*.ini")
	if err != nil {
		t.Fatal(err)
	}
	shown := map[string]bool{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		section := ""
		for line := range strings.Lines(string(data)) {
			line = strings.TrimSpace(strings.TrimPrefix(line, ";"))
			if name, ok := strings.CutPrefix(line, "["); ok {
				section = strings.TrimSuffix(name, "]")
			}
			if key, _, ok := strings.Cut(line, "="); ok {
				shown[section+"/"+strings.TrimSpace(key)] = true
			}
		}
	}
	for _, key := range append(site, deployment...) {
		if !shown[key.Section+"/"+key.Name] {
			t.Errorf("[%s] %s stands in no example", key.Section, key.Name)
		}
	}
}
