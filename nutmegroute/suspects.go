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

// Fingerprint identifies the content of a request: its workspace, its model or route, and a
// hash of its body.
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

// Verdict is the current judgment on a request.
type Verdict string

// The verdicts.
const (
	// VerdictClear means that the request may run.
	VerdictClear Verdict = "clear"
	// VerdictSuspect means that an upstream crashed while the request ran.
	VerdictSuspect Verdict = "suspect"
	// VerdictQuarantined means that a second upstream crashed, or may have crashed.
	VerdictQuarantined Verdict = "quarantined"
)

// Suspect is the record of a request that ran at an upstream when it crashed.
type Suspect struct {
	Fingerprint Fingerprint          `json:"fingerprint"`
	Sequence    uint64               `json:"sequence"` // increases with each change
	Verdict     Verdict              `json:"verdict"`
	Workspace   nutmegid.Workspace   `json:"workspace"`
	Target      string               `json:"target"` // model or route
	Upstreams   []nutmegid.Upstream  `json:"upstreams"`
	Trial       nutmegid.Upstream    `json:"trial,omitempty"` // upstream where the trial runs
	Tried       bool                 `json:"tried,omitempty"` // the trial has been claimed
	Claimant    nutmegid.Incarnation `json:"claimant,omitempty"`
	ChangedAt   time.Time            `json:"changed_at"`
}

// newer reports whether s supersedes other.
func (s Suspect) newer(other Suspect) bool {
	if s.Sequence != other.Sequence {
		return s.Sequence > other.Sequence
	}
	return severity[s.Verdict] > severity[other.Verdict]
}

var severity = map[Verdict]int{VerdictClear: 0, VerdictSuspect: 1, VerdictQuarantined: 2}

// CrashReport identifies a request and the upstream that crashed while it ran.
type CrashReport struct {
	Fingerprint Fingerprint
	Workspace   nutmegid.Workspace
	Target      string
	Upstream    nutmegid.Upstream
}

// SuspectList is the list of suspects of the fleet, by fingerprint.
type SuspectList struct {
	Entries map[Fingerprint]Suspect `json:"entries"`
}

// SuspectStore holds the list of the fleet. Update is a compare and swap; change may be called
// several times.
type SuspectStore interface {
	Update(ctx context.Context, change func(*SuspectList) error) (SuspectList, error)
}

// SuspectsConfig configures Suspects.
type SuspectsConfig struct {
	Store       SuspectStore // if nil, the list is private to this instance
	Incarnation nutmegid.Incarnation
	Now         func() time.Time // time.Now if nil
	// OnVerdict is called for each change of a verdict.
	OnVerdict func(Suspect)
}

// Suspects tracks requests that crash upstreams. After its first crash, a request gets one
// trial in the whole fleet, at an upstream where no other suspect request runs. The trial is
// claimed by a compare and swap in the store.
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

// localSuspects is the store of a single instance.
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

// RecordCrash records that an upstream crashed while the request ran. This instance knows it
// immediately, and the fleet once RecordCrash returns, provided that the store is reachable.
func (s *Suspects) RecordCrash(ctx context.Context, report CrashReport) {
	s.merge(s.addCrash(report, s.entry(report.Fingerprint)))
	s.update(ctx, func(l *SuspectList) error {
		l.set(s.addCrash(report, l.Entries[report.Fingerprint]))
		return nil
	})
}

// addCrash adds a crash to an entry. It does not quarantine the request, because several
// upstreams may crash at the same time before any trial. An entry whose trial was claimed
// keeps Tried set, so it gets no other trial.
func (s *Suspects) addCrash(report CrashReport, entry Suspect) Suspect {
	entry.Fingerprint = report.Fingerprint
	entry.Workspace = report.Workspace
	entry.Target = report.Target
	if entry.Verdict == VerdictClear {
		entry.Tried = false
		entry.Upstreams = nil
	}
	if entry.Verdict != VerdictQuarantined {
		entry.Verdict = VerdictSuspect
	}
	if !slices.Contains(entry.Upstreams, report.Upstream) && len(entry.Upstreams) < maxCrashedUpstreams {
		entry.Upstreams = append(slices.Clone(entry.Upstreams), report.Upstream)
	}
	entry.Sequence++
	entry.ChangedAt = s.cfg.Now()
	return entry
}

// Get returns the record of a request.
func (s *Suspects) Get(f Fingerprint) Suspect {
	return s.entry(f)
}

func (s *Suspects) entry(f Fingerprint) Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Entries[f]
}

var (
	errTrialUsed = errors.New("the trial is running at another instance or has ended")
	errTrialBusy = errors.New("another suspect request is running at the upstream")
)

// TrialPicker picks the upstream for a trial, and releases it if the trial is not started.
type TrialPicker interface {
	Pick(ctx context.Context, avoid []nutmegid.Upstream) (nutmegid.Upstream, error)
	Release(err error)
}

// BeginTrial claims the only trial of a suspect request. If it returns an error, nothing was
// sent.
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
	upstream, err := picker.Pick(ctx, s.upstreamsToAvoid(f))
	if err != nil {
		return err
	}
	list, err := s.cfg.Store.Update(ctx, func(l *SuspectList) error {
		entry := l.Entries[f]
		if entry.Tried || entry.Verdict == VerdictQuarantined {
			return errTrialUsed
		}
		if s.trialRunning(l.Entries, upstream) {
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

// trialRunning reports whether a trial runs at the upstream. A trial that its claimant has not
// ended within trialTimeout is ignored: two trials may then overlap, and a crash may be
// attributed to both requests.
func (s *Suspects) trialRunning(entries map[Fingerprint]Suspect, u nutmegid.Upstream) bool {
	for _, e := range entries {
		if e.Trial == u && s.cfg.Now().Sub(e.ChangedAt) < trialTimeout {
			return true
		}
	}
	return false
}

// upstreamsToAvoid returns the upstreams that crashed while the request ran or that currently
// run a trial.
func (s *Suspects) upstreamsToAvoid(f Fingerprint) []nutmegid.Upstream {
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

// EndTrial records the verdict after a trial.
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

// Clear lets a request run again, on behalf of an operator.
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

// Export returns the n most recently changed entries, to be shared with peers.
func (s *Suspects) Export(n int) []Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := slices.Collect(maps.Values(s.list.Entries))
	slices.SortFunc(entries, func(a, b Suspect) int {
		return cmp.Or(b.ChangedAt.Compare(a.ChangedAt), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return entries[:min(n, len(entries))]
}

// Merge adds entries from a peer or from the store.
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
	accepted := !ok || e.newer(known)
	if accepted {
		s.list.set(e)
	}
	s.mu.Unlock()
	if accepted && s.cfg.OnVerdict != nil && e.Verdict != known.Verdict {
		s.cfg.OnVerdict(e)
	}
}

// update writes to the store within suspectStoreTimeout, so that a store outage does not delay
// the end of a request. Changes that the store misses reach the peers through Export.
func (s *Suspects) update(ctx context.Context, change func(*SuspectList) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), suspectStoreTimeout)
	defer cancel()
	list, err := s.cfg.Store.Update(ctx, change)
	if err == nil {
		s.mergeAll(list.Entries)
	}
}

// set adds an entry and keeps the list bounded: cleared entries are evicted first, then
// suspects, oldest first.
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
