package nutmegroute

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Fingerprint identifies the content of a request: its workspace, its model or
// route, and a hash of its body.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(w nutmegid.Workspace, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{string(w), target} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:16]))
}

// Verdict is what is held of a request.
type Verdict string

// The verdicts.
const (
	// VerdictClear says that the request may run.
	VerdictClear Verdict = "clear"
	// VerdictSuspect says that an upstream crashed while the request ran.
	VerdictSuspect Verdict = "suspect"
	// VerdictQuarantined says that a second upstream crashed, or may have.
	VerdictQuarantined Verdict = "quarantined"
)

// Suspect is what is known of a request that ran at a crashed upstream.
type Suspect struct {
	Fingerprint Fingerprint          `json:"fingerprint"`
	Sequence    uint64               `json:"sequence"` // rises with each change
	Verdict     Verdict              `json:"verdict"`
	Workspace   nutmegid.Workspace   `json:"workspace"`
	Target      string               `json:"target"` // the model or route
	Upstreams   []nutmegid.Upstream  `json:"upstreams"`
	Trial       nutmegid.Upstream    `json:"trial,omitempty"` // where the second try runs
	Tried       bool                 `json:"tried,omitempty"` // the second try was given out
	Claimant    nutmegid.Incarnation `json:"claimant,omitempty"`
	ChangedAt   time.Time            `json:"changed_at"`
}

// newer reports whether s replaces other.
func (s Suspect) newer(other Suspect) bool {
	if s.Sequence != other.Sequence {
		return s.Sequence > other.Sequence
	}
	return severity[s.Verdict] > severity[other.Verdict]
}

var severity = map[Verdict]int{VerdictClear: 0, VerdictSuspect: 1, VerdictQuarantined: 2}

// Accused names a request and the upstream that crashed under it.
type Accused struct {
	Fingerprint Fingerprint
	Workspace   nutmegid.Workspace
	Target      string
	Upstream    nutmegid.Upstream
}

// SuspectList is the fleet's list of suspects, by fingerprint.
type SuspectList struct {
	Entries map[Fingerprint]Suspect `json:"entries"`
}

// SuspectStore holds the fleet's list. Update is a compare and set; change may
// be called several times.
type SuspectStore interface {
	Update(ctx context.Context, change func(*SuspectList) error) (SuspectList, error)
}

// SuspectsConfig configures suspects.
type SuspectsConfig struct {
	Store       SuspectStore // none when nil: the list is this instance's own
	Incarnation nutmegid.Incarnation
	Now         func() time.Time // time.Now when nil
	// OnVerdict is told of each change of a verdict.
	OnVerdict func(Suspect)
}

// Suspects remembers requests that crash upstreams. Over the whole fleet a
// request is tried once more after its first crash, where no other suspect
// runs; the second try is bought by a compare and set in the store.
type Suspects struct {
	cfg SuspectsConfig

	mu   sync.Mutex
	list SuspectList
}

// NewSuspects returns an empty list.
func NewSuspects(cfg SuspectsConfig) *Suspects {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	s := &Suspects{cfg: cfg, list: SuspectList{Entries: make(map[Fingerprint]Suspect)}}
	if s.cfg.Store == nil {
		s.cfg.Store = &localSuspects{}
	}
	return s
}

// localSuspects stands in for the store of a fleet of one.
type localSuspects struct {
	mu   sync.Mutex
	list SuspectList
}

// Update implements SuspectStore.
func (l *localSuspects) Update(_ context.Context, change func(*SuspectList) error) (SuspectList, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := SuspectList{Entries: maps.Clone(l.list.Entries)}
	if err := change(&next); err != nil {
		return l.list, err
	}
	l.list = next
	return SuspectList{Entries: maps.Clone(next.Entries)}, nil
}

// Check returns the verdict on a request.
func (s *Suspects) Check(f Fingerprint) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry, ok := s.list.Entries[f]; ok {
		return entry.Verdict
	}
	return VerdictClear
}

