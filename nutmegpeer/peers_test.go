package nutmegpeer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

func TestMembersFindEachOtherAndLeave(t *testing.T) {
	s := newSwarm(t, 7, nil)
	s.await(t, upTo(7), map[State]int{StateAlive: 6})
	s.peers[3].Leave()
	s.await(t, []int{0, 1, 2, 4, 5, 6}, map[State]int{StateAlive: 5, StateLeaving: 1})
}

// TestPartitionHeals splits the fleet until each side holds the other for dead,
// and lets it grow together again.
func TestPartitionHeals(t *testing.T) {
	s := newSwarm(t, 6, func(_ int, cfg *Config) { cfg.CallTimeout = 100 * time.Millisecond })
	s.await(t, upTo(6), map[State]int{StateAlive: 5})
	s.split([]int{0, 1, 2}, []int{3, 4, 5})
	s.await(t, upTo(6), map[State]int{StateAlive: 2, StateDead: 3})
	s.split(nil, nil)
	s.await(t, upTo(6), map[State]int{StateAlive: 5})
}

// TestSuspicionIsRefuted cuts one pair of members off from each other: what
// the others pass on lifts the suspicion while the link is still cut.
func TestSuspicionIsRefuted(t *testing.T) {
	s := newSwarm(t, 5, func(_ int, cfg *Config) {
		cfg.CallTimeout = 50 * time.Millisecond
		cfg.DeadAfter = time.Minute
	})
	s.await(t, upTo(5), map[State]int{StateAlive: 4})
	s.split([]int{0}, []int{1})
	s.await(t, []int{0}, map[State]int{StateAlive: 3, StateSuspect: 1})
	s.await(t, []int{0}, map[State]int{StateAlive: 4})
}

// TestMemberStates follows one member's states by the clock.
func TestMemberStates(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTable(func() time.Time { return now }, 10*time.Second, time.Minute)
	m := Member{Incarnation: "x", Address: "a", State: StateAlive, Heartbeat: 5}
	steps := []struct {
		name string
		do   func()
		want []State
	}{
		{"heard of", func() { table.merge(m) }, []State{StateAlive}},
		{"no answer", func() { table.suspect("a") }, []State{StateSuspect}},
		{"old word", func() { table.merge(m) }, []State{StateSuspect}},
		{"newer word", func() { m.Heartbeat++; table.merge(m) }, []State{StateAlive}},
		{"no answer again", func() { table.suspect("a") }, []State{StateSuspect}},
		{"long silence", func() { now = now.Add(11 * time.Second); table.age() }, []State{StateDead}},
		{"old word of a dead one", func() { table.merge(m) }, []State{StateDead}},
		{"forgotten", func() { now = now.Add(2 * time.Minute); table.age() }, nil},
		{"dead by others' word", func() { dead := m; dead.State = StateDead; table.merge(dead) }, nil},
		{"back", func() { m.Heartbeat++; table.merge(m) }, []State{StateAlive}},
		{"leaving by its word", func() { m.Heartbeat++; m.State = StateLeaving; table.merge(m) }, []State{StateLeaving}},
		{"gone", func() { now = now.Add(2 * time.Minute); table.age() }, []State{StateDead}},
	}
	for _, step := range steps {
		step.do()
		var got []State
		for _, member := range table.members() {
			got = append(got, member.State)
		}
		if diff := cmp.Diff(step.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", step.name, diff)
		}
	}
}

