package nutmegtrace

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const faultyTrace = `name = "faulty"
colour = "blue"

[fleet]
instances = 2
engines = 1

[[owner]]
name = "kaca"
tokens = 10

[[workspace]]
name = "rack"
owner = "nobody"

[[step]]
at = "1s"
do = "dance"

[[step]]
do = "chat"
instance = 7
workspace = "rack"
max_tokens = 5

[[step]]
do = "cut"
from = "instance:0"
to = "moon"
for = "2s"

[[step]]
do = "retire_upstreams"
upstreams = ["engine-9"]
for = "1s"

[[load]]
workload = "poem"
workspace = "rack"
rate = -1
for = "1s"

[outcome]
overspend = 0
`

func TestParseListsAllProblemsWithLines(t *testing.T) {
	_, err := Parse("faulty.toml", []byte(faultyTrace))
	var fileErr *FileError
	if !errors.As(err, &fileErr) {
		t.Fatalf("error is %v; want a *FileError", err)
	}
	var got []string
	for _, p := range fileErr.Problems {
		got = append(got, fmt.Sprintf("%d %s", p.Line, p.Key))
	}
	want := []string{
		"2 colour", "14 workspace.0.owner", "18 step.0.do", "22 step.1.instance", "29 step.2.to",
		"35 step.3.for", "34 step.3.upstreams", "38 load.0.workload", "40 load.0.rate", "44 outcome.overspend",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
}

func TestParseNamesTheLineOfASyntaxOrTypeError(t *testing.T) {
	for text, line := range map[string]int{
		"name = \"a\"\n[[step]]\nat = \"soon\"\n":      3,
		"name = \"a\"\n\nname == 3\n":                  3,
		"name = \"a\"\n[fleet]\ninstances = \"two\"\n": 3,
	} {
		_, err := Parse("faulty.toml", []byte(text))
		var fileErr *FileError
		if !errors.As(err, &fileErr) || len(fileErr.Problems) != 1 || fileErr.Problems[0].Line != line {
			t.Errorf("problems of %q are %v; want one at line %d", text, err, line)
		}
	}
}

func TestScheduleIsTheSameForASeed(t *testing.T) {
	trace, err := GenerateSoakTrace(SoakConfig{Seed: 5, Length: 2e9})
	if err != nil {
		t.Fatal(err)
	}
	first, again, other := trace.Schedule(9, 1), trace.Schedule(9, 1), trace.Schedule(10, 1)
	exported := cmp.AllowUnexported(Step{})
	if diff := cmp.Diff(first, again, exported); diff != "" {
		t.Errorf("schedules of one seed differ:\n%s", diff)
	}
	if cmp.Equal(first, other, exported) {
		t.Error("schedules of two seeds are the same")
	}
}
