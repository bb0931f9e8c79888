package reload

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"gypsumbank/settings"
)

// lookInterval is how often the file is read, since the platform may change it without a signal.
const lookInterval = 2 * time.Second

// Watcher reads the file of settings again on SIGHUP and when it has changed.
type Watcher struct {
	path    string
	apply   func(*settings.Config)
	log     *logrus.Entry
	hangups chan os.Signal
	last    []byte
}

// New returns a watcher of the file at path; from now on SIGHUP never ends the process, also while it drains. Valid settings
// are handed to apply.
func New(path string, apply func(*settings.Config), log *logrus.Entry) (*Watcher, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reload: %w", err)
	}
	w := &Watcher{path: path, apply: apply, log: log, hangups: make(chan os.Signal, 1), last: data}
	signal.Notify(w.hangups, syscall.SIGHUP)
	return w, nil
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.hangups:
			w.look("signal")
		case <-ticker.C:
			w.look("file")
		}
	}
}

// look reads the file and applies it if it has changed; settings that are not valid leave the earlier ones in force.
func (w *Watcher) look(cause string) {
	data, err := os.ReadFile(w.path)
	if err != nil {
		w.log.WithError(err).WithField("cause", cause).Warn("settings not read, the earlier ones stay in force")
		return
	}
	if bytes.Equal(data, w.last) {
		if cause == "signal" {
			w.log.WithField("cause", cause).Info("settings are unchanged")
		}
		return
	}
	w.last = data
	config, err := settings.New(w.path, data)
	if err != nil {
		w.log.WithError(err).WithField("cause", cause).Warn("settings not valid, the earlier ones stay in force")
		return
	}
	w.apply(config)
	w.log.WithField("cause", cause).Info("settings in force")
}
