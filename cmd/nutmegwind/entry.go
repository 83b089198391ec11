package main

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/nutmegwind/nutmegwind/cmd/internal/cli"
	"github.com/nutmegwind/nutmegwind/internal/instance/nutmegentry"
	"github.com/nutmegwind/nutmegwind/internal/ops/nutmegjournal"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	nutmegplatform "github.com/nutmegwind/nutmegwind/platform"
)

const (
	// memoryLimitShare is the fraction of an instance's memory that is set as the Go
	// runtime's soft limit. The garbage collector runs more often to stay below it.
	memoryLimitShare = 0.6
	// logFlushTimeout bounds the time for writing the last log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
)

// runEntry runs an entry instance on the users' platform until ctx ends.
func runEntry(ctx context.Context, file string) error {
	settings, err := nutmegconf.LoadEntrySettings(file)
	if err != nil {
		return &cli.UsageError{Detail: err.Error()}
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Limits.MemoryMB) * (1 << 20)))
	logWriter := nutmegjournal.NewWriter(nutmegjournal.WriterConfig{Out: os.Stdout})
	logWriter.Start()
	defer logWriter.Stop(logFlushTimeout)
	log := nutmegjournal.NewLogger(logWriter, settings.Log.Level)
	entry, err := nutmegentry.New(nutmegentry.Config{Settings: settings, Platform: nutmegplatform.EntryPlatform(), Log: log})
	if err != nil {
		return err
	}
	if err := entry.Start(); err != nil {
		return err
	}
	reloader := &reloader{file: file, apply: entry.Reload, log: log}
	reloader.start(context.WithoutCancel(ctx))
	<-ctx.Done()
	return entry.Stop(context.WithoutCancel(ctx))
}
