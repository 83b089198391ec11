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

// observations holds everything that a run is evaluated by: what callers saw,
// what operators did, and the stand-ins' records.
type observations struct {
	model            nutmegid.Model
	requests         []*CallerRequest
	records          Records
	credits          []credit
	owners           []ownershipPeriod
	departures       []departure
	confirmed        []confirmedRevision
	samples          []revisionSample
	liveIncarnations map[nutmegid.Incarnation]bool
	crashes          int64
	failedActions    int64
}

// credit is an amount of prepaid tokens that a budget has from a time on.
type credit struct {
	budget nutmegid.BudgetID
	tokens nutmegid.Tokens
	at     time.Time
}

// ownershipPeriod names the owner of a workspace from a time on.
type ownershipPeriod struct {
	workspace nutmegid.Workspace
	owner     nutmegid.Owner
	at        time.Time
}

// departure records when an upstream was marked as leaving.
type departure struct {
	upstream nutmegid.Upstream
	at       time.Time
}

const maxDetails = 20 // lines in Report.Details

// evaluator computes the measures of a run from its observations.
type evaluator struct {
	observations
	measures    Measures
	refusals    map[string]int64
	details     []string
	executions  map[nutmegid.RequestID]execution
	lines       map[nutmegid.RequestID][]nutmegledger.Line
	billedLines map[nutmegid.RequestID]nutmegledger.Line
}

// execution counts what the upstreams ran for one request ID.
type execution struct {
	runs   int
	tokens nutmegid.Tokens
}

// evaluate computes the measures of a run.
func evaluate(observed observations) Report {
	ev := &evaluator{
		observations: observed, refusals: make(map[string]int64),
		executions: make(map[nutmegid.RequestID]execution), lines: make(map[nutmegid.RequestID][]nutmegledger.Line),
		billedLines: make(map[nutmegid.RequestID]nutmegledger.Line),
	}
	ev.indexRecords()
	for _, r := range observed.requests {
		ev.countRequest(r)
		ev.checkBilling(r)
	}
	ev.countInvalidLines()
	ev.countOrders()
	ev.countSentToLeaving()
	ev.countRevisions()
	ev.countBudgets()
	ev.countLatency()
	ev.measures.Crashes = observed.crashes
	ev.measures.FailedIntents = observed.failedActions
	ev.measures.PlatformWrites = observed.records.Platform.Writes
	ev.measures.PlatformReads = observed.records.Platform.Reads + observed.records.Platform.Watches
	ev.measures.PlatformCallsRefused = observed.records.Platform.Limited
	return Report{Measures: ev.measures, Refusals: ev.refusals, Details: ev.details}
}

// addDetail records one violation, up to maxDetails of them.
func (ev *evaluator) addDetail(format string, args ...any) {
	if len(ev.details) < maxDetails {
		ev.details = append(ev.details, fmt.Sprintf(format, args...))
	}
}

func (ev *evaluator) indexRecords() {
	for _, runs := range ev.records.Runs {
		for _, r := range runs {
			sum := ev.executions[nutmegid.RequestID(r.Request)]
			sum.runs++
			sum.tokens += runTokens(r)
			ev.executions[nutmegid.RequestID(r.Request)] = sum
			ev.measures.ServedTokens += int64(runTokens(r))
		}
	}
	for _, calls := range ev.records.Calls {
		for _, c := range calls {
			sum := ev.executions[nutmegid.RequestID(c.Request)]
			sum.runs++
			ev.executions[nutmegid.RequestID(c.Request)] = sum
		}
	}
	for _, line := range ev.records.Lines {
		ev.lines[line.Request] = append(ev.lines[line.Request], line)
	}
	for _, line := range ev.records.BilledLines {
		ev.billedLines[line.Request] = line
	}
}

func runTokens(r nutmegstand.EngineRun) nutmegid.Tokens {
	return nutmegid.Tokens(r.PromptTokens + r.AnswerTokens)
}

func (ev *evaluator) countRequest(r *CallerRequest) {
	ev.measures.Requests++
	ev.measures.Attempts += int64(len(r.Attempts))
	seen := make(map[nutmegid.RequestID]bool)
	for _, a := range r.Attempts {
		if a.Resumed {
			ev.measures.Resumes++
		}
		if a.Ran == nutmegroute.RanNo && !a.Resumed && !seen[a.Request] && ev.executions[a.Request].runs > 0 {
			ev.measures.NotRunButRan++
			ev.addDetail("request %s was refused as not run (%s), but an upstream ran it", a.Request, a.Kind)
		}
		seen[a.Request] = true
	}
	ev.countOutcome(r)
	if r.Step.Action == ActionChat {
		ev.checkAnswer(r)
	}
}

func (ev *evaluator) countOutcome(r *CallerRequest) {
	last := r.lastAttempt()
	switch {
	case r.Complete:
		ev.measures.Answered++
	case r.Started:
		ev.measures.CutAnswers++
		ev.addDetail("request %d got a truncated answer; last attempt %+v", r.Number, last)
	case r.Refused():
		ev.measures.RefusedNotRun++
		ev.refusals[last.Kind]++
	case last.Kind != "":
		ev.measures.RefusedOther++
		ev.refusals[last.Kind]++
	default:
		ev.measures.Unanswered++
		ev.addDetail("request %d (%s) got no answer in %d attempts; last attempt %+v", r.Number, r.Step.Action, len(r.Attempts), last)
	}
}

