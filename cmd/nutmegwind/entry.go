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
	// memoryShare is the share of an instance's memory at which the garbage
	// collector works hard to stay below.
	memoryShare = 0.6
	// logFlushTime bounds the writing of the last log lines.
	logFlushTime = 200 * time.Millisecond
)

// runEntry serves on the users' platform until ctx ends.
func runEntry(ctx context.Context, file string) error {
	settings, err := nutmegconf.LoadEntrySettings(file)
	if err != nil {
		return &cli.UsageError{Detail: err.Error()}
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.Limits.MemoryMB) * (1 << 20)))
	lines := nutmegjournal.NewWriter(nutmegjournal.WriterConfig{Out: os.Stdout})
	lines.Start()
	defer lines.Stop(logFlushTime)
	log := nutmegjournal.NewLogger(lines, settings.Log.Level)
	entry, err := nutmegentry.New(nutmegentry.Config{Settings: settings, Platform: nutmegplatform.Instance(), Log: log})
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
