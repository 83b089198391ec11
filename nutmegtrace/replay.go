package nutmegtrace

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

// ReplayConfig configures a replay.
type ReplayConfig struct {
	Target *Target // a fleet reached by address
	Fleet  *Fleet  // an embedded fleet; replaces Target
	Seed   uint64  // of the loads; the trace's own if zero
	Speed  float64 // divides the trace's times; 1 if zero
	// OnProgress is called once a second with the requests so far.
	OnProgress func(p Progress)
}

// Progress describes how far a replay has come.
type Progress struct {
	Elapsed   time.Duration
	Total     time.Duration
	Sent      int64
	Answered  int64
	Refused   int64
	SendDelay time.Duration // of the latest request, after it was due
}

// replayer runs the steps of one trace.
type replayer struct {
	cfg     ReplayConfig
	target  *Target
	fleet   *Fleet
	trace   Trace
	callers *callers
	control faultControl

	sent      atomic.Int64
	answered  atomic.Int64
	refused   atomic.Int64
	sendDelay atomic.Int64

	mu            sync.Mutex
	observations  observations
	failedActions []string // descriptions of actions that failed
}

// Replay runs a trace and evaluates the outcome. Report.Failures lists the
// expected outcomes that were not met.
func Replay(ctx context.Context, cfg ReplayConfig, trace Trace) (Report, error) {
	r, err := newReplayer(cfg, trace)
	if err != nil {
		return Report{}, err
	}
	if err := r.target.Setup(ctx, trace.Owners, trace.Workspaces); err != nil {
		return Report{}, err
	}
	before, err := r.recordInitialState(ctx)
	if err != nil {
		return Report{}, err
	}
	poller := newRevisionPoller(r)
	poller.start()
	err = r.runSteps(ctx)
	poller.stop()
	if err != nil {
		return Report{}, err
	}
	report, err := r.evaluateRun(ctx, before, poller)
	if err != nil {
		return Report{}, err
	}
	report.Trace = trace.Name
	report.Seed = r.cfg.Seed
	report.Details = append(report.Details, r.failedActions...)
	report.Failures = trace.Check(report.Measures)
	return report, nil
}

func newReplayer(cfg ReplayConfig, trace Trace) (*replayer, error) {
	if cfg.Speed <= 0 {
		cfg.Speed = 1
	}
	if cfg.Seed == 0 {
		cfg.Seed = trace.Seed
	}
	if cfg.Fleet != nil {
		cfg.Target = cfg.Fleet.Target
	}
	if cfg.Target == nil {
		return nil, errors.New("replay has no fleet: set Fleet to an embedded one, or Target to the addresses of one")
	}
	c := &callers{target: cfg.Target, requestTimeout: time.Duration(trace.Callers.RequestTimeout), idleTimeout: time.Duration(trace.Callers.IdleTimeout)}
	if c.requestTimeout == 0 {
		c.requestTimeout = DefaultRequestTimeout
	}
	if c.idleTimeout == 0 {
		c.idleTimeout = DefaultIdleTimeout
	}
	r := &replayer{cfg: cfg, target: cfg.Target, fleet: cfg.Fleet, trace: trace, callers: c}
	r.control = newFaultControl(cfg.Target, cfg.Fleet)
	r.observations.model = cfg.Target.Model
	return r, nil
}

// recordInitialState records prepaid tokens and owners, and returns the
// platform's counters before the first step.
func (r *replayer) recordInitialState(ctx context.Context) (nutmegstand.PlatformRecord, error) {
	now := time.Now()
	for _, w := range r.trace.Workspaces {
		r.observations.credits = append(r.observations.credits, credit{budget: nutmegid.WorkspaceBudget(w.Name), tokens: w.Tokens, at: now})
		r.observations.owners = append(r.observations.owners, ownershipPeriod{workspace: w.Name, owner: w.Owner})
	}
	for _, o := range r.trace.Owners {
		r.observations.credits = append(r.observations.credits, credit{budget: nutmegid.OwnerBudget(o.Name), tokens: o.Tokens, at: now})
	}
	var record nutmegstand.PlatformRecord
	return record, r.target.get(ctx, r.target.PlatformURL+"/records", &record)
}

// runSteps starts every step at its time, one that waits when the earlier ones have ended, waits for all of them and ends all faults.
func (r *replayer) runSteps(ctx context.Context) error {
	schedule := r.trace.Schedule(r.cfg.Seed, r.cfg.Speed)
	start := time.Now()
	var total time.Duration
	if len(schedule) > 0 {
		total = time.Duration(schedule[len(schedule)-1].at)
	}
	progress := newProgressReporter(r, start, total)
	progress.start()
	defer progress.stop()
	var wait sync.WaitGroup
	number := 0
	for _, step := range schedule {
		due := start.Add(time.Duration(step.at))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(due)):
		}
		if step.Wait {
			wait.Wait()
			start = start.Add(max(0, time.Since(due))) // later steps keep their distance
			due = start.Add(time.Duration(step.at))
		}
		for range max(1, step.Repeat) {
			number++
			request := &CallerRequest{Step: step, Number: number, DueAt: due}
			wait.Go(func() { r.runStep(ctx, request) })
		}
	}
	wait.Wait()
	return r.control.healAll(ctx)
}

func (r *replayer) runStep(ctx context.Context, request *CallerRequest) {
	switch request.Step.Action {
	case ActionChat, ActionLookUp, ActionOrder:
		r.runRequest(ctx, request)
	case ActionTopUp, ActionMoveWorkspace, ActionRetireUpstreams, ActionIntend:
		r.runOperatorStep(ctx, request.Step)
	default:
		if request.Step.Action == ActionUpstreamLeave && !request.Step.end {
			r.recordLeaving(request.Step.Upstreams)
		}
		if err := r.control.apply(ctx, request.Step); err != nil {
			r.recordFailure("line %d: action %q failed: %v", request.Step.line, request.Step.Action, err)
		}
	}
}

func (r *replayer) runRequest(ctx context.Context, request *CallerRequest) {
	r.sent.Add(1)
	r.sendDelay.Store(int64(time.Since(request.DueAt)))
	r.callers.send(ctx, request)
	if request.Complete {
		r.answered.Add(1)
	} else {
		r.refused.Add(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observations.requests = append(r.observations.requests, request)
}

// recordFailure records an action that failed.
func (r *replayer) recordFailure(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observations.failedActions++
	r.failedActions = append(r.failedActions, fmt.Sprintf(format, args...))
}

// evaluateRun waits until the ledger is complete and evaluates the run.
func (r *replayer) evaluateRun(ctx context.Context, before nutmegstand.PlatformRecord, poller *revisionPoller) (Report, error) {
	var after nutmegstand.PlatformRecord
	if err := r.target.get(ctx, r.target.PlatformURL+"/records", &after); err != nil {
		return Report{}, err
	}
	r.target.waitForLedger(ctx, r.observations.requests)
	records, err := r.target.Records(ctx)
	if err != nil {
		return Report{}, err
	}
	records.Platform = platformDelta(after, before)
	observed := r.observations
	observed.records = records
	observed.samples = poller.samples
	observed.liveIncarnations = poller.liveIncarnations(ctx)
	observed.crashes = r.control.crashes()
	observed.sortByTime()
	return evaluate(observed), nil
}

func platformDelta(after, before nutmegstand.PlatformRecord) nutmegstand.PlatformRecord {
	after.Reads -= before.Reads
	after.Writes -= before.Writes
	after.Watches -= before.Watches
	after.Limited -= before.Limited
	return after
}
