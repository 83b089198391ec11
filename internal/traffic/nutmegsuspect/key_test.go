package nutmegsuspect

import (
	"testing"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

func TestContentKeyDependsOnCallerTargetAndBody(t *testing.T) {
	call := func(workspace nutmegid.Workspace, target, body string) *nutmegcall.Call {
		return &nutmegcall.Call{Workspace: workspace, Method: "GET", Host: "h", Target: target, Body: []byte(body)}
	}
	base := ContentKey(call("w", "/a", "b"))
	repeat := call("w", "/a", "b")
	repeat.ID = "another-attempt"
	if ContentKey(repeat) != base {
		t.Errorf("a repeat under another id has another key")
	}
	for name, other := range map[string]*nutmegcall.Call{
		"workspace": call("", "/a", "b"), "target": call("w", "/b", "b"), "body": call("w", "/a", "c"), "shifted": call("w", "/ab", ""),
	} {
		if ContentKey(other) == base {
			t.Errorf("a call with another %s has the same key", name)
		}
	}
}
