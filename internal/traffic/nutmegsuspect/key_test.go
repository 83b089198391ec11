package nutmegsuspect

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
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

func TestPartKeysLeaveOutTheLastPart(t *testing.T) {
	call := func(workspace nutmegid.Workspace, service nutmegview.Service, parts ...string) *nutmegcall.Call {
		c := &nutmegcall.Call{Workspace: workspace, Service: service}
		for _, id := range parts {
			c.Prompt.Parts = append(c.Prompt.Parts, nutmegcall.Part{ID: id, Tokens: 10})
		}
		return c
	}
	base := PartKeys(call("w", "s", "system", "subject", "own"))
	if diff := cmp.Diff(base, PartKeys(call("v", "s", "system", "subject", "other"))); diff != "" {
		t.Errorf("keys of another workspace's prompt with the same parts (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(base[:1], PartKeys(call("w", "s", "system", "subject"))); diff != "" {
		t.Errorf("keys of a prompt that ends with the second part (-want +got):\n%s", diff)
	}
	if other := PartKeys(call("w", "r", "system", "own")); other[0] == base[0] {
		t.Errorf("a part has the same key at another service")
	}
	if keys := PartKeys(call("w", "s", "own")); len(keys) > 0 {
		t.Errorf("keys %v of a prompt that shares nothing", keys)
	}
}
