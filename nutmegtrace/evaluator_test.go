package nutmegtrace

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegledger"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

var evaluationStart = time.Date(2026, 3, 2, 7, 0, 0, 0, time.UTC)

func secondsAfterStart(n int) time.Time {
	return evaluationStart.Add(time.Duration(n) * time.Second)
}

// correctRun returns the observations of a run without violations: one chat that
// was answered, billed and covered by its budgets, and one order that ran once.
func correctRun() observations {
	chat := &CallerRequest{
		Step: Step{Action: ActionChat, Workspace: "rack", Prompt: "sheet", MaxTokens: 4}, Number: 1,
		DueAt: secondsAfterStart(1), FirstTokenAt: secondsAfterStart(1), EndedAt: secondsAfterStart(2), Started: true, Complete: true,
		Attempts: []Attempt{{Request: "r1", Status: 200}},
	}
	chat.Text = chat.chat("").ExpectedText()
	order := &CallerRequest{
		Step: Step{Action: ActionOrder, Workspace: "rack", Key: "pane"}, Number: 2, DueAt: secondsAfterStart(1), EndedAt: secondsAfterStart(2), Complete: true,
		Attempts: []Attempt{{Request: "r2", Status: 200}},
	}
	return observations{
		requests:         []*CallerRequest{chat, order},
		credits:          []credit{{budget: "workspace/rack", tokens: 100, at: evaluationStart}, {budget: "owner/kaca", tokens: 100, at: evaluationStart}},
		owners:           []ownershipPeriod{{workspace: "rack", owner: "kaca"}},
		liveIncarnations: map[nutmegid.Incarnation]bool{"alive": true},
		records: Records{
			Runs: map[nutmegid.Upstream][]nutmegstand.EngineRun{"engine-1": {
				{Request: "r1", Workspace: "rack", PromptTokens: 10, AnswerTokens: 4, Ended: true, StartedAt: secondsAfterStart(1)},
			}},
			Calls: map[nutmegid.Upstream][]nutmegstand.ServiceCall{"service-1": {{Request: "r2", Key: "pane", At: secondsAfterStart(1)}}},
			Lines: []nutmegledger.Line{{Request: "r1", Workspace: "rack", Owner: "kaca", Tokens: 14}},
			Shards: []nutmegbudget.Shard{{Budgets: map[nutmegid.BudgetID]*nutmegbudget.Budget{
				"workspace/rack": {Leases: map[nutmegid.Incarnation]*nutmegbudget.Lease{"alive": {Tokens: 50}}},
			}}},
		},
	}
}

// firstLinePerRequest returns the first ledger line of each request.
func firstLinePerRequest(lines []nutmegledger.Line) []nutmegledger.Line {
	var kept []nutmegledger.Line
	for _, line := range lines {
		if !slices.ContainsFunc(kept, func(k nutmegledger.Line) bool { return k.Request == line.Request }) {
			kept = append(kept, line)
		}
	}
	return kept
}

func TestEvaluateReportsNoViolationInACorrectRun(t *testing.T) {
	e := correctRun()
	e.records.BilledLines = firstLinePerRequest(e.records.Lines)
	got := evaluate(e).Measures
	want := Measures{Requests: 2, Answered: 2, Attempts: 2, ServedTokens: 14}
	want.FirstTokenMSP50, want.FirstTokenMSP95, want.FirstTokenMSP99 = 1, 1, 1
	want.OrderMSP50, want.OrderMSP99 = 1001, 1001 // one second, at three significant digits
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("measures (-want +got):\n%s", diff)
	}
}

// refusedChat returns a chat whose refusal says that it did not run.
func refusedChat(id nutmegid.RequestID) *CallerRequest {
	return &CallerRequest{
		Step: Step{Action: ActionChat, Workspace: "rack", MaxTokens: 4}, Number: 3, DueAt: secondsAfterStart(5), EndedAt: secondsAfterStart(6),
		Attempts: []Attempt{{Request: id, Status: 402, Kind: "budget_exhausted", Ran: "no"}},
	}
}