// checkAnswer compares an answer, or the part of it that arrived, with the text
// that the engine stand-ins generate for the request.
func (ev *evaluator) checkAnswer(r *CallerRequest) {
	want := r.chat(ev.model).ExpectedText()
	if r.Complete && r.Text == want {
		return
	}
	if !r.Complete && len(r.Text) <= len(want) && r.Text == want[:len(r.Text)] {
		return
	}
	ev.measures.WrongAnswers++
	ev.addDetail("request %d got a wrong answer: %d bytes received, %d expected", r.Number, len(r.Text), len(want))
}

// checkBilling compares the ledger lines of a request, over all of its attempts,
// with the tokens that the engines used for it.
func (ev *evaluator) checkBilling(r *CallerRequest) {
	if r.Step.Action != ActionChat {
		return
	}
	var billed, used nutmegid.Tokens
	lines := 0
	seen := make(map[nutmegid.RequestID]bool)
	for _, a := range r.Attempts {
		if a.Request == "" || seen[a.Request] {
			continue
		}
		seen[a.Request] = true
		used += ev.executions[a.Request].tokens
		if line, ok := ev.billedLines[a.Request]; ok {
			lines++
			billed += line.Tokens
			ev.checkOwner(r, line)
		}
	}
	switch {
	case lines > 1:
		ev.measures.DoubleBilled += int64(lines - 1)
		ev.addDetail("request %d was billed %d times", r.Number, lines)
	case lines == 0 && r.Complete:
		ev.measures.Unbilled++
		ev.addDetail("request %d was answered, but not billed", r.Number)
	}
	if lines > 0 && billed != used {
		ev.measures.MisbilledTokens += abs(int64(billed - used))
		ev.addDetail("request %d was billed %d tokens, but used %d", r.Number, billed, used)
	}
}

func abs(n int64) int64 {
	return max(n, -n)
}

// checkOwner checks that a ledger line names an owner that the workspace had
// while the request was running, or the former owner within the grace period.
func (ev *evaluator) checkOwner(r *CallerRequest, line nutmegledger.Line) {
	var valid []nutmegid.Owner
	for _, o := range ev.owners {
		if o.workspace != r.Step.Workspace || o.at.After(r.EndedAt) {
			continue
		}
		if o.at.Before(r.DueAt.Add(-ownerChangeGracePeriod)) {
			valid = nil // this owner was in force at every instance before the request was sent
		}
		valid = append(valid, o.owner)
	}
	if !slices.Contains(valid, line.Owner) {
		ev.measures.WrongOwner++
		ev.addDetail("request %d was billed to owner %q, but its workspace belonged to %v", r.Number, line.Owner, valid)
	}
}

// countInvalidLines counts ledger lines that bill one request ID to two owners,
// and lines of requests that no upstream ran.
func (ev *evaluator) countInvalidLines() {
	for id, lines := range ev.lines {
		for _, line := range lines[1:] {
			if line.Owner != lines[0].Owner {
				ev.measures.DoubleBilled++
				ev.addDetail("request %s has ledger lines for owners %q and %q", id, lines[0].Owner, line.Owner)
			}
		}
		if tokens := ev.billedLines[id].Tokens; tokens > 0 && ev.executions[id].runs == 0 {
			ev.measures.MisbilledTokens += int64(tokens)
			ev.addDetail("request %s was billed %d tokens, but no upstream ran it", id, tokens)
		}
	}
}

func (ev *evaluator) countOrders() {
	runs := make(map[string]int64)
	for _, calls := range ev.records.Calls {
		for _, c := range calls {
			if c.Key != "" {
				runs[c.Key]++
			}
		}
	}
	for _, key := range sortedKeys(runs) {
		if runs[key] > 1 {
			ev.measures.ProtectedDoubleRuns += runs[key] - 1
			ev.addDetail("order %q ran %d times", key, runs[key])
		}
	}
}

func (ev *evaluator) countSentToLeaving() {
	for _, d := range ev.departures {
		until := d.at.Add(leavingGracePeriod)
		for _, r := range ev.records.Runs[d.upstream] {
			if r.StartedAt.After(until) {
				ev.addSentToLeaving(d, r.Request, r.StartedAt)
			}
		}
		for _, c := range ev.records.Calls[d.upstream] {
			if c.At.After(until) {
				ev.addSentToLeaving(d, c.Request, c.At)
			}
		}
	}
}

func (ev *evaluator) addSentToLeaving(d departure, request string, at time.Time) {
	ev.measures.SentToLeaving++
	ev.addDetail("upstream %q got request %s %v after it was marked as leaving", d.upstream, request, at.Sub(d.at))
}

// ownerAt returns the owner of a workspace at a time.
func (ev *evaluator) ownerAt(w nutmegid.Workspace, at time.Time) nutmegid.Owner {
	var owner nutmegid.Owner
	for _, o := range ev.owners {
		if o.workspace == w && !o.at.After(at) {
			owner = o.owner
		}
	}
	return owner
}

// sortByTime sorts credits and ownership periods by the time they begin.
func (o *observations) sortByTime() {
	slices.SortStableFunc(o.credits, func(a, b credit) int { return a.at.Compare(b.at) })
	slices.SortStableFunc(o.owners, func(a, b ownershipPeriod) int { return a.at.Compare(b.at) })
}
