package nutmegstand

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
)

// LiveState says whether an entry of the live list takes work.
type LiveState string

// The states of the live list.
const (
	LiveServing LiveState = "live"
	LiveLeaving LiveState = "leaving"
)

// LiveEntry is one instance or upstream on the platform's live list.
type LiveEntry struct {
	Name    string    `json:"name"`
	Kind    string    `json:"kind"` // instance, engine or service
	Address string    `json:"address"`
	State   LiveState `json:"state"`
}

// liveState is the list as of a time.
type liveState struct {
	at      time.Time
	entries []LiveEntry
}

const (
	maxLiveStates = 1000
	maxPastStates = 64
)

// SetLive replaces the live list.
func (p *Platform) SetLive(entries []LiveEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live = append(p.live, liveState{at: time.Now(), entries: slices.Clone(entries)})
	p.live = p.live[max(0, len(p.live)-maxLiveStates):]
}

// Live returns the list as it is served, older than the true one by the lag.
func (p *Platform) Live() []LiveEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := time.Now().Add(-p.faults.LiveLag)
	for _, state := range slices.Backward(p.live) {
		if !state.at.After(asOf) {
			return state.entries
		}
	}
	return []LiveEntry{}
}

func (p *Platform) getLive(w http.ResponseWriter, r *http.Request) {
	if p.enter(w, r, countReads, p.reads, false) {
		writeJSON(w, p.Live())
	}
}

func (p *Platform) putLive(w http.ResponseWriter, r *http.Request) {
	var entries []LiveEntry
	if readJSON(w, r, &entries) {
		p.SetLive(entries)
	}
}

// remember keeps the present state of a kind for Rewind. The lock is held.
func (p *Platform) remember(kind string) {
	if kind != p.cfg.Rewindable {
		return
	}
	states := append(p.past[kind], maps.Clone(p.objects[kind]))
	p.past[kind] = states[max(0, len(states)-maxPastStates):]
}

// Rewind gives all objects of a kind the values of some writes ago, as a
// platform does that was restored from an old copy. It reports whether that
// state is known.
func (p *Platform) Rewind(kind string, writes int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := p.past[kind]
	if writes < 1 || writes > len(states) {
		return false
	}
	old := maps.Clone(states[len(states)-writes])
	for name, i := range old {
		p.version++
		i.Version = p.version
		old[name] = i
	}
	p.objects[kind] = old
	p.signal()
	return true
}

func (p *Platform) postRewind(w http.ResponseWriter, r *http.Request) {
	writes, err := strconv.Atoi(r.URL.Query().Get("writes"))
	if err != nil {
		writes = 1
	}
	if !p.Rewind(chi.URLParam(r, "kind"), writes) {
		http.Error(w, "no earlier state of this kind is kept; set Rewindable", http.StatusConflict)
	}
}

// Edit replaces text in all values of a kind behind the back of their writers,
// and returns how many objects changed.
func (p *Platform) Edit(kind, old, text string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := 0
	for name, i := range p.objects[kind] {
		value := strings.ReplaceAll(string(i.Value), old, text)
		if value != string(i.Value) {
			p.write(kind, name, []byte(value))
			changed++
		}
	}
	return changed
}

// edit is the body of PUT /edit.
type edit struct {
	Kind string `json:"kind"`
	Old  string `json:"old"`
	Text string `json:"text"`
}

func (p *Platform) putEdit(w http.ResponseWriter, r *http.Request) {
	var e edit
	if readJSON(w, r, &e) && p.Edit(e.Kind, e.Old, e.Text) == 0 {
		http.Error(w, "no object of this kind holds the text", http.StatusConflict)
	}
}
