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

// LiveState tells whether an entry of the live list accepts work.
type LiveState string

// States of entries of the live list.
const (
	LiveServing LiveState = "live"
	LiveLeaving LiveState = "leaving"
)

// LiveEntry is one instance or upstream on the platform's live list.
type LiveEntry struct {
	Name    string    `json:"name"`
	Kind    string    `json:"kind"` // one of instance, engine and service
	Address string    `json:"address"`
	State   LiveState `json:"state"`
}

// liveSnapshot is the live list as of a point in time.
type liveSnapshot struct {
	at      time.Time
	entries []LiveEntry
}

const (
	maxLiveSnapshots = 1000
	maxEarlierStates = 64
)

// SetLive replaces the live list.
func (p *Platform) SetLive(entries []LiveEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.liveLists = append(p.liveLists, liveSnapshot{at: time.Now(), entries: slices.Clone(entries)})
	p.liveLists = p.liveLists[max(0, len(p.liveLists)-maxLiveSnapshots):]
}

// Live returns the live list as served: the true one as of LiveLag ago.
func (p *Platform) Live() []LiveEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := time.Now().Add(-p.faults.LiveLag)
	for _, snapshot := range slices.Backward(p.liveLists) {
		if !snapshot.at.After(asOf) {
			return snapshot.entries
		}
	}
	return []LiveEntry{}
}

func (p *Platform) getLive(w http.ResponseWriter, r *http.Request) {
	if p.beginCall(w, r, countReads, p.reads, false) {
		writeJSON(w, p.Live())
	}
}

func (p *Platform) putLive(w http.ResponseWriter, r *http.Request) {
	var entries []LiveEntry
	if readJSON(w, r, &entries) {
		p.SetLive(entries)
	}
}

// saveState saves the current state of the rewindable kind for Rewind; other
// kinds are ignored. The caller holds p.mu.
func (p *Platform) saveState(kind string) {
	if kind != p.cfg.Rewindable {
		return
	}
	states := append(p.earlier[kind], maps.Clone(p.objects[kind]))
	p.earlier[kind] = states[max(0, len(states)-maxEarlierStates):]
}

// Rewind reverts all objects of a kind to their state before the given number of
// latest writes, as a platform restored from an old backup does. It reports
// whether that state is available.
func (p *Platform) Rewind(kind string, writes int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := p.earlier[kind]
	if writes < 1 || writes > len(states) {
		return false
	}
	restored := maps.Clone(states[len(states)-writes])
	for name, i := range restored {
		p.version++
		i.Version = p.version
		restored[name] = i
	}
	p.objects[kind] = restored
	p.notifyWatchers()
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

// ReplaceText replaces old by text in all values of a kind, simulating a change
// that bypasses the regular writers. It returns the number of changed objects.
func (p *Platform) ReplaceText(kind, old, text string) int {
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

// editRequest is the body of PUT /edit.
type editRequest struct {
	Kind string `json:"kind"`
	Old  string `json:"old"`
	Text string `json:"text"`
}

func (p *Platform) putEdit(w http.ResponseWriter, r *http.Request) {
	var e editRequest
	if readJSON(w, r, &e) && p.ReplaceText(e.Kind, e.Old, e.Text) == 0 {
		http.Error(w, "no object of this kind holds the text", http.StatusConflict)
	}
}
