package nutmegstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

const (
	testService  = nutmegview.Service("s")
	testInterval = 100 * time.Millisecond
	testTimeout  = 10 * time.Second
	testLifetime = testTimeout + lifetimeMargin
)

var errStoreDown = errors.New("the store is down")

// fakeStore keeps encoded copies, as the real one does.
type fakeStore struct {
	mu         sync.Mutex
	down       bool
	versions   []byte
	statements map[nutmegid.Instance][]byte
}

func newFakeStore() *fakeStore {
	return &fakeStore{versions: []byte("{}"), statements: make(map[nutmegid.Instance][]byte)}
}

// copyVersions returns the announced versions, for restore.
func (s *fakeStore) copyVersions() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions
}

// restore brings back older versions; the statements are lost.
func (s *fakeStore) restore(versions []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions, s.statements = versions, make(map[nutmegid.Instance][]byte)
}

func (s *fakeStore) countStatements() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.statements)
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// storeOf is the store as one instance reaches it.
type storeOf struct {
	*fakeStore
	instance nutmegid.Instance
}

func (s storeOf) Versions(ctx context.Context) (Versions, error) {
	return s.UpdateVersions(ctx, func(Versions) bool { return false })
}

func (s storeOf) UpdateVersions(_ context.Context, change func(Versions) bool) (Versions, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errStoreDown
	}
	versions := make(Versions)
	if err := json.Unmarshal(s.versions, &versions); err != nil {
		return nil, err
	}
	var err error
	if change(versions) {
		s.versions, err = json.Marshal(versions)
	}
	return versions, err
}

func (s storeOf) Statements(context.Context) (map[nutmegid.Instance]Statement, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errStoreDown
	}
	all := make(map[nutmegid.Instance]Statement)
	for instance, text := range s.statements {
		var statement Statement
		if err := json.Unmarshal(text, &statement); err != nil {
			return nil, err
		}
		all[instance] = statement
	}
	return all, nil
}

func (s storeOf) PutStatement(_ context.Context, statement Statement) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errStoreDown
	}
	text, err := json.Marshal(statement)
	s.statements[s.instance] = text
	return err
}

// member is one process of an instance.
type member struct {
	*Registry
	cancel context.CancelFunc

	mu     sync.Mutex
	usable int // upstreams that take requests
}

// fleet is instances on one store, which see the same upstreams.
type fleet struct {
	store     *fakeStore
	upstreams *nutmegview.Upstreams
	members   []*member
}

// newFleet starts instances that see upstreams of the given versions. It must be stopped.
func newFleet(instances int, versions ...nutmegview.SoftwareVersion) *fleet {
	f := &fleet{store: newFakeStore(), members: make([]*member, instances)}
	f.see(versions...)
	for n := range instances {
		f.start(n)
	}
	time.Sleep(3 * testInterval)
	return f
}

// see lists upstreams of the given versions; a version with a minus sign leaves.
func (f *fleet) see(versions ...nutmegview.SoftwareVersion) {
	f.upstreams = &nutmegview.Upstreams{ByID: make(map[nutmegid.Upstream]nutmegview.Upstream), ByService: make(map[nutmegview.Service][]nutmegview.Upstream)}
	for n, v := range versions {
		u := nutmegview.Upstream{ID: nutmegid.Upstream(fmt.Sprint("u", n)), Service: testService, Version: v}
		if v[0] == '-' {
			u.Version, u.Leaving = v[1:], true
		}
		f.upstreams.ByID[u.ID] = u
		f.upstreams.ByService[testService] = append(f.upstreams.ByService[testService], u)
	}
	for _, m := range f.members {
		if m != nil {
			m.SetUpstreams(f.upstreams)
		}
	}
}

func (f *fleet) name(n int) nutmegid.Instance {
	return nutmegid.Instance(fmt.Sprint("i", n))
}

func (f *fleet) start(n int) {
	began := time.Now()
	m := &member{}
	m.Registry = New(Config{
		Store: storeOf{f.store, f.name(n)}, Instance: f.name(n), Interval: func() time.Duration { return testInterval },
		Instances: func() []nutmegid.Instance {
			var all []nutmegid.Instance
			for k := range f.members {
				all = append(all, f.name(k))
			}
			return all
		},
		Elapsed: func() time.Duration { return time.Since(began) },
		Apply: func(set *nutmegview.Upstreams) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.usable = len(set.ByID)
		},
	})
	m.SetConfig(&nutmegview.Config{Routes: []nutmegview.Route{{Stream: true, Resumable: true, Timeout: testTimeout, Shares: []nutmegview.Share{{Service: testService, Weight: 1}}}}})
	m.SetUpstreams(f.upstreams)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.Start(ctx)
	f.members[n] = m
}

// kill ends a process at once.
func (f *fleet) kill(n int) {
	f.members[n].cancel()
	f.members[n].Wait()
}

func (f *fleet) stop() {
	for n := range f.members {
		f.kill(n)
	}
}

func (m *member) countUsable() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usable
}

func streamCall(id nutmegid.RequestID) *nutmegcall.Call {
	return &nutmegcall.Call{ID: id, Service: testService}
}

// takeUp returns the version that goes on with a stream at an instance, or "refused".
func (f *fleet) takeUp(n int, first nutmegid.RequestID) string {
	call := streamCall("later-" + first)
	call.Resumed = nutmegcall.ResumedStream{First: first, LastEvent: "7"}
	version, refusal := f.members[n].Origin(context.Background(), call)
	if refusal != nil {
		return "refused"
	}
	return string(version)
}

