package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
)

// defaultPollInterval is the time between two checks of the settings file. The file
// is polled because it may change without a signal.
const defaultPollInterval = 2 * time.Second

// reloader applies changed settings to a running instance, on SIGHUP and when the
// settings file changes.
type reloader struct {
	file     string
	apply    func(nutmegconf.EntrySettings)
	log      *logrus.Logger
	interval time.Duration // defaultPollInterval when zero
	done     chan struct{}

	lastInfo os.FileInfo // of the settings file at the last read; nil if it was missing
}

// start watches for changes in the background until ctx ends.
func (r *reloader) start(ctx context.Context) {
	if r.interval == 0 {
		r.interval = defaultPollInterval
	}
	r.done = make(chan struct{})
	r.lastInfo, _ = os.Stat(r.file) // a missing file is read at the first poll that finds it
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go r.run(ctx, hangups)
}

func (r *reloader) run(ctx context.Context, hangups chan os.Signal) {
	defer close(r.done)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.reload("signal")
		case <-ticker.C:
			if r.changed() {
				r.reload("file")
			}
		}
	}
}

// changed reports whether the settings file differs in time or size from the one
// that was read last.
func (r *reloader) changed() bool {
	info, err := os.Stat(r.file)
	if err != nil {
		return false
	}
	return r.lastInfo == nil || info.ModTime() != r.lastInfo.ModTime() || info.Size() != r.lastInfo.Size()
}

// reload reads the whole settings file and applies it. Invalid settings are logged
// and change nothing.
func (r *reloader) reload(cause string) {
	if info, err := os.Stat(r.file); err == nil {
		r.lastInfo = info
	}
	entry := r.log.WithFields(logrus.Fields{"event": "settings_reloaded", "cause": cause, "file": r.file})
	settings, err := nutmegconf.LoadEntrySettings(r.file)
	if err != nil {
		entry.WithError(err).Error("invalid settings file; keeping the current settings")
		return
	}
	r.apply(settings)
	entry.Info("settings reloaded")
}