// Crashed records that an upstream crashed while the request ran. The request
// is known to this instance at once, and to the fleet when Crashed returns, as
// far as the store answers.
func (s *Suspects) Crashed(ctx context.Context, a Accused) {
	s.merge(s.record(a, s.entry(a.Fingerprint)))
	s.update(ctx, func(l *SuspectList) error {
		l.set(s.record(a, l.Entries[a.Fingerprint]))
		return nil
	})
}

// record adds one crash to an entry. A crash of a request that was tried
// already condemns it; crashes at the same time at several upstreams do not.
func (s *Suspects) record(a Accused, entry Suspect) Suspect {
	entry.Fingerprint = a.Fingerprint
	entry.Workspace = a.Workspace
	entry.Target = a.Target
	if entry.Verdict == VerdictClear {
		entry.Tried = false
		entry.Upstreams = nil
	}
	if entry.Verdict != VerdictQuarantined {
		entry.Verdict = VerdictSuspect
	}
	if !slices.Contains(entry.Upstreams, a.Upstream) && len(entry.Upstreams) < maxAccusedUpstreams {
		entry.Upstreams = append(slices.Clone(entry.Upstreams), a.Upstream)
	}
	entry.Sequence++
	entry.ChangedAt = s.cfg.Now()
	return entry
}

// Get returns what is known of a request.
func (s *Suspects) Get(f Fingerprint) Suspect {
	return s.entry(f)
}

func (s *Suspects) entry(f Fingerprint) Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Entries[f]
}

var (
	errTrialTaken = errors.New("the second try is under way at another instance or has ended")
	errTrialBusy  = errors.New("another suspect request runs at the upstream")
)

// TrialPicker chooses the upstream of a second try, and gives it free again
// where the try does not take place.
type TrialPicker interface {
	Pick(ctx context.Context, avoid []nutmegid.Upstream) (nutmegid.Upstream, error)
	Release(err error)
}

// BeginTrial buys the one second try of a suspect request. An error means that
// nothing was sent.
func (s *Suspects) BeginTrial(ctx context.Context, f Fingerprint, picker TrialPicker) error {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	for {
		err := s.claimTrial(ctx, f, picker)
		if !errors.Is(err, errTrialBusy) || ctx.Err() != nil {
			return trialError(err)
		}
		sleep(ctx, trialPollInterval)
	}
}

func (s *Suspects) claimTrial(ctx context.Context, f Fingerprint, picker TrialPicker) error {
	upstream, err := picker.Pick(ctx, s.avoided(f))
	if err != nil {
		return err
	}
	list, err := s.cfg.Store.Update(ctx, func(l *SuspectList) error {
		entry := l.Entries[f]
		if entry.Tried || entry.Verdict == VerdictQuarantined {
			return errTrialTaken
		}
		if s.busy(l.Entries, upstream) {
			return errTrialBusy
		}
		if entry.Fingerprint == "" {
			entry = s.entry(f)
		}
		entry.Tried = true
		entry.Trial = upstream
		entry.Claimant = s.cfg.Incarnation
		entry.Sequence++
		entry.ChangedAt = s.cfg.Now()
		l.set(entry)
		return nil
	})
	if err != nil {
		picker.Release(trialError(err))
		return err
	}
	s.mergeAll(list.Entries)
	return nil
}

// busy reports whether a second try runs at the upstream. One whose claimant
// has not ended it for long is passed over: blame may be shared, never more.
func (s *Suspects) busy(entries map[Fingerprint]Suspect, u nutmegid.Upstream) bool {
	for _, e := range entries {
		if e.Trial == u && s.cfg.Now().Sub(e.ChangedAt) < trialTimeout {
			return true
		}
	}
	return false
}

// avoided are the upstreams that crashed under a request or try a suspect now.
func (s *Suspects) avoided(f Fingerprint) []nutmegid.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	avoid := slices.Clone(s.list.Entries[f].Upstreams)
	for _, e := range s.list.Entries {
		if e.Trial != "" {
			avoid = append(avoid, e.Trial)
		}
	}
	return avoid
}

