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

// pollInterval is the time between reads of the file, because the platform may change it without sending SIGHUP.
const pollInterval = 2 * time.Second

// Watcher reloads the settings file on SIGHUP and when the content of the file has changed.
type Watcher struct {
	path        string
	apply       func(*settings.Config)
	log         *logrus.Entry
	sighups     chan os.Signal
	lastContent []byte // content of the file at the last read, valid or not
}

// New returns a watcher of the file at path, which calls apply with each new version of the settings that is valid. From the
// call of New until the process exits, SIGHUP is caught, so that it does not end the process while it drains.
func New(path string, apply func(*settings.Config), log *logrus.Entry) (*Watcher, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reload: %w", err)
	}
	w := &Watcher{path: path, apply: apply, log: log, sighups: make(chan os.Signal, 1), lastContent: data}
	signal.Notify(w.sighups, syscall.SIGHUP)
	return w, nil
}

// Run watches the file until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.sighups:
			w.reloadIfChanged("signal")
		case <-ticker.C:
			w.reloadIfChanged("file")
		}
	}
}

// reloadIfChanged reads the file and applies the settings if it has changed. If they are invalid, the previous settings stay
// in force.
func (w *Watcher) reloadIfChanged(cause string) {
	data, err := os.ReadFile(w.path)
	if err != nil {
		w.log.WithError(err).WithField("cause", cause).Warn("settings file could not be read; the previous settings stay in force")
		return
	}
	if bytes.Equal(data, w.lastContent) {
		if cause == "signal" {
			w.log.WithField("cause", cause).Info("settings are unchanged")
		}
		return
	}
	w.lastContent = data
	config, err := settings.New(w.path, data)
	if err != nil {
		w.log.WithError(err).WithField("cause", cause).Warn("settings file is invalid; the previous settings stay in force")
		return
	}
	w.apply(config)
	w.log.WithField("cause", cause).Info("settings in force")
}