func TestRevisionReachesEveryPeer(t *testing.T) {
	s := newSwarm(t, 12, nil)
	s.await(t, upTo(12), map[State]int{StateAlive: 11})
	s.peers[5].raise(9)
	deadline := time.Now().Add(testPatience)
	for i, p := range s.peers {
		for p.revision.Load() != 9 {
			if time.Now().After(deadline) {
				t.Fatalf("peer %d has revision %d", i, p.revision.Load())
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func TestGossipReachesEveryPeerOnce(t *testing.T) {
	told := make(chan string, 100)
	s := newSwarm(t, 5, nil)
	for i, p := range s.peers {
		p.Gossip().Register("suspects", ItemRule{MaxItems: 4, MaxBytes: 64, OnItem: func(item Item) {
			told <- s.peers[i].address + item.Key + string(item.Value)
		}})
	}
	item := Item{Kind: "suspects", Key: "a", Version: 1, Expires: time.Now().Add(time.Minute), Value: []byte("first")}
	if err := s.peers[0].Gossip().Put(item); err != nil {
		t.Fatal(err)
	}
	got := make(map[string]int)
	for range 4 {
		select {
		case text := <-told:
			got[text]++
		case <-time.After(testPatience):
			t.Fatalf("only %v were told", got)
		}
	}
	want := make(map[string]int)
	for _, p := range s.peers[1:] {
		want[p.address+"afirst"] = 1
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("told (-want +got):\n%s", diff)
	}
}

func TestGossipIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	refused := 0
	g := newGossip(func() time.Time { return now }, func(string) { refused++ }, func() {})
	g.Register("k", ItemRule{MaxItems: 2, MaxBytes: 8})
	put := func(key string, version uint64, life time.Duration, value string) error {
		return g.Put(Item{Kind: "k", Key: key, Version: version, Expires: now.Add(life), Value: []byte(value)})
	}
	for _, bad := range []error{
		put("a", 1, time.Minute, "much too long"), put("a", 1, -time.Second, ""), put("a", 1, 2*maxItemLife, ""),
		g.Put(Item{Kind: "other", Expires: now.Add(time.Minute)}),
	} {
		if bad == nil {
			t.Error("an item out of bounds was taken")
		}
	}
	for _, good := range []error{
		put("a", 2, 3*time.Minute, "new"), put("a", 1, 3*time.Minute, "old"), put("b", 1, time.Minute, "b"), put("c", 1, 2*time.Minute, "c"),
	} {
		if good != nil {
			t.Error(good)
		}
	}
	keys := func() []string {
		var all []string
		for _, i := range g.Items("k") {
			all = append(all, i.Key+string(i.Value))
		}
		return all
	}
	if diff := cmp.Diff([]string{"anew", "cc"}, keys()); diff != "" {
		t.Errorf("items over the limit (-want +got):\n%s", diff)
	}
	now = now.Add(150 * time.Second)
	if diff := cmp.Diff([]string{"anew"}, keys()); diff != "" {
		t.Errorf("items after a while (-want +got):\n%s", diff)
	}
	g.receive([]*peerpb.Item{{Kind: "unknown"}})
	if diff := cmp.Diff(1, refused); diff != "" {
		t.Errorf("refused items (-want +got):\n%s", diff)
	}
}

// TestForeignAndDamagedMessagesAreRefused calls a peer with messages that it
// must not take in.
func TestForeignAndDamagedMessagesAreRefused(t *testing.T) {
	s := newSwarm(t, 1, nil)
	p := s.peers[0]
	digest := func(fleet, key string, members int, address string) *peerpb.Digest {
		m := Member{Incarnation: "x", Address: address, Instance: "x", State: StateAlive, Heartbeat: 1}
		d := &peerpb.Digest{Fleet: fleet, Sender: m.proto()}
		for range members {
			d.Members = append(d.Members, m.proto())
		}
		var err error
		if d.Mac, err = sign([]byte(key), d); err != nil {
			t.Fatal(err)
		}
		return d
	}
	altered := digest("test", "key", 1, "127.0.0.1:1")
	altered.Members[0].Address = "127.0.0.1:2"
	tests := []struct {
		name    string
		digest  *peerpb.Digest
		counter string
	}{
		{"wrong key", digest("test", "other", 0, "127.0.0.1:1"), "peer_foreign_messages"},
		{"foreign fleet", digest("other", "key", 0, "127.0.0.1:1"), "peer_foreign_messages"},
		{"altered", altered, "peer_foreign_messages"},
		{"too many members", digest("test", "key", maxFullMembers+1, "127.0.0.1:1"), "peer_damaged_messages"},
		{"no address", digest("test", "key", 0, ""), "peer_damaged_messages"},
	}
	for _, test := range tests {
		before := p.counted(test.counter)
		raw, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		conn := drpcconn.New(raw)
		if _, err := peerpb.NewDRPCPeerClient(conn).Exchange(t.Context(), test.digest); err == nil {
			t.Errorf("%s: the digest was taken in", test.name)
		}
		if diff := cmp.Diff(before+1, p.counted(test.counter)); diff != "" {
			t.Errorf("%s: counter %s (-want +got):\n%s", test.name, test.counter, diff)
		}
		_ = conn.Close()
	}
	if len(p.Members()) != 0 {
		t.Errorf("members after refused digests: %v", p.Members())
	}
}

// TestSlowPeerBlocksNobodyElse calls a peer that never answers and another one.
func TestSlowPeerBlocksNobodyElse(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	s := newSwarm(t, 2, func(_ int, cfg *Config) {
		cfg.CallTimeout = testPatience
		cfg.Library = testLibrary{}
	})
	ctx, cancel := context.WithCancel(t.Context())
	stuck := make(chan error)
	go func() {
		_, _, err := s.peers[0].FetchRevision(ctx, silent.Addr().String())
		stuck <- err
	}()
	revision, head, err := s.peers[0].FetchRevision(t.Context(), s.peers[1].address)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]any{nutmegid.Revision(7), "head"}, []any{revision, string(head)}); diff != "" {
		t.Errorf("reply (-want +got):\n%s", diff)
	}
	cancel()
	if err := <-stuck; !errors.Is(err, context.Canceled) {
		t.Errorf("call to the silent peer gave %v; want it cancelled", err)
	}
}

type testLibrary struct{}

// Revision implements Library.
func (testLibrary) Revision() (nutmegid.Revision, []byte) { return 7, []byte("head") }

// Segment implements Library.
func (testLibrary) Segment(_ context.Context, hash string) ([]byte, error) {
	if hash != "known" {
		return nil, errors.New("segment is not held")
	}
	return make([]byte, 2<<20), nil
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	s := newSwarm(t, 2, func(_ int, cfg *Config) {
		cfg.Interval = time.Hour
		cfg.CallTimeout = testPatience
		cfg.Library = testLibrary{}
	})
	fetch := func(within time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), within)
		defer cancel()
		_, err := s.peers[0].FetchSegment(ctx, s.peers[1].address, "known")
		return err
	}
	if err := fetch(testPatience); err != nil {
		t.Fatal(err)
	}
	s.split([]int{0}, []int{1})
	if err := fetch(50 * time.Millisecond); err == nil {
		t.Error("a call over a silent connection was answered")
	}
	s.split(nil, nil)
	if err := fetch(testPatience); err != nil {
		t.Errorf("call after the silence: %v", err)
	}
}

