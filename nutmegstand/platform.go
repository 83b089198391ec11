// Package nutmegstand provides stand-ins (simulators) for the external systems
// that nutmegwind talks to: the platform's object API, model engines, plain
// services, the weight store and the network between processes. The servers
// keep their own record of what they actually did, so that tests can check
// against it.
//
// # Usage
//
//	platform := nutmegstand.NewPlatform(nutmegstand.PlatformConfig{})
//	server := httptest.NewServer(platform.Handler())
//	platform.SetFaults(nutmegstand.PlatformFaults{Outage: true})
//
// Faults are injected at run time with SetFaults or, over HTTP, with
// PUT /faults. GET /records returns the records.
package nutmegstand

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"
)

// PlatformConfig configures the platform stand-in.
type PlatformConfig struct {
	WritesPerSecond float64       // unlimited when zero
	ReadsPerSecond  float64       // unlimited when zero
	Heartbeat       time.Duration // interval between bookmarks of an idle watch; DefaultHeartbeat when zero
	Seed            uint64        // seed of the random faults
	Rewindable      string        // object kind whose earlier states are kept for Rewind
}

// PlatformFaults are the injectable faults of the platform.
type PlatformFaults struct {
	Outage        bool          `json:"outage"`        // every call fails without effect and watches end
	Delay         time.Duration `json:"delay"`         // delay before each answer
	LostAnswers   float64       `json:"lost_answers"`  // fraction of writes that take effect but get no answer
	SilentWatch   bool          `json:"silent_watch"`  // watches stay open but send nothing
	WritesFail    bool          `json:"writes_fail"`   // reads succeed, writes fail without effect
	LostRequests  float64       `json:"lost_requests"` // fraction of writes that have no effect and get no answer
	UncheckedKind string        `json:"unchecked"`     // object kind whose preconditions on writes are ignored
	LiveLag       time.Duration `json:"live_lag"`      // how far the served live list lags behind the true one
}

// PlatformRecord counts the calls that the platform received and their results.
type PlatformRecord struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	Watches     int64 `json:"watches"`
	LostAnswers int64 `json:"lost_answers"`
	Conflicts   int64 `json:"conflicts"`
	Limited     int64 `json:"limited"`
}

