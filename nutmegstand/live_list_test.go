package nutmegstand

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestLiveListLags(t *testing.T) {
	p := NewPlatform(PlatformConfig{})
	old := []LiveEntry{{Name: "engine-1", State: LiveServing}}
	p.SetLive(old)
	p.SetFaults(PlatformFaults{LiveLag: time.Hour})
	if diff := cmp.Diff([]LiveEntry{}, p.Live()); diff != "" {
		t.Errorf("live list as of an hour ago (-want +got):\n%s", diff)
	}
	p.SetFaults(PlatformFaults{})
	if diff := cmp.Diff(old, p.Live()); diff != "" {
		t.Errorf("live list without lag (-want +got):\n%s", diff)
	}
}

func TestRewindRestoresEarlierValues(t *testing.T) {
	p := NewPlatform(PlatformConfig{Rewindable: "config"})
	for _, value := range []string{"one", "two"} {
		p.write("config", "head", []byte(value))
	}
	if !p.Rewind("config", 1) {
		t.Fatal("Rewind did not find the state before the last write")
	}
	if diff := cmp.Diff("one", string(p.Value("config", "head"))); diff != "" {
		t.Errorf("value after Rewind (-want +got):\n%s", diff)
	}
	if p.Rewind("budget", 1) {
		t.Error("Rewind accepted a kind whose earlier states are not kept")
	}
}
