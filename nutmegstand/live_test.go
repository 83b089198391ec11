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
		t.Errorf("list an hour ago (-want +got):\n%s", diff)
	}
	p.SetFaults(PlatformFaults{})
	if diff := cmp.Diff(old, p.Live()); diff != "" {
		t.Errorf("list now (-want +got):\n%s", diff)
	}
}

func TestRewindGivesBackTheFormerValues(t *testing.T) {
	p := NewPlatform(PlatformConfig{Rewindable: "config"})
	for _, value := range []string{"one", "two"} {
		p.write("config", "head", []byte(value))
	}
	if !p.Rewind("config", 1) {
		t.Fatal("the former state is not known")
	}
	if diff := cmp.Diff("one", string(p.Value("config", "head"))); diff != "" {
		t.Errorf("value after the rewind (-want +got):\n%s", diff)
	}
	if p.Rewind("budget", 1) {
		t.Error("a kind whose states are not kept was rewound")
	}
}