type item struct {
	Type    string `json:"type,omitempty"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Platform simulates the platform's object API.
type Platform struct {
	cfg    PlatformConfig
	writes *rate.Limiter
	reads  *rate.Limiter

	mu        sync.Mutex
	random    *rand.Rand
	objects   map[string]map[string]item // by kind, then name
	version   uint64
	era       uint64        // restores so far
	changed   chan struct{} // closed and replaced at each change
	faults    PlatformFaults
	record    PlatformRecord
	earlier   map[string][]map[string]item // by kind: the states before the latest writes, for Rewind
	liveLists []liveSnapshot
	deletions map[string][]item // deleted objects by kind, in order of deletion
}

// DefaultHeartbeat is the interval between bookmarks of an idle watch.
const DefaultHeartbeat = time.Second

const maxValueBytes = 1 << 20

// NewPlatform returns an empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	return &Platform{
		cfg:       cfg,
		writes:    newLimiter(cfg.WritesPerSecond),
		reads:     newLimiter(cfg.ReadsPerSecond),
		random:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		objects:   make(map[string]map[string]item),
		earlier:   make(map[string][]map[string]item),
		deletions: make(map[string][]item),
		changed:   make(chan struct{}),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// Handler returns the handler of the object API, of the endpoints that inject
// faults or change state, and of /records.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/objects/{kind}", p.list)
	r.Get("/v1/objects/{kind}/{name}", p.get)
	r.Put("/v1/objects/{kind}/{name}", p.put)
	r.Delete("/v1/objects/{kind}/{name}", p.remove)
	r.Get("/v1/live", p.getLive)
	r.Put("/live", p.putLive)
	r.Put("/faults", p.putFaults)
	r.Post("/rewind/{kind}", p.postRewind)
	r.Put("/edit", p.putEdit)
	r.Get("/records", p.getRecords)
	return r
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Record returns the current counts.
func (p *Platform) Record() PlatformRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record
}

// Value returns the stored value of an object, or nil if it does not exist.
func (p *Platform) Value(kind, name string) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.objects[kind][name].Value)
}

// beginCall counts a call and applies the faults and the rate limit that precede
// its execution. If it returns false, it has already answered or aborted the
// call and the handler must return.
func (p *Platform) beginCall(w http.ResponseWriter, r *http.Request, counter func(*PlatformRecord) *int64, l *rate.Limiter, write bool) bool {
	p.mu.Lock()
	*counter(&p.record)++
	faults := p.faults
	lost := write && p.random.Float64() < faults.LostRequests
	p.mu.Unlock()
	if !waitFor(r, faults.Delay) {
		return false
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	if faults.Outage || (write && faults.WritesFail) {
		http.Error(w, "the platform is out", http.StatusServiceUnavailable)
		return false
	}
	if !l.Allow() {
		p.mu.Lock()
		p.record.Limited++
		p.mu.Unlock()
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	return true
}

// waitFor waits for d and reports false if the request ends first.
func waitFor(r *http.Request, d time.Duration) bool {
	if d == 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func countReads(r *PlatformRecord) *int64   { return &r.Reads }
func countWrites(r *PlatformRecord) *int64  { return &r.Writes }
func countWatches(r *PlatformRecord) *int64 { return &r.Watches }

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if !p.beginCall(w, r, countReads, p.reads, false) {
		return
	}
	p.mu.Lock()
	found, ok := p.objects[chi.URLParam(r, "kind")][chi.URLParam(r, "name")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", formatETag(found.Version))
	_, _ = w.Write(found.Value)
}

func formatETag(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "the value is over a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	if !p.beginCall(w, r, countWrites, p.writes, true) {
		return
	}
	version, ok := p.storeIfMatch(r, chi.URLParam(r, "kind"), chi.URLParam(r, "name"), value)
	if !ok {
		http.Error(w, "the version does not match", http.StatusPreconditionFailed)
		return
	}
	if p.drawLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", formatETag(version))
	w.WriteHeader(http.StatusOK)
}

// storeIfMatch writes the value if the request's precondition holds.
func (p *Platform) storeIfMatch(r *http.Request, kind, name string, value []byte) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, exists := p.objects[kind][name]
	if p.faults.UncheckedKind != kind && !preconditionHolds(r, current.Version, exists) {
		p.record.Conflicts++
		return 0, false
	}
	return p.write(kind, name, value), true
}

// write stores a value under the next version. The caller holds p.mu.
func (p *Platform) write(kind, name string, value []byte) uint64 {
	p.saveState(kind)
	p.version++
	if p.objects[kind] == nil {
		p.objects[kind] = make(map[string]item)
	}
	p.objects[kind][name] = item{Name: name, Version: p.version, Value: value}
	p.notifyWatchers()
	return p.version
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// preconditionHolds evaluates the request's If-None-Match and If-Match headers
// against the object's current version.
func preconditionHolds(r *http.Request, version uint64, exists bool) bool {
	if r.Header.Get("If-None-Match") == "*" {
		return !exists
	}
	if match := r.Header.Get("If-Match"); match != "" {
		return exists && match == formatETag(version)
	}
	return true
}

// drawLostAnswer decides at random, at the rate LostAnswers, whether the answer
// to a write that took effect is lost, and counts it if so.
func (p *Platform) drawLostAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.random.Float64() >= p.faults.LostAnswers {
		return false
	}
	p.record.LostAnswers++
	return true
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	if !p.beginCall(w, r, countWrites, p.writes, true) {
		return
	}
	kind, name := chi.URLParam(r, "kind"), chi.URLParam(r, "name")
	p.mu.Lock()
	current, exists := p.objects[kind][name]
	ok := preconditionHolds(r, current.Version, exists)
	if ok && exists {
		p.deleteObject(kind, name)
	}
	p.mu.Unlock()
	switch {
	case !exists:
		http.Error(w, "no such object", http.StatusNotFound)
	case !ok:
		http.Error(w, "the version does not match", http.StatusPreconditionFailed)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	kind, prefix := chi.URLParam(r, "kind"), r.URL.Query().Get("prefix")
	if r.URL.Query().Get("watch") == "1" {
		p.watch(w, r, kind, prefix)
		return
	}
	if !p.beginCall(w, r, countReads, p.reads, false) {
		return
	}
	items, _ := p.itemsAfter(kind, prefix, 0)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(items)
}

// itemsAfter returns the objects with a version greater than version, and a
// channel that is closed at the next change.
func (p *Platform) itemsAfter(kind, prefix string, version uint64) ([]item, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	items := []item{}
	for _, name := range slices.Sorted(maps.Keys(p.objects[kind])) {
		found := p.objects[kind][name]
		if strings.HasPrefix(name, prefix) && found.Version > version {
			items = append(items, found)
		}
	}
	return items, p.changed
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, kind, prefix string) {
	if !p.beginCall(w, r, countWatches, p.reads, false) {
		return
	}
	out := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	ticker := time.NewTicker(p.cfg.Heartbeat)
	defer ticker.Stop()
	var seen uint64
	for {
		items, changed := p.itemsAfter(kind, prefix, seen)
		if !p.writeItems(encoder, items, &seen) || out.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-ticker.C:
			if !p.writeItems(encoder, []item{{Type: "bookmark"}}, &seen) {
				return
			}
		}
	}
}

// writeItems sends items on a watch and reports whether the watch goes on. A
// silent watch sends nothing and stays open; an outage ends it.
func (p *Platform) writeItems(encoder *json.Encoder, items []item, seen *uint64) bool {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if faults.Outage {
		return false
	}
	if faults.SilentWatch {
		return true
	}
	for _, i := range items {
		if encoder.Encode(i) != nil {
			return false
		}
		*seen = max(*seen, i.Version)
	}
	return true
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if !readJSON(w, r, &faults) {
		return
	}
	p.SetFaults(faults)
}

func (p *Platform) getRecords(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Record())
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, "the body is not the expected JSON: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
