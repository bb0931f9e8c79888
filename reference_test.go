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

// TestSettingsReferenceIsCurrent compares the reference page with the settings that the program reads. With
// GYPSUMBANK_UPDATE_MAN set, as make man does, it writes the page first.
func TestSettingsReferenceIsCurrent(t *testing.T) {
	siteKeys, deploymentKeys, err := settings.Reference()
	if err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	page.WriteString("# Settings\n\nWritten by `make man`. The files in [../examples/](../examples) say what each setting is for.\n" +
		"Unknown keys and values that are not allowed are told with file and key, and nothing starts.\n")
	writeKeyTable(&page, "On the users' platform: gateway and agent", siteKeys)
	writeKeyTable(&page, "In an own deployment: entry and sidecar", deploymentKeys)
	if os.Getenv(updatePagesVariable) != "" {
		if err := os.WriteFile(referencePage, page.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	written, err := os.ReadFile(referencePage)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, page.Bytes()) {
		t.Errorf("%s differs from the settings that the program reads; run make man", referencePage)
	}
}

// writeKeyTable writes a section of the page with a table of keys.
func writeKeyTable(page *bytes.Buffer, title string, keys []inifile.Key) {
	fmt.Fprintf(page, "\n## %s\n\n| section | key | default | allowed |\n|---|---|---|---|\n", title)
	for _, key := range keys {
		fmt.Fprintf(page, "| %s | `%s` | %s | %s |\n", key.Section, key.Name, key.Default, key.Allowed)
	}
}

// TestExamplesExplainEverySetting checks that every setting appears in an annotated file in examples/.
func TestExamplesExplainEverySetting(t *testing.T) {
	siteKeys, deploymentKeys, err := settings.Reference()
	if err != nil {
		t.Fatal(err)
	}
	paths, err := filepath.Glob("examples/*.ini")
	if err != nil {
		t.Fatal(err)
	}
	inExamples := map[string]bool{}
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
				inExamples[section+"/"+strings.TrimSpace(key)] = true
			}
		}
	}
	for _, key := range append(siteKeys, deploymentKeys...) {
		if !inExamples[key.Section+"/"+key.Name] {
			t.Errorf("setting [%s] %s is missing from all files in examples/", key.Section, key.Name)
		}
	}
}
