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

// lookPause is the time between two looks at the settings file, which may
// change without a signal.
const lookPause = 2 * time.Second

// reloader takes changed settings into a running instance, on SIGHUP and when
// the file has changed.
type reloader struct {
	file  string
	apply func(nutmegconf.EntrySettings)
	log   *logrus.Logger
	pause time.Duration // lookPause when zero
	done  chan struct{}

	seen os.FileInfo // of the settings that were read last
}

// start begins to look, until ctx ends.
func (r *reloader) start(ctx context.Context) {
	if r.pause == 0 {
		r.pause = lookPause
	}
	r.done = make(chan struct{})
	r.seen, _ = os.Stat(r.file) // a file that is gone shows at the next look
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go r.run(ctx, hangups)
}

func (r *reloader) run(ctx context.Context, hangups chan os.Signal) {
	defer close(r.done)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(r.pause)
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

func (r *reloader) changed() bool {
	info, err := os.Stat(r.file)
	if err != nil {
		return false
	}
	return r.seen == nil || info.ModTime() != r.seen.ModTime() || info.Size() != r.seen.Size()
}

// reload reads the file whole. Faulty settings change nothing.
func (r *reloader) reload(cause string) {
	if info, err := os.Stat(r.file); err == nil {
		r.seen = info
	}
	entry := r.log.WithFields(logrus.Fields{"event": "settings_reloaded", "cause": cause, "file": r.file})
	settings, err := nutmegconf.LoadEntrySettings(r.file)
	if err != nil {
		entry.WithError(err).Error("the settings are faulty; the present ones stay")
		return
	}
	r.apply(settings)
	entry.Info("settings were read again")
}
