package nutmegtrace

import (
	"fmt"
	"maps"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegledger"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
)

// Measures are the counts of one run, judged by the stand-ins' records.
type Measures struct {
	Requests            int64 `json:"requests"`
	Answered            int64 `json:"answered"`
	RefusedNotRun       int64 `json:"refused_not_run"`
	OverspendTokens     int64 `json:"overspend_tokens"`
	DoubleBilled        int64 `json:"double_billed"`
	Unbilled            int64 `json:"unbilled"`
	CutAnswers          int64 `json:"cut_answers"`
	WrongAnswers        int64 `json:"wrong_answers"`
	ProtectedDoubleRuns int64 `json:"protected_double_runs"`
	NotRunButRan        int64 `json:"not_run_but_ran"`
	PlatformWrites      int64 `json:"platform_writes"`
	PlatformReads       int64 `json:"platform_reads"`
}

func (m Measures) counts() map[string]int64 {
	return map[string]int64{
		"requests":              m.Requests,
		"answered":              m.Answered,
		"refused_not_run":       m.RefusedNotRun,
		"overspend_tokens":      m.OverspendTokens,
		"double_billed":         m.DoubleBilled,
		"unbilled":              m.Unbilled,
		"cut_answers":           m.CutAnswers,
		"wrong_answers":         m.WrongAnswers,
		"protected_double_runs": m.ProtectedDoubleRuns,
		"not_run_but_ran":       m.NotRunButRan,
		"platform_writes":       m.PlatformWrites,
		"platform_reads":        m.PlatformReads,
	}
}

// Check lists the stated outcomes that the measures do not meet.
func (m Measures) Check(outcome map[string]int64) []string {
	counts := m.counts()
	var failures []string
	for _, key := range slices.Sorted(maps.Keys(outcome)) {
		if counts[key] != outcome[key] {
			failures = append(failures, fmt.Sprintf("%s is %d; the trace states %d", key, counts[key], outcome[key]))
		}
	}
	return failures
}

// sent is one request of a replay with what its caller saw.
type sent struct {
	step   Step
	result Result
	err    error
}

// judge counts the measures from the callers' answers and the stand-ins' records.
func (f *Fleet) judge(requests []sent, prepaid map[nutmegid.Workspace]nutmegid.Tokens, lines []nutmegledger.Line) Measures {
	var m Measures
	ran := f.ranRequests()
	for _, s := range requests {
		m.countRequest(s, ran)
	}
	m.countLines(requests, lines)
	m.countOrders(f.orderRuns())
	for w, spent := range f.spentTokens() {
		m.OverspendTokens += int64(max(0, spent-prepaid[w]))
	}
	record := f.Platform.Record()
	m.PlatformWrites = record.Writes
	m.PlatformReads = record.Reads + record.Watches
	return m
}

func (m *Measures) countRequest(s sent, ran map[nutmegid.RequestID]bool) {
	m.Requests++
	switch {
	case s.result.Kind != "":
		if s.result.Run == nutmegroute.RanNo {
			m.RefusedNotRun++
			if ran[s.result.Request] {
				m.NotRunButRan++
			}
		}
	case !s.result.Whole:
		m.CutAnswers++
	default:
		m.Answered++
		if s.step.Do == ActionChat && s.result.Text != s.step.chat().WantText() {
			m.WrongAnswers++
		}
	}
}

func (m *Measures) countLines(requests []sent, lines []nutmegledger.Line) {
	billed := make(map[nutmegid.RequestID]int64)
	for _, line := range lines {
		billed[line.Request]++
	}
	for _, n := range billed {
		m.DoubleBilled += n - 1
	}
	for _, s := range requests {
		if s.step.Do == ActionChat && s.result.Whole && billed[s.result.Request] == 0 {
			m.Unbilled++
		}
	}
}

func (m *Measures) countOrders(runs map[string]int64) {
	for _, n := range runs {
		m.ProtectedDoubleRuns += n - 1
	}
}

// ranRequests are the requests that any upstream has run.
func (f *Fleet) ranRequests() map[nutmegid.RequestID]bool {
	ran := make(map[nutmegid.RequestID]bool)
	for _, e := range f.Engines {
		for _, run := range e.Runs() {
			ran[nutmegid.RequestID(run.Request)] = true
		}
	}
	for _, s := range f.Services {
		for _, call := range s.Calls() {
			ran[nutmegid.RequestID(call.Request)] = true
		}
	}
	return ran
}

// spentTokens are the tokens that the engines really ran for each workspace.
func (f *Fleet) spentTokens() map[nutmegid.Workspace]nutmegid.Tokens {
	spent := make(map[nutmegid.Workspace]nutmegid.Tokens)
	for _, e := range f.Engines {
		for _, run := range e.Runs() {
			spent[nutmegid.Workspace(run.Workspace)] += nutmegid.Tokens(run.PromptTokens + run.AnswerTokens)
		}
	}
	return spent
}

// orderRuns counts how often each protected order has run.
func (f *Fleet) orderRuns() map[string]int64 {
	runs := make(map[string]int64)
	for _, s := range f.Services {
		for _, call := range s.Calls() {
			if call.Key != "" {
				runs[call.Key]++
			}
		}
	}
	return runs
}
