package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kingpin/v2"
)

const (
	manDirectory   = "docs/man"
	updateVariable = "GYPSUMBANK_UPDATE_MAN"
)

// TestManualPagesAreCurrent compares the page of each command with its help; GYPSUMBANK_UPDATE_MAN=1 writes the pages.
func TestManualPagesAreCurrent(t *testing.T) {
	for _, c := range commands() {
		t.Run(c.name, func(t *testing.T) {
			page := manualPage(t, c)
			path := filepath.Join(manDirectory, "gypsumbank-"+c.name+".txt")
			if os.Getenv(updateVariable) != "" {
				if err := os.WriteFile(path, page, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			have, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(have, page) {
				t.Errorf("%s is not current; run make man", path)
			}
		})
	}
}

// manualPage returns the help of a command and of all its parts.
func manualPage(t *testing.T, c command) []byte {
	t.Helper()
	var page bytes.Buffer
	app := kingpin.New("gypsumbank", c.help)
	app.UsageWriter(&page).ErrorWriter(&page).Terminate(func(int) {})
	app.UsageTemplate(kingpin.LongHelpTemplate)
	app.HelpCommand = nil
	c.setup(app.Command(c.name, c.help), map[string]action{})
	app.Usage(nil)
	return page.Bytes()
}
