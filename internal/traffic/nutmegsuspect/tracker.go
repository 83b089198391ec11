package nutmegsuspect

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Hold says why and from when until when requests are held back.
type Hold struct {
	Suspect
	Crashes int
	From    time.Time // zero if at once; later if a part that explains the crashes is held back until then
	Until   time.Time
	Left    time.Duration // until the end of the hold; only from Held
}

// RetryAfter returns when the caller of a call that is held back may come back. Callers
// are spread, so that not all of them come at the moment at which the suspect is tried.
func (h Hold) RetryAfter() time.Duration {
	return h.Left + rand.N(returnSpread)
}

// Verdict is a change in whether the requests of a suspect are held back.
type Verdict struct {
	Hold
	Held bool // false when the requests may be sent again
}

// Config configures a Tracker. All functions may be nil; they are called without
// locks.
type Config struct {
	Reporter    nutmegid.Incarnation // of the reports that this tracker makes
	Now         func() time.Time     // time.Now when nil
	OnReport    func(Report)         // a new or longer report of this tracker
	OnAcquittal func(Acquittal)      // a new acquittal by this tracker
	OnVerdict   func(Verdict)
	// Rank returns the position of this instance among all for a suspect: the first
	// tries it first after a hold.
	Rank func(Key) int
	// OnChange is called when a crash or an answer that this tracker has recorded
	// itself changes what is held back.
	OnChange func()
}

// Tracker tracks suspects. It is safe for concurrent use.
type Tracker struct {
	cfg Config
	// held is the number of holds, also of those that are over, so that calls need
	// no keys while there are none.
	held atomic.Int64

	mu       sync.Mutex
	records  map[Key]*record
	holds    map[Key]Hold
	trials   map[Key]trial                  // of suspects in holds
	ranks    map[Key]int                    // of this instance, kept because judgements are frequent
	reports  map[nutmegview.Process]*Report // made by this tracker
	contents answers
	parts    answers
	forgotAt time.Time // when old records were removed
}

// NewTracker returns a Tracker without suspects.
func NewTracker(cfg Config) *Tracker {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.OnReport == nil {
		cfg.OnReport = func(Report) {}
	}
	if cfg.OnAcquittal == nil {
		cfg.OnAcquittal = func(Acquittal) {}
	}
	if cfg.OnVerdict == nil {
		cfg.OnVerdict = func(Verdict) {}
	}
	if cfg.OnChange == nil {
		cfg.OnChange = func() {}
	}
	if cfg.Rank == nil {
		cfg.Rank = func(Key) int { return 0 }
	}
	return &Tracker{cfg: cfg, records: make(map[Key]*record), trials: make(map[Key]trial), ranks: make(map[Key]int), reports: make(map[nutmegview.Process]*Report)}
}

// suspectsOf returns what a call may have in common with others: its content and
// the parts of its prompt.
func suspectsOf(c *nutmegcall.Call) []Suspect {
	return append([]Suspect{{Key: ContentKey(c)}}, partsOf(c)...)
}

func partsOf(c *nutmegcall.Call) []Suspect {
	var list []Suspect
	for i, key := range PartKeys(c) {
		list = append(list, Suspect{Key: key, Part: i + 1})
	}
	return list
}

// Held reports whether a call is held back. Of several holds it returns the longest.
// A call that is not held back although it has a suspect is on trial.
func (t *Tracker) Held(c *nutmegcall.Call) (Hold, bool) {
	if t.held.Load() == 0 {
		return Hold{}, false
	}
	suspects := suspectsOf(c)
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var longest Hold
	for _, s := range suspects {
		hold, ok := t.holds[s.Key]
		if !ok || now.Before(hold.From) {
			continue
		}
		if hold = t.waitForTrial(hold, c); hold.Until.After(longest.Until) {
			longest = hold
		}
	}
	longest.Left = longest.Until.Sub(now)
	if longest.Left > 0 {
		return longest, true
	}
	t.beginTrials(c, suspects, now)
	return longest, false
}

// UpstreamEnded records that an upstream's process ended while a call may have
// been running there. What was answered lately is no suspect.
func (t *Tracker) UpstreamEnded(c *nutmegcall.Call, u nutmegview.Upstream) {
	now := t.cfg.Now()
	t.mu.Lock()
	suspects := slices.DeleteFunc(suspectsOf(c), func(s Suspect) bool { return t.answered(s, now) })
	if len(suspects) == 0 {
		t.mu.Unlock()
		return
	}
	report, changed := t.addToReport(u.Process(), suspects, now)
	news := t.count(report, now)
	t.mu.Unlock()
	if changed {
		t.cfg.OnReport(report)
	}
	t.announce(news)
	if len(news.verdicts) > 0 {
		t.cfg.OnChange()
	}
}

// answered reports whether a request with the suspect was answered here lately. The
// caller holds mu.
func (t *Tracker) answered(s Suspect, now time.Time) bool {
	if s.Part > 0 {
		return t.parts.has(s.Key, now)
	}
	return t.contents.has(s.Key, now)
}