func trialError(err error) error {
	if err == nil {
		return nil
	}
	var known *Error
	if errors.As(err, &known) {
		return err
	}
	return &Error{Kind: KindSuspect, Ran: RanNo, Remedy: "an upstream crashed under this request; wait for its second try, then ask an operator", Err: err}
}

// EndTrial records how the second try ended.
func (s *Suspects) EndTrial(ctx context.Context, f Fingerprint, verdict Verdict) {
	change := func(entry Suspect) Suspect {
		entry.Trial = ""
		entry.Tried = verdict != VerdictSuspect
		entry.Verdict = verdict
		entry.Sequence++
		entry.ChangedAt = s.cfg.Now()
		return entry
	}
	s.merge(change(s.entry(f)))
	s.update(ctx, func(l *SuspectList) error {
		entry, ok := l.Entries[f]
		if !ok {
			entry = s.entry(f)
		}
		l.set(change(entry))
		return nil
	})
}

// Clear lets a request run again, by an operator's word.
func (s *Suspects) Clear(ctx context.Context, f Fingerprint) error {
	list, err := s.cfg.Store.Update(ctx, func(l *SuspectList) error {
		entry := l.Entries[f]
		entry.Fingerprint = f
		entry.Verdict = VerdictClear
		entry.Tried = false
		entry.Trial = ""
		entry.Upstreams = nil
		entry.Sequence = max(entry.Sequence, s.entry(f).Sequence) + 1
		entry.ChangedAt = s.cfg.Now()
		l.set(entry)
		return nil
	})
	if err != nil {
		return err
	}
	s.mergeAll(list.Entries)
	return nil
}

// Export returns the entries to share with peers, at most n of the latest.
func (s *Suspects) Export(n int) []Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := slices.Collect(maps.Values(s.list.Entries))
	slices.SortFunc(entries, func(a, b Suspect) int {
		return cmp.Or(b.ChangedAt.Compare(a.ChangedAt), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return entries[:min(n, len(entries))]
}

// Merge takes in entries from a peer or from the store.
func (s *Suspects) Merge(entries []Suspect) {
	for _, e := range entries {
		s.merge(e)
	}
}

func (s *Suspects) mergeAll(entries map[Fingerprint]Suspect) {
	for _, e := range entries {
		s.merge(e)
	}
}

func (s *Suspects) merge(e Suspect) {
	s.mu.Lock()
	known, ok := s.list.Entries[e.Fingerprint]
	taken := !ok || e.newer(known)
	if taken {
		s.list.set(e)
	}
	s.mu.Unlock()
	if taken && s.cfg.OnVerdict != nil && e.Verdict != known.Verdict {
		s.cfg.OnVerdict(e)
	}
}

// update writes to the store, within a bounded time; a request's end must not
// wait for an outage. What the store misses reaches the peers by Export.
func (s *Suspects) update(ctx context.Context, change func(*SuspectList) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), suspectStoreTimeout)
	defer cancel()
	list, err := s.cfg.Store.Update(ctx, change)
	if err == nil {
		s.mergeAll(list.Entries)
	}
}

// set puts an entry in and keeps the list bounded: cleared entries go first,
// then suspects, the oldest of each first.
func (l *SuspectList) set(e Suspect) {
	if l.Entries == nil {
		l.Entries = make(map[Fingerprint]Suspect)
	}
	l.Entries[e.Fingerprint] = e
	for len(l.Entries) > maxSuspects {
		delete(l.Entries, l.leastImportant())
	}
}

func (l *SuspectList) leastImportant() Fingerprint {
	entries := maps.Values(l.Entries)
	least := slices.MinFunc(slices.Collect(entries), func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(severity[a.Verdict], severity[b.Verdict]), a.ChangedAt.Compare(b.ChangedAt))
	})
	return least.Fingerprint
}

func quarantinedError() error {
	return &Error{Kind: KindQuarantined, Ran: RanNo, Remedy: "the request crashed two upstreams; change it, or ask an operator to clear it"}
}
