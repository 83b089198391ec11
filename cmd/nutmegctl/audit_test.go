package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/cmd/internal/cli"
	"github.com/nutmegwind/nutmegwind/nutmegledger"
	"github.com/nutmegwind/nutmegwind/nutmegnode"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// ctl runs the program against answers by path and returns its exit code and
// what it printed.
func ctl(t *testing.T, answers map[string]any, args ...string) (int, string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer, ok := answers[r.URL.Path]
		if !ok {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer server.Close()
	o := options{server: server.URL}
	var out, errOut bytes.Buffer
	code := cli.Execute(t.Context(), program(&o), args, &out, &errOut)
	return code, out.String() + errOut.String()
}

func TestAuditFailsWhereABillExceedsItsBudget(t *testing.T) {
	sound := nutmegledger.Statement{Owner: "kaca", Requests: 2, Billed: 40, Spending: nutmegledger.Spending{Spent: 40}, Consistent: true}
	forged := nutmegledger.Statement{Owner: "brazos", Requests: 1, Billed: 90, Spending: nutmegledger.Spending{Spent: 10}}
	code, out := ctl(t, map[string]any{"/v1/audit": nutmegnode.Audit{Statements: []nutmegledger.Statement{sound}}}, "audit")
	if diff := cmp.Diff(cli.ExitDone, code); diff != "" {
		t.Errorf("exit code of a sound audit (-want +got):\n%s%s", diff, out)
	}
	code, out = ctl(t, map[string]any{"/v1/audit": nutmegnode.Audit{Statements: []nutmegledger.Statement{sound, forged}}}, "audit")
	if diff := cmp.Diff(cli.ExitFailed, code); diff != "" {
		t.Errorf("exit code of a forged bill (-want +got):\n%s%s", diff, out)
	}
}

func TestTimelineMergesAndDraws(t *testing.T) {
	events := []nutmegtime.Event{
		{At: nutmegtime.Stamp{Micros: 2000}, Process: "kaca-1", Kind: nutmegtime.KindSettle, Tokens: 12},
		{At: nutmegtime.Stamp{Micros: 1000}, Process: "kaca-2", Kind: nutmegtime.KindRequest},
	}
	answers := map[string]any{"/v1/events": events}
	code, out := ctl(t, answers, "timeline")
	if code != cli.ExitDone || strings.Index(out, "kaca-2") > strings.Index(out, "kaca-1") {
		t.Errorf("exit code %d; output is not in order of time:\n%s", code, out)
	}
	for _, name := range []string{"events.svg", "events.png"} {
		file := filepath.Join(t.TempDir(), name)
		if code, out := ctl(t, answers, "timeline", "-out", file); code != cli.ExitDone {
			t.Errorf("exit code %d for %s: %s", code, name, out)
		}
		if info, err := os.Stat(file); err != nil || info.Size() == 0 {
			t.Errorf("picture %s is missing or empty: %v", name, err)
		}
	}
	if code, _ := ctl(t, answers, "timeline", "-out", filepath.Join(t.TempDir(), "events.txt")); code != cli.ExitFailed {
		t.Errorf("exit code %d for an unknown picture format; want %d", code, cli.ExitFailed)
	}
}

func TestWrongUseExitsWithTwo(t *testing.T) {
	for _, args := range [][]string{{}, {"fly"}, {"-colour", "blue"}, {"confirm"}, {"check-config", "missing.toml"}, {"-ca", "missing.pem", "status"}} {
		if code, out := ctl(t, nil, args...); code != cli.ExitUsage {
			t.Errorf("%v exits with %d: %s", args, code, out)
		}
	}
}

func TestHelpAndVersionExitWithZero(t *testing.T) {
	for _, args := range [][]string{{"-h"}, {"-version"}} {
		if code, out := ctl(t, nil, args...); code != cli.ExitDone || out == "" {
			t.Errorf("%v exits with %d and prints %q", args, code, out)
		}
	}
}
