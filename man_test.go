package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kingpin/v2"
)

const (
	manDirectory        = "docs/man"
	updatePagesVariable = "GYPSUMBANK_UPDATE_MAN"
)

// TestManualPagesAreCurrent compares the manual page of each command with its help text. With GYPSUMBANK_UPDATE_MAN set it
// writes the pages first.
func TestManualPagesAreCurrent(t *testing.T) {
	for _, c := range commands() {
		t.Run(c.name, func(t *testing.T) {
			page := manualPage(t, c)
			path := filepath.Join(manDirectory, "gypsumbank-"+c.name+".txt")
			if os.Getenv(updatePagesVariable) != "" {
				if err := os.WriteFile(path, page, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			written, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(written, page) {
				t.Errorf("%s differs from the help text; run make man", path)
			}
		})
	}
}

// manualPage returns the help text of a command with all its subcommands.
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
