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
	Target *Target // a fleet by address
	Fleet  *Fleet  // an embedded fleet; replaces Target
	Seed   uint64  // of the loads; the trace's own when zero
	Speed  float64 // divides the trace's times; 1 when zero
	// OnProgress is told of the requests so far once a second.
	OnProgress func(p Progress)
}

// Progress is how far a replay has come.
type Progress struct {
	Elapsed  time.Duration
	Total    time.Duration
	Sent     int64
	Answered int64
	Refused  int64
	Late     time.Duration // by which the latest request was sent after it was due
}

// replayer runs the steps of one trace.
type replayer struct {
	cfg     ReplayConfig
	target  *Target
	fleet   *Fleet
	trace   Trace
	callers *callers
	control control

	sent     atomic.Int64
	answered atomic.Int64
	refused  atomic.Int64
	late     atomic.Int64

	mu       sync.Mutex
	evidence evidence
	failed   []string // acts of operators that were given up
}

// Replay runs a trace and judges the outcome. Report.Failures lists the stated
// outcomes that were not met.
func Replay(ctx context.Context, cfg ReplayConfig, trace Trace) (Report, error) {
	r, err := newReplayer(cfg, trace)
	if err != nil {
		return Report{}, err
	}
	if err := r.target.Setup(ctx, trace.Owners, trace.Workspaces); err != nil {
		return Report{}, err
	}
	base, err := r.begin(ctx)
	if err != nil {
		return Report{}, err
	}
	watch := newRevisionWatch(r)
	watch.start()
	err = r.steps(ctx)
	watch.stop()
	if err != nil {
		return Report{}, err
	}
	report, err := r.end(ctx, base, watch)
	if err != nil {
		return Report{}, err
	}
	report.Trace = trace.Name
	report.Seed = r.cfg.Seed
	report.Details = append(report.Details, r.failed...)
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
		return nil, errors.New("the replay has no fleet; give an embedded one or the addresses of one")
	}
	c := &callers{target: cfg.Target, patience: time.Duration(trace.Callers.Patience), idle: time.Duration(trace.Callers.Idle)}
	if c.patience == 0 {
		c.patience = DefaultPatience
	}
	if c.idle == 0 {
		c.idle = DefaultIdle
	}
	r := &replayer{cfg: cfg, target: cfg.Target, fleet: cfg.Fleet, trace: trace, callers: c}
	r.control = newControl(cfg.Target, cfg.Fleet)
	r.evidence.model = cfg.Target.Model
	return r, nil
}

// begin notes what is prepaid and the platform's counts before the first step.
func (r *replayer) begin(ctx context.Context) (nutmegstand.PlatformRecord, error) {
	now := time.Now()
	for _, w := range r.trace.Workspaces {
		r.evidence.prepaid = append(r.evidence.prepaid, grant{budget: nutmegid.WorkspaceBudget(w.Name), tokens: w.Tokens, at: now})
		r.evidence.owners = append(r.evidence.owners, ownership{workspace: w.Name, owner: w.Owner})
	}
	for _, o := range r.trace.Owners {
		r.evidence.prepaid = append(r.evidence.prepaid, grant{budget: nutmegid.OwnerBudget(o.Name), tokens: o.Tokens, at: now})
	}
	var record nutmegstand.PlatformRecord
	return record, r.target.get(ctx, r.target.PlatformURL+"/records", &record)
}

// steps starts every step at its time and waits for all to end.
func (r *replayer) steps(ctx context.Context) error {
	schedule := r.trace.Schedule(r.cfg.Seed, r.cfg.Speed)
	start := time.Now()
	var total time.Duration
	if len(schedule) > 0 {
		total = time.Duration(schedule[len(schedule)-1].at)
	}
	progress := newProgressLoop(r, start, total)
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
		for range max(1, step.Repeat) {
			number++
			s := &Sent{Step: step, Number: number, Due: due}
			wait.Go(func() { r.run(ctx, s) })
		}
	}
	wait.Wait()
	return r.control.healAll(ctx)
}

func (r *replayer) run(ctx context.Context, s *Sent) {
	switch s.Step.Do {
	case ActionChat, ActionLookUp, ActionOrder:
		r.request(ctx, s)
	case ActionTopUp, ActionMoveWorkspace, ActionRetireUpstreams, ActionIntend:
		r.operate(ctx, s.Step)
	default:
		if s.Step.Do == ActionUpstreamLeave && !s.Step.end {
			r.noteLeaving(s.Step.Upstreams)
		}
		if err := r.control.apply(ctx, s.Step); err != nil {
			r.fail("line %d: %s: %v", s.Step.line, s.Step.Do, err)
		}
	}
}

func (r *replayer) request(ctx context.Context, s *Sent) {
	r.sent.Add(1)
	r.late.Store(int64(time.Since(s.Due)))
	r.callers.send(ctx, s)
	if s.Whole {
		r.answered.Add(1)
	} else {
		r.refused.Add(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.requests = append(r.evidence.requests, s)
}

// fail notes an act that could not be carried out.
func (r *replayer) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.failedActs++
	r.failed = append(r.failed, fmt.Sprintf(format, args...))
}

// end waits for the ledger and judges.
func (r *replayer) end(ctx context.Context, base nutmegstand.PlatformRecord, watch *revisionWatch) (Report, error) {
	var after nutmegstand.PlatformRecord
	if err := r.target.get(ctx, r.target.PlatformURL+"/records", &after); err != nil {
		return Report{}, err
	}
	r.target.waitLedger(ctx, r.evidence.requests)
	records, err := r.target.Records(ctx)
	if err != nil {
		return Report{}, err
	}
	records.Platform = difference(after, base)
	e := r.evidence
	e.records = records
	e.sightings = watch.sightings
	e.live = watch.liveNow(ctx)
	e.crashes = r.control.crashes()
	e.sort()
	return decide(e), nil
}

func difference(after, before nutmegstand.PlatformRecord) nutmegstand.PlatformRecord {
	after.Reads -= before.Reads
	after.Writes -= before.Writes
	after.Watches -= before.Watches
	after.Limited -= before.Limited
	return after
}