// TestEvaluateCountsEachViolation adds one violation at a time to a correct run.
func TestEvaluateCountsEachViolation(t *testing.T) {
	for name, c := range map[string]struct {
		breaks func(e *observations)
		want   map[string]int64
	}{
		"workspace overspent": {
			func(e *observations) { e.credits[0].tokens = 10 }, map[string]int64{"overspend_tokens": 4},
		},
		"owner overspent": {
			func(e *observations) { e.credits[1].tokens = 9 }, map[string]int64{"overspend_tokens": 5},
		},
		"overspend before a later top-up": {
			func(e *observations) {
				e.credits[0].tokens = 10
				e.credits = append(e.credits, credit{budget: "workspace/rack", tokens: 100, at: secondsAfterStart(9)})
			}, map[string]int64{"overspend_tokens": 4},
		},
		"refused though covered": {
			func(e *observations) { e.requests = append(e.requests, refusedChat("r3")) },
			map[string]int64{"false_refusals": 1, "early_refusals": 1, "refused_not_run": 1},
		},
		"refused near the end of a large budget": {
			func(e *observations) {
				for n := range e.credits {
					e.credits[n].tokens = 1_000_000
				}
				e.records.Runs["engine-1"][0].AnswerTokens = 995_000
				e.requests = append(e.requests, refusedChat("r3"))
			}, map[string]int64{"false_refusals": 1, "early_refusals": 0},
		},
		"refused with the budget used up": {
			func(e *observations) {
				e.credits[0].tokens = 30
				e.requests = append(e.requests, refusedChat("r3"))
			}, map[string]int64{"false_refusals": 0, "refused_not_run": 1},
		},
		"lease of a dead instance": {
			func(e *observations) { e.liveIncarnations = nil }, map[string]int64{"stranded_tokens": 50},
		},
		"billed under two requests": {
			func(e *observations) {
				e.requests[0].Attempts = append(e.requests[0].Attempts, Attempt{Request: "r9"})
				e.records.Lines = append(e.records.Lines, nutmegledger.Line{Request: "r9", Owner: "kaca"})
			}, map[string]int64{"double_billed": 1},
		},
		"billed to two owners": {
			func(e *observations) {
				e.records.Lines = append(e.records.Lines, nutmegledger.Line{Request: "r1", Owner: "brazos", Tokens: 14})
			}, map[string]int64{"double_billed": 1},
		},
		"answered and not billed": {
			func(e *observations) { e.records.Lines = nil }, map[string]int64{"unbilled": 1},
		},
		"billed a wrong amount": {
			func(e *observations) { e.records.Lines[0].Tokens = 20 }, map[string]int64{"misbilled_tokens": 6},
		},
		"billed to a wrong owner": {
			func(e *observations) { e.records.Lines[0].Owner = "brazos" }, map[string]int64{"wrong_owner": 1},
		},
		"billed to the former owner long after a move": {
			func(e *observations) {
				e.owners = append(e.owners, ownershipPeriod{workspace: "rack", owner: "brazos", at: secondsAfterStart(-9)})
			}, map[string]int64{"wrong_owner": 1},
		},
		"truncated answer": {
			func(e *observations) { e.requests[0].Complete = false; e.requests[0].Text = e.requests[0].Text[:3] },
			map[string]int64{"cut_answers": 1, "wrong_answers": 0},
		},
		"wrong answer": {
			func(e *observations) { e.requests[0].Text += "more" }, map[string]int64{"wrong_answers": 1},
		},
		"wrong part of a truncated answer": {
			func(e *observations) { e.requests[0].Complete = false; e.requests[0].Text = "other" },
			map[string]int64{"cut_answers": 1, "wrong_answers": 1},
		},
		"order ran twice": {
			func(e *observations) {
				e.records.Calls["service-2"] = []nutmegstand.ServiceCall{{Request: "r8", Key: "pane"}}
			}, map[string]int64{"protected_double_runs": 1},
		},
		"refused as not run, but ran": {
			func(e *observations) { e.requests = append(e.requests, refusedChat("r1")) },
			map[string]int64{"not_run_but_ran": 1},
		},
		"no answer at all": {
			func(e *observations) {
				e.requests = append(e.requests, &CallerRequest{Step: Step{Action: ActionLookUp}})
			},
			map[string]int64{"unanswered": 1},
		},
		"new work to a leaving engine": {
			func(e *observations) { e.departures = []departure{{upstream: "engine-1", at: secondsAfterStart(-3)}} },
			map[string]int64{"sent_to_leaving": 1},
		},
		"new work to a leaving service": {
			func(e *observations) { e.departures = []departure{{upstream: "service-1", at: secondsAfterStart(-3)}} },
			map[string]int64{"sent_to_leaving": 1},
		},
		"revision went back": {
			func(e *observations) {
				e.samples = []revisionSample{
					{incarnation: "a", revision: 4, serving: true, reachable: true, at: secondsAfterStart(1)},
					{incarnation: "b", revision: 3, serving: true, reachable: true, at: secondsAfterStart(2)},
				}
			}, map[string]int64{"config_reverts": 1},
		},
		"revision in force late": {
			func(e *observations) {
				e.confirmed = []confirmedRevision{{revision: 2, at: secondsAfterStart(1)}}
				e.samples = []revisionSample{
					{revision: 1, serving: true, reachable: true, at: secondsAfterStart(0)},
					{revision: 2, serving: true, reachable: true, at: secondsAfterStart(8)},
				}
			}, map[string]int64{"config_in_force_ms_max": 7000},
		},
		"revision never in force": {
			func(e *observations) {
				e.confirmed = []confirmedRevision{{revision: 2, at: secondsAfterStart(1)}}
				e.samples = []revisionSample{{revision: 1, serving: true, reachable: true, at: secondsAfterStart(10)}}
			}, map[string]int64{"config_in_force_ms_max": 9000},
		},
		"crash, failed intent and platform calls": {
			func(e *observations) {
				e.crashes, e.failedActions = 2, 1
				e.records.Platform = nutmegstand.PlatformRecord{Reads: 1, Watches: 2, Writes: 4, Limited: 5}
			},
			map[string]int64{"crashes": 2, "failed_intents": 1, "platform_reads": 3, "platform_writes": 4, "platform_calls_refused": 5},
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := correctRun()
			c.breaks(&e)
			e.records.BilledLines = firstLinePerRequest(e.records.Lines)
			counts := evaluate(e).Measures.counts()
			got := make(map[string]int64)
			for key := range c.want {
				got[key] = counts[key]
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("measures (-want +got):\n%s", diff)
			}
		})
	}
}

func TestCheckListsEveryUnmetOutcome(t *testing.T) {
	trace := Trace{
		Outcome: map[string]int64{"requests": 3, "unbilled": 0},
		AtMost:  map[string]int64{"config_in_force_ms_max": 6000},
		AtLeast: map[string]int64{"answered": 5},
	}
	got := trace.Check(Measures{Requests: 2, ConfigInForceMSMax: 7000, Answered: 1})
	want := []Failure{
		{Measure: "requests", Got: 2, Want: 3},
		{Measure: "config_in_force_ms_max", Got: 7000, Want: 6000, Bound: "at most "},
		{Measure: "answered", Got: 1, Want: 5, Bound: "at least "},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("failures (-want +got):\n%s", diff)
	}
}
