package nutmegadmit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

const (
	modelStep    = 20 * time.Millisecond
	modelService = "engines"
	modelSlots   = 16 // of an engine
)

// kind is a kind of requests of a modelled load.
type kind struct {
	name      string
	priority  int
	perSecond float64
	workspace func(*rand.Rand) nutmegid.Workspace
	tokens    int64
	target    time.Duration
	service   time.Duration // at an engine
}

// outcome counts what became of the requests of one kind or workspace.
type outcome struct {
	asked, admitted, inTime int
}

func (o outcome) served() float64 { return float64(o.admitted) / float64(max(o.asked, 1)) }
func (o outcome) timely() float64 { return float64(o.inTime) / float64(max(o.admitted, 1)) }

// job is a request at a modelled engine.
type job struct {
	kind     *kind
	by       *outcome
	instance int
	arrived  time.Duration
	ends     time.Duration // when it is running
}

// modelEngine runs as many jobs as it has slots, more urgent ones first.
type modelEngine struct {
	slots   int
	running []job
	waiting []job
	gone    bool
}

func (e *modelEngine) load() int { return len(e.running) + len(e.waiting) }

// modelFleet is a fleet of instances, each with its own Controller, before engines that
// all of them use.
type modelFleet struct {
	random      *rand.Rand
	now         time.Duration
	controllers []*Controller
	engines     []*modelEngine
	reportDelay time.Duration
	pending     []delayedReport
	kinds       []*kind
	byKind      map[string]*outcome
	byWorkspace map[nutmegid.Workspace]*outcome
	busy        float64 // running requests per slot, sum of steps
	longest     float64 // most waiting requests per slot
	steps       int
	gaps        map[string]time.Duration // longest time without an admitted request, by kind
	last        map[string]time.Duration
}

type delayedReport struct {
	at       time.Duration
	instance int
	report   Report
}

func newModelFleet(instances, engines int) *modelFleet {
	f := &modelFleet{random: rand.New(rand.NewPCG(1, uint64(instances)))}
	f.reset()
	for i := range instances {
		f.controllers = append(f.controllers, New(Config{Seed: uint64(i)}))
	}
	for range engines {
		f.engines = append(f.engines, &modelEngine{slots: modelSlots})
	}
	return f
}

// reset forgets the outcomes so far.
func (f *modelFleet) reset() {
	f.byKind, f.byWorkspace = make(map[string]*outcome), make(map[nutmegid.Workspace]*outcome)
	f.gaps, f.last = make(map[string]time.Duration), make(map[string]time.Duration)
	f.busy, f.longest, f.steps = 0, 0, 0
}

// play lets the load go on for some time.
func (f *modelFleet) play(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += modelStep {
		f.deliverReports()
		f.runEngines()
		for _, k := range f.kinds {
			for n := k.perSecond * modelStep.Seconds(); n > 0; n-- {
				if n >= 1 || f.random.Float64() < n {
					f.arrive(k)
				}
			}
		}
	}
}

func (f *modelFleet) deliverReports() {
	for len(f.pending) > 0 && f.pending[0].at <= f.now {
		f.controllers[f.pending[0].instance].RecordReport(modelService, f.pending[0].report, f.now)
		f.pending = f.pending[1:]
	}
}

// runEngines ends jobs whose time is over and begins waiting ones.
func (f *modelFleet) runEngines() {
	running, waiting, slots := 0, 0, 0
	for _, e := range f.engines {
		if e.gone {
			continue
		}
		e.running = slices.DeleteFunc(e.running, func(j job) bool {
			if j.ends > f.now {
				return false
			}
			f.controllers[j.instance].RecordServiceTime(modelService, f.now-j.arrived)
			return true
		})
		if len(e.waiting) > 1 {
			slices.SortStableFunc(e.waiting, func(a, b job) int { return cmp.Compare(a.kind.priority, b.kind.priority) })
		}
		for len(e.waiting) > 0 && len(e.running) < e.slots {
			f.begin(e, e.waiting[0])
			e.waiting = e.waiting[1:]
		}
		running, waiting, slots = running+len(e.running), waiting+len(e.waiting), slots+e.slots
	}
	f.busy += float64(running) / float64(slots)
	f.longest = max(f.longest, float64(waiting)/float64(slots))
	f.steps++
}

func (f *modelFleet) begin(e *modelEngine, j job) {
	j.ends = f.now + j.kind.service
	if f.now-j.arrived <= j.kind.target {
		j.by.inTime++
	}
	e.running = append(e.running, j)
	r := Report{Running: len(e.running), Waiting: len(e.waiting), Slots: e.slots}
	f.pending = append(f.pending, delayedReport{f.now + f.reportDelay, j.instance, r})
}

// arrive has one instance decide on a request, and place it at the emptier of two engines.
func (f *modelFleet) arrive(k *kind) {
	instance := f.random.IntN(len(f.controllers))
	w := k.workspace(f.random)
	of := f.outcome(k, w)
	for _, o := range of {
		o.asked++
	}
	d := f.controllers[instance].Decide(Request{
		Service: modelService, Workspace: w, Priority: k.priority, Tokens: k.tokens, LatencyTarget: k.target,
	}, f.now)
	if !d.Admitted {
		return
	}
	for _, o := range of {
		o.admitted++
	}
	f.gaps[k.name] = max(f.gaps[k.name], f.now-f.last[k.name])
	f.last[k.name] = f.now
	a, b := f.engine(), f.engine()
	if b.load() < a.load() {
		a = b
	}
	a.waiting = append(a.waiting, job{kind: k, by: of[0], instance: instance, arrived: f.now})
}

func (f *modelFleet) engine() *modelEngine {
	for {
		if e := f.engines[f.random.IntN(len(f.engines))]; !e.gone {
			return e
		}
	}
}

func (f *modelFleet) outcome(k *kind, w nutmegid.Workspace) [2]*outcome {
	if f.byKind[k.name] == nil {
		f.byKind[k.name] = &outcome{}
		f.last[k.name] = f.now
	}
	if f.byWorkspace[w] == nil {
		f.byWorkspace[w] = &outcome{}
	}
	return [2]*outcome{f.byKind[k.name], f.byWorkspace[w]}
}

// busyShare returns the mean share of slots in use.
func (f *modelFleet) busyShare() float64 { return f.busy / float64(f.steps) }

// workspaces returns one of 24 workspaces, evenly.
func workspaces(random *rand.Rand) nutmegid.Workspace {
	return nutmegid.Workspace(fmt.Sprint("w", random.IntN(24)))
}

// modelKinds returns a load of three kinds that takes the given share of the slots.
func modelKinds(slots int, share float64) []*kind {
	unit := share * float64(slots)
	return []*kind{
		{name: "chat", priority: 0, perSecond: 0.45 * unit, workspace: workspaces, tokens: 1100, target: 250 * time.Millisecond, service: time.Second},
		{name: "tagging", priority: 1, perSecond: 0.5 * unit, workspace: workspaces, tokens: 2400, target: 400 * time.Millisecond, service: 200 * time.Millisecond},
		{name: "review", priority: 2, perSecond: 0.225 * unit, workspace: workspaces, tokens: 12_400, target: 1200 * time.Millisecond, service: 2 * time.Second},
	}
}

// eachFleet runs a test with fleets of several sizes.
func eachFleet(t *testing.T, test func(t *testing.T, instances, engines int)) {
	t.Helper()
	for _, size := range []struct{ instances, engines int }{{7, 12}, {71, 112}, {450, 667}} {
		t.Run(fmt.Sprint(size.instances, "_instances"), func(t *testing.T) {
			test(t, size.instances, size.engines)
		})
	}
}