// addToReport adds suspects to this tracker's report on a process. It returns a
// copy of the report, and whether it has changed. The caller holds mu.
func (t *Tracker) addToReport(p nutmegview.Process, suspects []Suspect, now time.Time) (Report, bool) {
	maps.DeleteFunc(t.reports, func(_ nutmegview.Process, r *Report) bool { return now.Sub(r.EndedAt) > ReportLifetime })
	report, ok := t.reports[p]
	for ok && now.Sub(report.EndedAt) > restartGap {
		// The upstream has started again under its id, and its entry is out of date.
		p += "+"
		report, ok = t.reports[p]
	}
	if !ok {
		report = &Report{Process: p, Reporter: t.cfg.Reporter, EndedAt: now}
		t.reports[p] = report
	}
	changed := false
	for _, s := range suspects {
		if !slices.Contains(report.Suspects, s) && len(report.Suspects) < maxReportSuspects {
			report.Suspects = append(report.Suspects, s)
			changed = true
		}
	}
	return report.clone(), changed
}

// clone returns a copy of the report.
func (r *Report) clone() Report {
	c := *r
	c.Suspects = slices.Clone(r.Suspects)
	return c
}

// MergeReport adds the crashes that another instance has reported. Suspects that
// were answered here lately are acquitted. A recent crash is dated by the arrival of
// its report, because clocks differ.
func (t *Tracker) MergeReport(r Report) {
	if len(r.Suspects) > maxReportSuspects {
		r.Suspects = r.Suspects[:maxReportSuspects]
	}
	now := t.cfg.Now()
	if age := now.Sub(r.EndedAt); age < clockTolerance {
		r.EndedAt = now
	}
	t.mu.Lock()
	news := t.count(r, now)
	t.mu.Unlock()
	t.announce(news)
}

// changes are to be announced once mu is released.
type changes struct {
	verdicts   []Verdict
	acquittals []Acquittal
}

func (t *Tracker) announce(c changes) {
	for _, v := range c.verdicts {
		t.cfg.OnVerdict(v)
	}
	for _, a := range c.acquittals {
		t.cfg.OnAcquittal(a)
	}
}

// count counts a report's crash for each of its suspects. The caller holds mu.
func (t *Tracker) count(report Report, now time.Time) changes {
	var news changes
	for _, s := range report.Suspects {
		r := t.record(s)
		r.addCrash(report.Process, report.EndedAt, now)
		if t.answered(s, now) {
			news.acquittals = append(news.acquittals, r.acquitAll(s.Key, now)...)
		}
	}
	t.forget(now)
	news.verdicts = t.judge(now)
	return news
}

// record returns the record of a suspect, a new one if there is none. The caller
// holds mu.
func (t *Tracker) record(s Suspect) *record {
	r, ok := t.records[s.Key]
	if !ok {
		r = newRecord(s.Part)
		t.records[s.Key] = r
	}
	r.part = max(r.part, s.Part)
	return r
}

// judge decides again which suspects are held back, and returns the changes. The
// caller holds mu.
func (t *Tracker) judge(now time.Time) []Verdict {
	holds := judge(t.records, t.holdTime, now)
	list := verdicts(t.holds, holds)
	t.holds = holds
	maps.DeleteFunc(t.trials, func(k Key, _ trial) bool {
		_, held := holds[k]
		return !held
	})
	t.held.Store(int64(len(holds)))
	return list
}

// forget removes records whose crashes no longer count. Beyond maxRecords, it
// removes a quarter of them: those go first that hold nothing back, and of these
// the oldest. The caller holds mu.
func (t *Tracker) forget(now time.Time) {
	if age := now.Sub(t.forgotAt); age >= 0 && age < forgetInterval && len(t.records) <= maxRecords {
		return
	}
	t.forgotAt = now
	maps.DeleteFunc(t.records, func(_ Key, r *record) bool { return now.Sub(r.updatedAt) > ReportLifetime })
	if len(t.records) <= maxRecords {
		return
	}
	keys := slices.SortedFunc(maps.Keys(t.records), func(a, b Key) int {
		return cmp.Or(t.holds[a].Until.Compare(t.holds[b].Until), t.records[a].updatedAt.Compare(t.records[b].updatedAt))
	})
	for _, key := range keys[:len(keys)-maxRecords*3/4] {
		delete(t.records, key)
	}
}

// Answered records that an upstream has answered a call completely: neither its
// content nor its parts crash upstreams.
func (t *Tracker) Answered(c *nutmegcall.Call) {
	t.acquit(suspectsOf(c))
}

// AnswerBegan records that an upstream has gone on for a while after it began to
// answer a call: its parts do not crash upstreams.
func (t *Tracker) AnswerBegan(c *nutmegcall.Call) {
	t.acquit(partsOf(c))
}

func (t *Tracker) acquit(suspects []Suspect) {
	now := t.cfg.Now()
	var news changes
	t.mu.Lock()
	for _, s := range suspects {
		if s.Part > 0 {
			t.parts.add(s.Key, now)
		} else {
			t.contents.add(s.Key, now)
		}
		if r, ok := t.records[s.Key]; ok {
			news.acquittals = append(news.acquittals, r.acquitAll(s.Key, now)...)
		}
	}
	if len(news.acquittals) > 0 {
		news.verdicts = t.judge(now)
	}
	t.mu.Unlock()
	t.announce(news)
	if len(news.verdicts) > 0 {
		t.cfg.OnChange()
	}
}

// MergeAcquittal applies the acquittal of another instance. The report that it
// answers may still arrive.
func (t *Tracker) MergeAcquittal(a Acquittal) {
	now := t.cfg.Now()
	t.mu.Lock()
	t.record(a.Suspect).acquit(a.Process, now)
	t.forget(now)
	list := t.judge(now)
	t.mu.Unlock()
	t.announce(changes{verdicts: list})
}

// Reports returns the reports of this tracker.
func (t *Tracker) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Report
	for _, r := range t.reports {
		list = append(list, r.clone())
	}
	return list
}