// TestDigestSizeIsConstant checks that a digest does not grow with the fleet,
// and that every member is told within the expected number of digests.
func TestDigestSizeIsConstant(t *testing.T) {
	size := func(n int) (int, int) {
		p := New(Config{Fleet: "test", Key: []byte("key"), Self: Member{Incarnation: "self", Address: "127.0.0.1:1"}})
		for range n {
			p.table.merge(Member{
				Instance: "instance-000", Incarnation: nutmegid.NewIncarnation(), Address: "10.0.0.1:7000",
				FailureDomain: "waco-a", State: StateAlive, Heartbeat: 1000,
			})
		}
		seen := make(map[string]bool)
		largest, digests := 0, 0
		for len(seen) < n {
			d, err := p.digest("10.0.0.2:7000", maxDigestMembers, false)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range d.GetMembers() {
				seen[m.GetIncarnation()] = true
			}
			largest = max(largest, proto.Size(d))
			digests++
		}
		return largest, digests
	}
	small, _ := size(20)
	large, digests := size(2000)
	if large != small {
		t.Errorf("digest has %d bytes among 20 members and %d among 2000", small, large)
	}
	if limit := 2 * 2000 / maxDigestMembers; digests > limit {
		t.Errorf("%d digests told of 2000 members; want at most %d", digests, limit)
	}
}

// slowReservations holds tokens after a while, as an instance does that waits
// for the store.
type slowReservations struct {
	answer chan struct{}
	asked  chan struct{}
}

func (s slowReservations) Reserve(context.Context, ReserveAsk) ReserveAnswer {
	s.asked <- struct{}{}
	<-s.answer
	return ReserveAnswer{Outcome: ReserveHeld}
}

func (slowReservations) Settle([]Settlement) {}

// TestCallsOfOnePeerOverlap asks one instance for several reservations at once:
// none waits for the answer to another.
func TestCallsOfOnePeerOverlap(t *testing.T) {
	const calls = 5
	slow := slowReservations{answer: make(chan struct{}), asked: make(chan struct{})}
	s := newSwarm(t, 2, func(_ int, cfg *Config) { cfg.Reservations = slow })
	answers := make(chan error, calls)
	for range calls {
		go func() {
			answer, err := s.peers[0].Reserve(t.Context(), s.peers[1].address, ReserveAsk{Reservation: nutmegid.NewReservationID(), Workspace: "rack", Tokens: 100})
			if err == nil && answer.Outcome != ReserveHeld {
				err = errors.New("not held: " + string(answer.Outcome))
			}
			answers <- err
		}()
	}
	for range calls {
		<-slow.asked // all are under way before the first is answered
	}
	close(slow.answer)
	for range calls {
		if err := <-answers; err != nil {
			t.Error(err)
		}
	}
}

// TestAnIdleSweepWaitsForNoCall sweeps while a call is under way on a
// connection that is as old as the sweep asks for: the sweep ends at once, and
// the call gets its answer.
func TestAnIdleSweepWaitsForNoCall(t *testing.T) {
	slow := slowReservations{answer: make(chan struct{}), asked: make(chan struct{})}
	s := newSwarm(t, 2, func(_ int, cfg *Config) { cfg.Reservations = slow })
	answered := make(chan error, 1)
	go func() {
		_, err := s.peers[0].Reserve(t.Context(), s.peers[1].address, ReserveAsk{Reservation: "r", Workspace: "rack", Tokens: 100})
		answered <- err
	}()
	<-slow.asked
	s.peers[0].conns.closeIdle(time.Now().Add(time.Hour))
	close(slow.answer) // only now can the call end
	if err := <-answered; err != nil {
		t.Error(err)
	}
}
