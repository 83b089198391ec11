package nutmegfeed

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

const testKind = "upstreams"

var (
	errStoreDown = errors.New("the store is down")
	errPeerCut   = errors.New("the peer cannot be reached")
)

// fakeStore holds objects and the history of their changes. Polls of instances in
// down fail; polls of instances in deaf see no changes.
type fakeStore struct {
	mu      sync.Mutex
	version nutmegid.Version
	history []nutmegstore.Object // by version; the versions of deletions are those of the store
	changed chan struct{}
	down    map[string]bool
	deaf    map[string]bool
	polls   map[string]int
}

func newFakeStore() *fakeStore {
	return &fakeStore{version: 1, changed: make(chan struct{}), down: make(map[string]bool), deaf: make(map[string]bool), polls: make(map[string]int)}
}

// put changes an object; an empty value deletes it.
func (s *fakeStore) put(name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.history = append(s.history, nutmegstore.Object{
		Key: nutmegstore.Key{Kind: testKind, Name: name}, Version: s.version, Value: []byte(value), Deleted: value == "",
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) poll(ctx context.Context, who string, since nutmegid.Version, wait time.Duration) (nutmegstore.Changes, error) {
	s.mu.Lock()
	s.polls[who]++
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		down, deaf, changed := s.down[who], s.deaf[who], s.changed
		changes := nutmegstore.Changes{StoreVersion: s.version}
		for _, o := range s.history {
			if o.Version > since {
				changes.Objects = append(changes.Objects, o)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			return nutmegstore.Changes{}, errStoreDown
		case expired && deaf:
			return nutmegstore.Changes{StoreVersion: since}, nil
		case expired || len(changes.Objects) > 0 && !deaf:
			return changes, nil
		}
		select {
		case <-ctx.Done():
			return nutmegstore.Changes{}, ctx.Err()
		case <-changed:
		case <-timer.C:
			expired = true
		}
	}
}

func (s *fakeStore) set(what map[string]bool, who string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	what[who] = on
}

// storeOf is the store as one instance reaches it.
type storeOf struct {
	store *fakeStore
	who   string
}

func (s storeOf) Poll(ctx context.Context, _ string, since nutmegid.Version, wait time.Duration) (nutmegstore.Changes, error) {
	return s.store.poll(ctx, s.who, since, wait)
}

// member is one instance with its feed and what it has seen.
type member struct {
	name string
	feed *Feed
	wait time.Duration // of its polls
	done chan struct{}

	mu      sync.Mutex
	objects map[string]string
	reverts int // objects that went back to an older version
	latest  map[string]nutmegid.Version
}

// domain is a failure domain whose first two instances feed the others.
type domain struct {
	store   *fakeStore
	members []*member

	mu     sync.Mutex
	silent map[string]bool // instances that do not answer peers
	cut    map[string]bool // instances whose connections are reset
}

func newDomain(size int) *domain {
	d := &domain{store: newFakeStore(), silent: make(map[string]bool), cut: make(map[string]bool)}
	for i := range size {
		m := &member{name: fmt.Sprint("i", i), wait: 1200 * time.Millisecond, done: make(chan struct{}), objects: make(map[string]string), latest: make(map[string]nutmegid.Version)}
		m.feed = New(Config{
			Kind: testKind, Store: storeOf{d.store, m.name}, Fetch: d.fetch, MaxAge: func() time.Duration { return FeederWait + 400*time.Millisecond },
			Sources: func(skip func(nutmegid.Incarnation) bool) Sources { return d.sources(i, skip) },
		})
		d.members = append(d.members, m)
	}
	return d
}

// sources lets the first two instances that are not skipped feed the others.
func (d *domain) sources(self int, skip func(nutmegid.Incarnation) bool) Sources {
	var feeders []nutmegview.Instance
	for i, m := range d.members {
		if i == self {
			return Sources{Feeding: true}
		}
		if !skip(nutmegid.Incarnation(m.name)) {
			feeders = append(feeders, nutmegview.Instance{Name: nutmegid.Instance(m.name), Incarnation: nutmegid.Incarnation(m.name)})
		}
		if len(feeders) == 2 {
			break
		}
	}
	if self%2 == 1 {
		slices.Reverse(feeders)
	}
	return Sources{Feeders: feeders}
}

func (d *domain) fetch(ctx context.Context, feeder nutmegview.Instance, request nutmegpeer.ChangesRequest) (nutmegpeer.ChangesReply, error) {
	d.mu.Lock()
	silent, cut := d.silent[string(feeder.Name)], d.cut[string(feeder.Name)]
	d.mu.Unlock()
	if cut {
		return nutmegpeer.ChangesReply{}, errPeerCut
	}
	if silent {
		<-ctx.Done()
		return nutmegpeer.ChangesReply{}, ctx.Err()
	}
	for _, m := range d.members {
		if m.name == string(feeder.Name) {
			return m.feed.ChangesSince(ctx, request)
		}
	}
	return nutmegpeer.ChangesReply{}, errPeerCut
}

func (d *domain) set(what map[string]bool, who string, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	what[who] = on
}

// run follows the store until ctx ends, as a follower does.
func (m *member) run(ctx context.Context) {
	defer close(m.done)
	since := nutmegid.Version(1)
	for ctx.Err() == nil {
		changes, err := m.feed.Poll(ctx, testKind, since, m.wait)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		since = changes.StoreVersion
		m.apply(changes.Objects)
	}
}

func (m *member) apply(objects []nutmegstore.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range objects {
		if o.Version < m.latest[o.Key.Name] {
			m.reverts++
		}
		m.latest[o.Key.Name] = o.Version
		if o.Deleted {
			delete(m.objects, o.Key.Name)
			continue
		}
		m.objects[o.Key.Name] = string(o.Value)
	}
}

func (m *member) has(name, value string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.objects[name] == value
}

// runDomain runs all members while test runs.
func runDomain(t *testing.T, size int, test func(t *testing.T, d *domain)) {
	t.Helper()
	runDomainWith(t, size, func(*member) {}, test)
}

// runDomainWith runs all members, each of which was changed before, while test runs.
func runDomainWith(t *testing.T, size int, change func(*member), test func(t *testing.T, d *domain)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newDomain(size)
		for _, m := range d.members {
			change(m)
		}
		ctx, cancel := context.WithCancel(t.Context())
		for _, m := range d.members {
			go m.run(ctx)
		}
		time.Sleep(2 * time.Second)
		test(t, d)
		cancel()
		for _, m := range d.members {
			<-m.done
			if m.reverts > 0 {
				t.Errorf("%s: %d objects went back to an older version", m.name, m.reverts)
			}
		}
	})
}

