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
	sighups     chan os.Signal
	lastContent []byte // content of the file at the last read, valid or not
}

// New returns a watcher of the file at path, which it reads for the first time. From the call of New until the process exits, SIGHUP is caught, so that it ends
// the process neither while it starts nor while it drains. The error is that of the file system.
func New(path string) (*Watcher, error) {
	w := &Watcher{path: path, sighups: make(chan os.Signal, 1)}
	signal.Notify(w.sighups, syscall.SIGHUP)
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	w.lastContent = data
	return w, nil
}

// Content returns the content of the file as New read it, which the process starts with. Not to be called after Run.
func (w *Watcher) Content() []byte { return w.lastContent }

// Run watches the file until ctx ends and calls apply with each new version of the settings that is valid.
func (w *Watcher) Run(ctx context.Context, apply func(*settings.Config), log *logrus.Entry) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.sighups:
			w.reloadIfChanged("signal", apply, log)
		case <-ticker.C:
			w.reloadIfChanged("file", apply, log)
		}
	}
}

// reloadIfChanged reads the file and applies the settings if it has changed. If they are invalid, the previous settings stay
// in force.
func (w *Watcher) reloadIfChanged(cause string, apply func(*settings.Config), log *logrus.Entry) {
	data, err := os.ReadFile(w.path)
	if err != nil {
		log.WithError(err).WithField("cause", cause).Warn("settings file could not be read; the previous settings stay in force")
		return
	}
	if bytes.Equal(data, w.lastContent) {
		if cause == "signal" {
			log.WithField("cause", cause).Info("settings are unchanged")
		}
		return
	}
	w.lastContent = data
	config, err := settings.New(w.path, data)
	if err != nil {
		log.WithError(err).WithField("cause", cause).Warn("settings file is invalid; the previous settings stay in force")
		return
	}
	apply(config)
	log.WithField("cause", cause).Info("settings in force")
}