func checkTakeUps(t *testing.T, when string, want, got []string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s: versions that go on (-want +got):\n%s", when, diff)
	}
}

// Callers took streams up at instances that did not know their version, and got them
// joined from two (ORDER): after one instance, or all, had been killed.
func TestStreamsAreTakenUpAtTheirVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, "v1", "v2")
		defer f.stop()
		f.members[0].Begun(streamCall("a"), "v1")
		f.members[0].Begun(streamCall("b"), "v2")
		time.Sleep(2 * testInterval)
		checkTakeUps(t, "at its own instance and at another", []string{"v1", "v2", "v1", "v2"}, []string{
			f.takeUp(0, "a"), f.takeUp(0, "b"), f.takeUp(1, "a"), f.takeUp(2, "b"),
		})
		f.kill(0)
		f.start(0)
		checkTakeUps(t, "after one was killed", []string{"v1", "v2"}, []string{f.takeUp(0, "a"), f.takeUp(1, "b")})
		for n := range f.members {
			f.kill(n)
			f.start(n)
		}
		time.Sleep(5 * testInterval)
		for n := range f.members {
			f.kill(n)
			f.start(n)
		}
		checkTakeUps(t, "after all were killed twice", []string{"v1", "v2"}, []string{f.takeUp(2, "a"), f.takeUp(1, "b")})
	})
}

// A stream that nobody has stated may have begun at any version that took new requests.
func TestUnknownStreamIsRefusedUnlessOneVersionRemains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, "v1", "v2")
		defer f.stop()
		checkTakeUps(t, "two versions serve", []string{"refused"}, []string{f.takeUp(0, "unknown")})
		time.Sleep(testLifetime)
		f.see("-v1", "v2")
		time.Sleep(3 * testInterval)
		f.members[0].Begun(streamCall("stated"), "v1")
		time.Sleep(3 * testInterval)
		f.kill(0)
		f.start(0)
		checkTakeUps(t, "one version takes no new requests", []string{"v2", "v1", "v2"}, []string{
			f.takeUp(1, "unknown"), f.takeUp(1, "stated"), f.takeUp(0, "unknown"),
		})
		f.see("-v1", "v2", "v3")
		time.Sleep(3 * testInterval)
		checkTakeUps(t, "a further version", []string{"refused"}, []string{f.takeUp(1, "unknown-2")})
	})
}

// While a single version serves, it has begun all streams: nothing is written of them,
// and an instance that has just started can tell as well.
func TestSingleVersionNeedsNoStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, "v1", "v1")
		defer f.stop()
		f.members[0].Begun(streamCall("a"), "v1")
		time.Sleep(testLifetime)
		if n := f.store.countStatements(); n != 0 {
			t.Errorf("%d statements were written", n)
		}
		f.kill(1)
		f.start(1)
		time.Sleep(testInterval)
		checkTakeUps(t, "one version", []string{"v1", "v1"}, []string{f.takeUp(0, "unknown"), f.takeUp(1, "a")})
	})
}

// A version is retired once all streams that it may have begun are over, and announced
// before a request goes to it.
func TestVersionsAreAnnouncedAndRetired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, "v1")
		defer f.stop()
		f.store.setDown(true)
		f.see("v1", "v2")
		time.Sleep(time.Second)
		if n := f.members[0].countUsable(); n != 1 {
			t.Errorf("%d upstreams take requests while the new version cannot be announced, want 1", n)
		}
		f.store.setDown(false)
		time.Sleep(time.Second)
		if n := f.members[0].countUsable(); n != 2 {
			t.Errorf("%d upstreams take requests, want 2", n)
		}
		f.see("v2")
		time.Sleep(testLifetime - time.Second)
		checkTakeUps(t, "before the old version's streams are over", []string{"refused"}, []string{f.takeUp(0, "unknown")})
		time.Sleep(time.Second + 3*retireSpread)
		checkTakeUps(t, "after", []string{"v2"}, []string{f.takeUp(0, "unknown")})
		f.kill(0)
		f.start(0)
		time.Sleep(testInterval)
		checkTakeUps(t, "at an instance that has just started", []string{"v2"}, []string{f.takeUp(0, "unknown-2")})
	})
}

// A restore of the store may undo an announcement: streams of the version that it lacks
// would be taken for those of the other one.
func TestVersionsAreAnnouncedAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, "v1")
		defer f.stop()
		older := f.store.copyVersions()
		f.see("v1", "v2")
		time.Sleep(time.Second)
		f.members[0].Begun(streamCall("a"), "v2")
		f.store.restore(older)
		for _, m := range f.members {
			m.StoreRestored()
		}
		time.Sleep(3 * testInterval)
		f.kill(1)
		f.start(1)
		checkTakeUps(t, "after the restore", []string{"v2", "refused"}, []string{f.takeUp(1, "a"), f.takeUp(1, "unknown")})
	})
}

// Without the store, an instance that has not seen a single version for long enough does
// not guess.
func TestOriginIsNotGuessedWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, "v1")
		defer f.stop()
		f.store.setDown(true)
		checkTakeUps(t, "shortly after the start", []string{"refused"}, []string{f.takeUp(0, "a")})
		time.Sleep(testLifetime)
		checkTakeUps(t, "later", []string{"v1"}, []string{f.takeUp(0, "a")})
	})
}
