package main

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
)

const settingsText = `
[instance]
name = "one"
failure_domain = "z"
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
metrics = "127.0.0.1:4"
[store]
address = "127.0.0.1:5"
writes_per_second = 400
reads_per_second = 2000
[retries]
ratio = 0.2
extra = 52
window = "10s"
[log]
level = "`

// startReloader runs a reloader on a settings file. The channel receives the log
// level of all settings that it applies.
func startReloader(t *testing.T, interval time.Duration) (file string, applied chan string) {
	t.Helper()
	file = filepath.Join(t.TempDir(), "settings.toml")
	writeSettings(t, file, "info")
	log := logrus.New()
	log.SetOutput(io.Discard)
	applied = make(chan string, 10)
	r := &reloader{file: file, log: log, interval: interval, apply: func(s nutmegconf.EntrySettings) { applied <- s.Log.Level }}
	ctx, cancel := context.WithCancel(t.Context())
	r.start(ctx)
	t.Cleanup(func() {
		cancel()
		<-r.done
	})
	return file, applied
}

func writeSettings(t *testing.T, file, level string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(settingsText+level+"\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestSIGHUPReloadsSettings checks that SIGHUP reloads the settings instead of
// terminating the process, which is the default action of the signal.
func TestSIGHUPReloadsSettings(t *testing.T) {
	file, applied := startReloader(t, time.Hour)
	writeSettings(t, file, "debug")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if level := <-applied; level != "debug" {
		t.Errorf("level %q was applied, want debug", level)
	}
}

func TestChangedFileReloadsSettings(t *testing.T) {
	file, applied := startReloader(t, 5*time.Millisecond)
	writeSettings(t, file, "nonsense") // invalid settings must change nothing
	time.Sleep(20 * time.Millisecond)
	writeSettings(t, file, "error")
	if level := <-applied; level != "error" {
		t.Errorf("level %q was applied, want error", level)
	}
}
