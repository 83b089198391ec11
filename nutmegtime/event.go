package nutmegtime

import (
	"cmp"
	"net/url"
	"slices"
	"sync"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Kind is the kind of an event: what happened.
type Kind string

// The kinds of events.
const (
	KindStart       Kind = "start"
	KindStop        Kind = "stop"
	KindRequest     Kind = "request"
	KindReserve     Kind = "reserve"
	KindRefuse      Kind = "refuse"
	KindSend        Kind = "send"
	KindAnswer      Kind = "answer"
	KindResume      Kind = "resume"
	KindSettle      Kind = "settle"
	KindLease       Kind = "lease"
	KindReturn      Kind = "return"
	KindTransfer    Kind = "transfer"
	KindSegment     Kind = "segment"
	KindClaim       Kind = "claim"
	KindOutcome     Kind = "outcome"
	KindPlan        Kind = "plan"
	KindConfirm     Kind = "confirm"
	KindRevision    Kind = "revision"
	KindStoreState  Kind = "store_state"
	KindUpstream    Kind = "upstream"
	KindQuarantine  Kind = "quarantine"
	KindEngineCall  Kind = "engine_call"
	KindServiceCall Kind = "service_call"
	KindObjectCall  Kind = "object_call"
)

// Event is one entry of the timeline.
type Event struct {
	At       Stamp              `json:"at"`
	Process  string             `json:"process"`
	Kind     Kind               `json:"kind"`
	Request  nutmegid.RequestID `json:"request,omitempty"`
	Budget   nutmegid.BudgetID  `json:"budget,omitempty"`
	Upstream nutmegid.Upstream  `json:"upstream,omitempty"`
	Tokens   nutmegid.Tokens    `json:"tokens,omitempty"`
	Revision nutmegid.Revision  `json:"revision,omitempty"`
	Detail   string             `json:"detail,omitempty"`
}

// Filter selects events. An empty field matches every event.
type Filter struct {
	Request  nutmegid.RequestID
	Budget   nutmegid.BudgetID
	Upstream nutmegid.Upstream
	Process  string
	Kind     Kind
}

// ParseFilter returns the filter given by the query parameters request, budget,
// upstream, process and kind.
func ParseFilter(q url.Values) Filter {
	return Filter{
		Request:  nutmegid.RequestID(q.Get("request")),
		Budget:   nutmegid.BudgetID(q.Get("budget")),
		Upstream: nutmegid.Upstream(q.Get("upstream")),
		Process:  q.Get("process"),
		Kind:     Kind(q.Get("kind")),
	}
}

// Query returns f as the query parameters that ParseFilter reads.
func (f Filter) Query() url.Values {
	return url.Values{
		"request":  {string(f.Request)},
		"budget":   {string(f.Budget)},
		"upstream": {string(f.Upstream)},
		"process":  {f.Process},
		"kind":     {string(f.Kind)},
	}
}

// Match reports whether e matches all fields of the filter.
func (f Filter) Match(e Event) bool {
	return matches(f.Request, e.Request) &&
		matches(f.Budget, e.Budget) &&
		matches(f.Upstream, e.Upstream) &&
		matches(f.Process, e.Process) &&
		matches(f.Kind, e.Kind)
}

func matches[T ~string](want, got T) bool {
	return want == "" || want == got
}

// RingConfig configures a Ring.
type RingConfig struct {
	Process string
	Clock   *Clock
	Size    int // number of events selected; DefaultRingSize when zero
}

// Ring is a ring buffer that keeps the latest events of one process.
type Ring struct {
	cfg RingConfig

	mu     sync.Mutex
	events []Event
	next   int // index of the oldest event once the buffer is full
}

// NewRing returns an empty ring.
func NewRing(cfg RingConfig) *Ring {
	if cfg.Size == 0 {
		cfg.Size = DefaultRingSize
	}
	return &Ring{cfg: cfg}
}

// Clock returns the clock that stamps the ring's events.
func (r *Ring) Clock() *Clock {
	return r.cfg.Clock
}

// Record stamps e and appends it. A full ring overwrites its oldest event.
func (r *Ring) Record(e Event) {
	e.Process = r.cfg.Process
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.cfg.Clock.Now()
	if len(r.events) < r.cfg.Size {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % r.cfg.Size
}

// Events returns the events in the ring that match f, oldest first.
func (r *Ring) Events(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	selected := make([]Event, 0, len(r.events))
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if f.Match(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

// Merge returns the events of several processes ordered by stamp, then by
// process.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		if a.At.Less(b.At) {
			return -1
		}
		if b.At.Less(a.At) {
			return 1
		}
		return cmp.Compare(a.Process, b.Process)
	})
	return merged
}