// checkSeen fails unless all members but those excepted see a value within limit.
func checkSeen(t *testing.T, d *domain, name, value string, limit time.Duration, except ...string) {
	t.Helper()
	time.Sleep(limit)
	for _, m := range d.members {
		if !slices.Contains(except, m.name) && !m.has(name, value) {
			t.Errorf("%s does not see %s = %q after %v", m.name, name, value, limit)
		}
	}
}

// TestFewInstancesPollTheStore answers the pattern of a large failure domain: what
// its instances ask of the store must not grow with their number.
func TestFewInstancesPollTheStore(t *testing.T) {
	polls := make(map[int]int)
	for _, size := range []int{8, 40} {
		runDomain(t, size, func(t *testing.T, d *domain) {
			d.store.mu.Lock()
			clear(d.store.polls)
			d.store.mu.Unlock()
			for i := range 20 {
				d.store.put("u", fmt.Sprint(i))
				checkSeen(t, d, "u", fmt.Sprint(i), time.Second)
			}
			d.store.put("removed", "x")
			d.store.put("removed", "")
			checkSeen(t, d, "removed", "", time.Second)
			d.store.mu.Lock()
			defer d.store.mu.Unlock()
			for _, n := range d.store.polls {
				polls[size] += n
			}
			if diff := cmp.Diff([]string{"i0", "i1"}, slices.Sorted(maps.Keys(d.store.polls))); diff != "" {
				t.Errorf("instances that poll the store (-want +got):\n%s", diff)
			}
		})
	}
	if polls[40] > polls[8] {
		t.Errorf("%d polls with 40 instances, %d with 8; want no more", polls[40], polls[8])
	}
}

