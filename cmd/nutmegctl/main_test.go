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

// runProgram runs nutmegctl against a server that returns the given answers by
// path. It returns the exit code and the combined output.
func runProgram(t *testing.T, answers map[string]any, args ...string) (int, string) {
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
	valid := nutmegledger.Statement{Owner: "kaca", Requests: 2, Billed: 40, Spending: nutmegledger.Spending{Spent: 40}, Consistent: true}
	overbilled := nutmegledger.Statement{Owner: "brazos", Requests: 1, Billed: 90, Spending: nutmegledger.Spending{Spent: 10}}
	code, out := runProgram(t, map[string]any{"/v1/audit": nutmegnode.Audit{Statements: []nutmegledger.Statement{valid}}}, "audit")
	if diff := cmp.Diff(cli.ExitDone, code); diff != "" {
		t.Errorf("exit code of an audit without excess (-want +got):\n%s%s", diff, out)
	}
	code, out = runProgram(t, map[string]any{"/v1/audit": nutmegnode.Audit{Statements: []nutmegledger.Statement{valid, overbilled}}}, "audit")
	if diff := cmp.Diff(cli.ExitFailed, code); diff != "" {
		t.Errorf("exit code of an audit with a bill over its budget (-want +got):\n%s%s", diff, out)
	}
}

func TestTimelineMergesAndPlotsEvents(t *testing.T) {
	events := []nutmegtime.Event{
		{At: nutmegtime.Stamp{Micros: 2000}, Process: "kaca-1", Kind: nutmegtime.KindSettle, Tokens: 12},
		{At: nutmegtime.Stamp{Micros: 1000}, Process: "kaca-2", Kind: nutmegtime.KindRequest},
	}
	answers := map[string]any{"/v1/events": events}
	code, out := runProgram(t, answers, "timeline")
	if code != cli.ExitDone || strings.Index(out, "kaca-2") > strings.Index(out, "kaca-1") {
		t.Errorf("exit code is %d; want %d and output in order of time:\n%s", code, cli.ExitDone, out)
	}
	for _, name := range []string{"events.svg", "events.png"} {
		file := filepath.Join(t.TempDir(), name)
		if code, out := runProgram(t, answers, "timeline", "-out", file); code != cli.ExitDone {
			t.Errorf("exit code %d with -out %s: %s", code, name, out)
		}
		if info, err := os.Stat(file); err != nil || info.Size() == 0 {
			t.Errorf("picture %s is missing or empty: %v", name, err)
		}
	}
	if code, _ := runProgram(t, answers, "timeline", "-out", filepath.Join(t.TempDir(), "events.txt")); code != cli.ExitFailed {
		t.Errorf("exit code %d for an unknown picture format; want %d", code, cli.ExitFailed)
	}
}

func TestUsageErrorsExitWithTwo(t *testing.T) {
	for _, args := range [][]string{{}, {"fly"}, {"-colour", "blue"}, {"confirm"}, {"check-config", "missing.toml"}, {"-ca", "missing.pem", "status"}} {
		if code, out := runProgram(t, nil, args...); code != cli.ExitUsage {
			t.Errorf("%v exits with %d; want %d: %s", args, code, cli.ExitUsage, out)
		}
	}
}

func TestHelpAndVersionExitWithZero(t *testing.T) {
	for _, args := range [][]string{{"-h"}, {"-version"}} {
		if code, out := runProgram(t, nil, args...); code != cli.ExitDone || out == "" {
			t.Errorf("%v exits with %d and prints %q", args, code, out)
		}
	}
}
