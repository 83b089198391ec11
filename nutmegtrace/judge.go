package nutmegtrace

import (
	"fmt"
	"slices"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegledger"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

// evidence is all that a judgement rests on: what callers saw, what operators
// did, and the stand-ins' records.
type evidence struct {
	model      nutmegid.Model
	requests   []*Sent
	records    Records
	prepaid    []grant
	owners     []ownership
	leaving    []leave
	accepted   []acceptance
	sightings  []sighting
	live       map[nutmegid.Incarnation]bool
	crashes    int64
	failedActs int64
}

// grant is prepaid tokens from a time on.
type grant struct {
	budget nutmegid.BudgetID
	tokens nutmegid.Tokens
	at     time.Time
}

// ownership says whose a workspace is from a time on.
type ownership struct {
	workspace nutmegid.Workspace
	owner     nutmegid.Owner
	at        time.Time
}

// leave says that an upstream was announced to leave at a time.
type leave struct {
	upstream nutmegid.Upstream
	at       time.Time
}

const maxDetails = 20

// judge counts the measures.
type judge struct {
	evidence
	m        Measures
	refusals map[string]int64
	details  []string
	run      map[nutmegid.RequestID]ran
	lines    map[nutmegid.RequestID][]nutmegledger.Line
	billed   map[nutmegid.RequestID]nutmegledger.Line
}

// ran is what the upstreams did for one request id.
type ran struct {
	runs   int
	tokens nutmegid.Tokens
}

// decide counts the measures of the evidence.
func decide(e evidence) Report {
	j := &judge{
		evidence: e, refusals: make(map[string]int64),
		run: make(map[nutmegid.RequestID]ran), lines: make(map[nutmegid.RequestID][]nutmegledger.Line),
		billed: make(map[nutmegid.RequestID]nutmegledger.Line),
	}
	j.index()
	for _, s := range e.requests {
		j.countRequest(s)
		j.countBills(s)
	}
	j.countForeignLines()
	j.countOrders()
	j.countLeaving()
	j.countConfig()
	j.countBudgets()
	j.countLatency()
	j.m.Crashes = e.crashes
	j.m.FailedIntents = e.failedActs
	j.m.PlatformWrites = e.records.Platform.Writes
	j.m.PlatformReads = e.records.Platform.Reads + e.records.Platform.Watches
	j.m.PlatformCallsRefused = e.records.Platform.Limited
	return Report{Measures: j.m, Refusals: j.refusals, Details: j.details}
}

// detail notes one broken promise.
func (j *judge) detail(format string, args ...any) {
	if len(j.details) < maxDetails {
		j.details = append(j.details, fmt.Sprintf(format, args...))
	}
}

func (j *judge) index() {
	for _, runs := range j.records.Runs {
		for _, r := range runs {
			at := j.run[nutmegid.RequestID(r.Request)]
			at.runs++
			at.tokens += tokensOf(r)
			j.run[nutmegid.RequestID(r.Request)] = at
			j.m.ServedTokens += int64(tokensOf(r))
		}
	}
	for _, calls := range j.records.Calls {
		for _, c := range calls {
			at := j.run[nutmegid.RequestID(c.Request)]
			at.runs++
			j.run[nutmegid.RequestID(c.Request)] = at
		}
	}
	for _, line := range j.records.Lines {
		j.lines[line.Request] = append(j.lines[line.Request], line)
	}
	for _, line := range j.records.Billed {
		j.billed[line.Request] = line
	}
}

func tokensOf(r nutmegstand.EngineRun) nutmegid.Tokens {
	return nutmegid.Tokens(r.PromptTokens + r.AnswerTokens)
}

func (j *judge) countRequest(s *Sent) {
	j.m.Requests++
	j.m.Attempts += int64(len(s.Attempts))
	own := make(map[nutmegid.RequestID]bool)
	for _, a := range s.Attempts {
		if a.Resumed {
			j.m.Resumes++
		}
		if a.Run == nutmegroute.RanNo && !a.Resumed && !own[a.Request] && j.run[a.Request].runs > 0 {
			j.m.NotRunButRan++
			j.detail("request %s was refused as not run (%s) but ran", a.Request, a.Kind)
		}
		own[a.Request] = true
	}
	j.countOutcome(s)
	if s.Step.Do == ActionChat {
		j.checkText(s)
	}
}

func (j *judge) countOutcome(s *Sent) {
	last := s.outcome()
	switch {
	case s.Whole:
		j.m.Answered++
	case s.Began:
		j.m.CutAnswers++
		j.detail("request %d got a cut answer; last attempt %+v", s.Number, last)
	case s.Refused():
		j.m.RefusedNotRun++
		j.refusals[last.Kind]++
	case last.Kind != "":
		j.m.RefusedOther++
		j.refusals[last.Kind]++
	default:
		j.m.Unanswered++
		j.detail("request %d (%s) got no answer in %d attempts; last %+v", s.Number, s.Step.Do, len(s.Attempts), last)
	}
}

// checkText compares an answer, or the part of it that arrived, with what the
// engine stand-ins give.
func (j *judge) checkText(s *Sent) {
	want := s.chat(j.model).WantText()
	if s.Whole && s.Text == want {
		return
	}
	if !s.Whole && len(s.Text) <= len(want) && s.Text == want[:len(s.Text)] {
		return
	}
	j.m.WrongAnswers++
	j.detail("request %d got a wrong answer: %d of %d bytes", s.Number, len(s.Text), len(want))
}

// countBills compares the ledger's lines of a request, over all attempts, with
// what the engines ran.
func (j *judge) countBills(s *Sent) {
	if s.Step.Do != ActionChat {
		return
	}
	var billed, used nutmegid.Tokens
	lines := 0
	seen := make(map[nutmegid.RequestID]bool)
	for _, a := range s.Attempts {
		if a.Request == "" || seen[a.Request] {
			continue
		}
		seen[a.Request] = true
		used += j.run[a.Request].tokens
		if line, ok := j.billed[a.Request]; ok {
			lines++
			billed += line.Tokens
			j.checkOwner(s, line)
		}
	}
	switch {
	case lines > 1:
		j.m.DoubleBilled += int64(lines - 1)
		j.detail("request %d was billed %d times", s.Number, lines)
	case lines == 0 && s.Whole:
		j.m.Unbilled++
		j.detail("request %d was answered but not billed", s.Number)
	}
	if lines > 0 && billed != used {
		j.m.MisbilledTokens += abs(int64(billed - used))
		j.detail("request %d was billed %d tokens and used %d", s.Number, billed, used)
	}
}

func abs(n int64) int64 {
	return max(n, -n)
}

// checkOwner checks that a line names an owner that the workspace had while
// the request was accepted.
func (j *judge) checkOwner(s *Sent, line nutmegledger.Line) {
	var had []nutmegid.Owner
	for _, o := range j.owners {
		if o.workspace != s.Step.Workspace || o.at.After(s.End) {
			continue
		}
		if o.at.Before(s.Due.Add(-ownerChangeGrace)) {
			had = nil // in force everywhere before the request was sent
		}
		had = append(had, o.owner)
	}
	if !slices.Contains(had, line.Owner) {
		j.m.WrongOwner++
		j.detail("request %d was billed to %q; its workspace belonged to %v", s.Number, line.Owner, had)
	}
}

// countForeignLines counts lines of one request id for two owners, and lines
// whose request nothing ran.
func (j *judge) countForeignLines() {
	for id, lines := range j.lines {
		for _, line := range lines[1:] {
			if line.Owner != lines[0].Owner {
				j.m.DoubleBilled++
				j.detail("request %s has lines for %q and %q", id, lines[0].Owner, line.Owner)
			}
		}
		if tokens := j.billed[id].Tokens; tokens > 0 && j.run[id].runs == 0 {
			j.m.MisbilledTokens += int64(tokens)
			j.detail("request %s is billed %d tokens, but no upstream ran it", id, tokens)
		}
	}
}

func (j *judge) countOrders() {
	runs := make(map[string]int64)
	for _, calls := range j.records.Calls {
		for _, c := range calls {
			if c.Key != "" {
				runs[c.Key]++
			}
		}
	}
	for _, key := range sortedKeys(runs) {
		if runs[key] > 1 {
			j.m.ProtectedDoubleRuns += runs[key] - 1
			j.detail("order %q ran %d times", key, runs[key])
		}
	}
}

func (j *judge) countLeaving() {
	for _, l := range j.leaving {
		until := l.at.Add(leavingGrace)
		for _, r := range j.records.Runs[l.upstream] {
			if r.StartedAt.After(until) {
				j.sentToLeaving(l, r.Request, r.StartedAt)
			}
		}
		for _, c := range j.records.Calls[l.upstream] {
			if c.At.After(until) {
				j.sentToLeaving(l, c.Request, c.At)
			}
		}
	}
}

func (j *judge) sentToLeaving(l leave, request string, at time.Time) {
	j.m.SentToLeaving++
	j.detail("upstream %q got request %s %v after it was announced to leave", l.upstream, request, at.Sub(l.at))
}

// ownerAt is the owner of a workspace at a time.
func (j *judge) ownerAt(w nutmegid.Workspace, at time.Time) nutmegid.Owner {
	var owner nutmegid.Owner
	for _, o := range j.owners {
		if o.workspace == w && !o.at.After(at) {
			owner = o.owner
		}
	}
	return owner
}

// sort orders grants and ownerships by time.
func (e *evidence) sort() {
	slices.SortStableFunc(e.prepaid, func(a, b grant) int { return a.at.Compare(b.at) })
	slices.SortStableFunc(e.owners, func(a, b ownership) int { return a.at.Compare(b.at) })
}