// TestFeederThatFailsIsReplaced covers the ways in which a feeder may fail: each
// change must still reach all others in time.
func TestFeederThatFailsIsReplaced(t *testing.T) {
	const limit = 2 * time.Second
	tests := map[string]func(d *domain, who string, on bool){
		"silent to peers":       func(d *domain, who string, on bool) { d.set(d.silent, who, on) },
		"cut off from peers":    func(d *domain, who string, on bool) { d.set(d.cut, who, on) },
		"cut off from store":    func(d *domain, who string, on bool) { d.store.set(d.store.down, who, on) },
		"silent and store lost": func(d *domain, who string, on bool) { d.set(d.silent, who, on); d.store.set(d.store.down, who, on) },
	}
	for name, fail := range tests {
		for _, failing := range [][]string{{"i0"}, {"i0", "i1"}} {
			t.Run(fmt.Sprint(name, len(failing)), func(t *testing.T) {
				runDomain(t, 8, func(t *testing.T, d *domain) {
					for _, who := range failing {
						fail(d, who, true)
					}
					d.store.put("u", "after")
					checkSeen(t, d, "u", "after", limit, failing...)
					d.store.put("u", "later")
					checkSeen(t, d, "u", "later", limit, failing...)
					for _, who := range failing {
						fail(d, who, false)
					}
					time.Sleep(2 * maxBackoff)
					d.store.put("u", "healed")
					checkSeen(t, d, "u", "healed", limit)
				})
			})
		}
	}
}

// TestDeafPollIsConfirmedByNext covers a feeder whose poll misses a change: the
// next poll, which starts at the same version, brings it.
func TestDeafPollIsConfirmedByNext(t *testing.T) {
	runDomain(t, 8, func(t *testing.T, d *domain) {
		d.store.set(d.store.deaf, "i0", true)
		d.store.set(d.store.deaf, "i1", true)
		d.store.put("u", "missed")
		time.Sleep(FeederWait)
		d.store.set(d.store.deaf, "i0", false)
		d.store.set(d.store.deaf, "i1", false)
		checkSeen(t, d, "u", "missed", FeederWait)
	})
}

// TestOutageOfStoreEndsForAll covers a store that answers nobody: it must not be
// asked without pause meanwhile, and all must see its changes soon afterwards.
func TestOutageOfStoreEndsForAll(t *testing.T) {
	runDomain(t, 8, func(t *testing.T, d *domain) {
		for _, m := range d.members {
			d.store.set(d.store.down, m.name, true)
		}
		d.store.put("u", "unseen")
		time.Sleep(time.Second)
		d.store.mu.Lock()
		clear(d.store.polls)
		d.store.mu.Unlock()
		time.Sleep(8 * time.Second)
		d.store.mu.Lock()
		if polls := d.store.polls["i7"]; polls > 8 {
			t.Errorf("an instance with feeders polled %d times in 8 seconds of outage", polls)
		}
		d.store.mu.Unlock()
		for _, m := range d.members {
			d.store.set(d.store.down, m.name, false)
		}
		checkSeen(t, d, "u", "unseen", 2*time.Second)
	})
}

// TestFeederBehindItsPeerGivesNothing covers a feeder that knows an older version
// than the instance that asks it.
func TestFeederBehindItsPeerGivesNothing(t *testing.T) {
	f := New(Config{
		Kind: testKind, MaxAge: func() time.Duration { return time.Second },
		Sources: func(func(nutmegid.Incarnation) bool) Sources {
			return Sources{Feeders: []nutmegview.Instance{{Name: "old"}}}
		},
		Fetch: func(context.Context, nutmegview.Instance, nutmegpeer.ChangesRequest) (nutmegpeer.ChangesReply, error) {
			return nutmegpeer.ChangesReply{At: 40, Changes: []nutmegpeer.ObjectChange{{Name: "u", Version: 39, Deleted: true}}}, nil
		},
	})
	changes, err := f.Poll(t.Context(), testKind, 50, time.Second)
	want := nutmegstore.Changes{StoreVersion: 50, Relayed: true}
	if diff := cmp.Diff(want, changes); diff != "" || err != nil {
		t.Errorf("error %v, changes (-want +got):\n%s", err, diff)
	}
}

func TestLogForgetsOldChanges(t *testing.T) {
	l := newChangeLog()
	now := time.Unix(100, 0)
	large := nutmegstore.Object{Key: nutmegstore.Key{Kind: testKind, Name: "u"}, Value: make([]byte, maxLogBytes/2)}
	for v := nutmegid.Version(10); v < 14; v++ {
		l.add(v, nutmegstore.Changes{StoreVersion: v + 1, Objects: []nutmegstore.Object{large}}, now)
	}
	if s := l.after(10); !s.compacted {
		t.Error("changes after version 10 are not reported as missing")
	}
	if s := l.after(13); s.compacted || len(s.objects) != 1 || s.at != 14 {
		t.Errorf("after version 13: compacted %t, %d objects, at %d; want the last change", s.compacted, len(s.objects), s.at)
	}
	l.add(20, nutmegstore.Changes{StoreVersion: 21}, now)
	if s := l.after(14); !s.compacted {
		t.Error("a gap between versions 14 and 20 is not reported")
	}
}
