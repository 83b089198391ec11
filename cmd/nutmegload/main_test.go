package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/cmd/internal/cli"
)

// execute runs nutmegload and returns its exit code and its standard error.
func execute(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code := cli.Execute(t.Context(), cli.Program{Name: "nutmegload", Help: help, Run: dispatch}, args, &out, &errOut)
	return code, errOut.String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), resultMode); err != nil {
		t.Fatal(err)
	}
	return file
}

const shortTrace = `name = "short"
[fleet]
instances = 1
engines = 1
[[owner]]
name = "kaca"
tokens = 1000
[[workspace]]
name = "rack"
owner = "kaca"
tokens = 1000
[[step]]
do = "chat"
workspace = "rack"
prompt = "sheet"
max_tokens = 4
[outcome]
answered = `

func TestReplayExitCodes(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		code int
		want string
	}{
		"outcome holds": {shortTrace + "1\n", cli.ExitDone, ""},
		"outcome fails": {shortTrace + "2\n", cli.ExitFailed, "answered is 1; the trace states 2"},
		"faulty file":   {shortTrace + "1\n[[step]]\ndo = \"dance\"\n", cli.ExitUsage, "trace.toml:20: step.1.do"},
	} {
		t.Run(name, func(t *testing.T) {
			code, text := execute(t, "replay", "-json", writeFile(t, "trace.toml", c.text))
			if diff := cmp.Diff(c.code, code); diff != "" {
				t.Errorf("exit code (-want +got):\n%s\n%s", diff, text)
			}
			if !strings.Contains(text, c.want) {
				t.Errorf("standard error is %q; want it to contain %q", text, c.want)
			}
		})
	}
}

func TestCompareWritesReportAndPlots(t *testing.T) {
	trace := writeFile(t, "trace.toml", shortTrace+"1\n")
	dir := t.TempDir()
	results := filepath.Join(dir, "results.json")
	if code, text := execute(t, "replay", "-json", "-out", results, trace); code != cli.ExitDone {
		t.Fatalf("replay exited with %d: %s", code, text)
	}
	for _, report := range []string{"report.md", "report.html"} {
		file := filepath.Join(dir, report)
		if code, text := execute(t, "compare", "-report", file, "-plots", "png", results, results); code != cli.ExitDone {
			t.Fatalf("compare exited with %d: %s", code, text)
		}
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(raw), "overspend_tokens") || !strings.Contains(string(raw), "report-promises.png") {
			t.Errorf("%s lacks a measure or a plot:\n%s", report, raw)
		}
	}
	if plots, _ := filepath.Glob(filepath.Join(dir, "*.png")); len(plots) != len(plotGroups) {
		t.Errorf("plots are %v; want %d files", plots, len(plotGroups))
	}
}

func TestUsageErrorsExitWithTwo(t *testing.T) {
	for _, args := range [][]string{
		{},
		{"dance"},
		{"replay"},
		{"run", "a", "b"},
		{"compare", "a"},
		{"soak", "-deployment", "moon", "-runs", "1"},
		{"replay", "-fleet", "none.toml", "../../traces/brazos/instance_dies.toml"},
	} {
		if code, text := execute(t, args...); code != cli.ExitUsage {
			t.Errorf("%v exited with %d; want %d: %s", args, code, cli.ExitUsage, text)
		}
	}
}
