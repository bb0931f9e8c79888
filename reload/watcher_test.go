package reload

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/settings"
)

const valid = `[node]
name = n1
availability-zone = a
[agent]
listen = 127.0.0.1:1
target = 127.0.0.1:2
service = llm
[store]
address = 127.0.0.1:3
[log]
level = `

func TestHangup(t *testing.T) {
	tests := map[string]struct {
		content string
		want    string // level that is applied, or empty for none
	}{
		"changed":   {content: valid + "debug\n", want: "debug"},
		"unchanged": {content: valid + "info\n"},
		"not valid": {content: valid + "loud\n"},
		"empty":     {content: ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.ini")
			write(t, path, valid+"info\n")
			log := logrus.New()
			log.SetOutput(io.Discard)
			applied := make(chan *settings.Config, 1)
			w, err := New(path, func(c *settings.Config) { applied <- c }, log.WithField("test", name))
			if err != nil {
				t.Fatal(err)
			}
			write(t, path, test.content)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = w.Run(ctx) }()
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			got := ""
			select {
			case c := <-applied:
				got = c.Log.Level
			case <-time.After(300 * time.Millisecond):
			}
			if got != test.want {
				t.Errorf("applied %q, want %q", got, test.want)
			}
		})
	}
}

func write(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestHangupWhileStopping sends SIGHUP after the watcher has ended, as while the process drains; unhandled, it would end the
// process and cut the answers in progress.
func TestHangupWhileStopping(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte(valid+"info\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	w, err := New(path, func(*settings.Config) {}, log.WithField("test", t.Name()))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if err := w.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-w.hangups:
	case <-time.After(2 * time.Second):
		t.Error("the signal was not caught")
	}
}
