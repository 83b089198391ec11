package nutmegmeter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegrelay"
	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

const (
	testPrepaid = 60_000 // tokens of the one workspace
	testSteps   = 250
	testSeeds   = 60
)

var errLost = errors.New("the answer was lost")

// memory is a store in memory without faults.
type memory struct {
	stand *nutmegstand.Platform
}

func (m memory) Get(_ context.Context, key nutmegstore.Key) (nutmegstore.Object, error) {
	o, ok := m.stand.Object(key.Kind, key.Name)
	if !ok {
		return nutmegstore.Object{}, &nutmegstore.Error{Kind: nutmegstore.KindNotFound, Key: key}
	}
	return nutmegstore.Object{Key: key, Version: nutmegid.Version(o.Version), Value: o.Value}, nil
}

func (m memory) Create(_ context.Context, key nutmegstore.Key, value []byte) (nutmegid.Version, error) {
	o, made := m.stand.Create(key.Kind, key.Name, value)
	return written(key, o, made)
}

func (m memory) Replace(_ context.Context, key nutmegstore.Key, value []byte, version nutmegid.Version) (nutmegid.Version, error) {
	o, done := m.stand.Replace(key.Kind, key.Name, value, uint64(version))
	return written(key, o, done)
}

func written(key nutmegstore.Key, o nutmegstand.Object, done bool) (nutmegid.Version, error) {
	if !done {
		return 0, &nutmegstore.Error{Kind: nutmegstore.KindConflict, Key: key}
	}
	return nutmegid.Version(o.Version), nil
}

// town is a fleet with one home of the workspace and instances that ask it.
type town struct {
	stand  *nutmegstand.Platform
	view   *nutmegview.View
	random *rand.Rand
	home   atomic.Pointer[Meter]
	others []*Meter
	number int // of the latest incarnation

	mu          sync.Mutex
	faults      *rand.Rand
	loseAsks    float64 // share of reservations whose answer is lost
	loseReports float64 // share of settlements that are not sent
	forgetful   bool    // the home forgets what it holds: deliberately broken

	running []runningRequest
	used    nutmegid.Tokens // by requests that ran
}

type runningRequest struct {
	reservation nutmegrelay.Reservation
	used        nutmegid.Tokens
}

func newTown(seed uint64) *town {
	w := &town{
		stand: nutmegstand.NewPlatform(nutmegstand.PlatformConfig{Seed: seed}), view: nutmegview.New(),
		random: rand.New(rand.NewPCG(seed, 1)), faults: rand.New(rand.NewPCG(seed, 2)),
	}
	w.view.Apply(&nutmegview.Config{Revision: 1, Workspaces: map[nutmegid.Workspace]*nutmegview.Workspace{
		"rack": {Name: "rack", Prepaid: testPrepaid, Metered: true},
	}})
	w.home.Store(w.meter(nil))
	for range 4 {
		w.others = append(w.others, w.meter(w))
	}
	return w
}

// meter opens a meter; a home has no homes.
func (w *town) meter(homes Homes) *Meter {
	w.number++
	incarnation := nutmegid.Incarnation(fmt.Sprint("boot-", w.number))
	m := New(Config{
		Writer: nutmegstore.NewWriter(memory{w.stand}, incarnation), View: w.view, Incarnation: incarnation,
		Instance: nutmegid.Instance(incarnation), Horizon: 10 * time.Second, Leased: 0.3, Even: 0.25, Spread: 3000, Homes: homes,
	})
	m.Open(1)
	return m
}

// Homes implements Homes.
func (w *town) Homes(nutmegid.Workspace) []nutmegview.Instance {
	return []nutmegview.Instance{{Name: "home"}}
}

// Reserve implements Homes.
func (w *town) Reserve(ctx context.Context, _ nutmegview.Instance, ask nutmegpeer.ReserveRequest) (nutmegpeer.ReserveReply, error) {
	answer := w.home.Load().ReserveFor(ctx, ask)
	if w.forgetful {
		w.home.Load().SettleFor([]nutmegpeer.Settlement{{Reservation: ask.Reservation}})
	}
	if w.loses(w.loseAsks) {
		return nutmegpeer.ReserveReply{}, errLost
	}
	return answer, nil
}

// loses draws whether an answer is lost. Several meters report at once.
func (w *town) loses(share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.Float64() < share
}

// Settle implements Homes.
func (w *town) Settle(_ context.Context, _ nutmegview.Instance, settlements []nutmegpeer.Settlement) error {
	if w.loses(w.loseReports) {
		return errLost
	}
	w.home.Load().SettleFor(settlements)
	return nil
}

// request runs a request of up to 1,500 tokens at an instance, to its end or
// until a later step.
func (w *town) request(m *Meter, held bool) {
	tokens := 100 + w.random.Int64N(1000)
	call := &nutmegcall.Call{
		ID: "request", Workspace: "rack", Metered: true, Route: &nutmegview.Route{Priority: w.random.IntN(2)},
		Prompt: nutmegcall.Prompt{Tokens: tokens, MaxOutput: 400}, Arrived: time.Now(), Deadline: time.Now().Add(5 * time.Second),
	}
	r, refusal := m.Reserve(context.Background(), call)
	if refusal != nil {
		return
	}
	run := runningRequest{reservation: r, used: nutmegid.Tokens(tokens + w.random.Int64N(400))}
	w.used += run.used
	if held {
		w.running = append(w.running, run)
		return
	}
	r.Settle(run.used)
}

func (w *town) endRunning() {
	for _, run := range w.running {
		run.reservation.Settle(run.used)
	}
	w.running = nil
}

// step does one random thing.
func (w *town) step(mayKill bool) {
	switch n := w.random.IntN(100); {
	case n < 60:
		w.request(w.others[w.random.IntN(len(w.others))], false)
	case n < 75:
		w.request(w.others[w.random.IntN(len(w.others))], true)
	case n < 80:
		w.request(w.home.Load(), false)
	case n < 88:
		w.endRunning()
	case n < 98 || !mayKill:
		time.Sleep(time.Duration(w.random.Int64N(int64(3 * time.Second))))
	default:
		w.home.Load().holder.Load().Abandon()
		w.home.Store(w.meter(nil))
	}
}

// end stops all meters, those that ask before the home.
func (w *town) end(t *testing.T) {
	t.Helper()
	w.endRunning()
	for _, m := range append(w.others, w.home.Load()) {
		if err := m.Stop(t.Context()); err != nil {
			t.Errorf("stop: %v", err)
		}
	}
}

// spent returns what the store counts as spent and the leases left in it.
func (w *town) spent(t *testing.T) (spent, leased nutmegid.Tokens) {
	t.Helper()
	o, ok := w.stand.Object(nutmegbudget.ShardKind, nutmegbudget.ShardName(0))
	if !ok {
		t.Fatal("the store has no budgets")
	}
	doc, err := nutmegstore.Decode[nutmegbudget.Shard](nutmegstore.Object{Value: o.Value})
	if err != nil {
		t.Fatal(err)
	}
	b := doc.Body.Budgets[nutmegid.WorkspaceBudget("rack")]
	return b.Spent, b.Leased()
}

// TestHomesNeverOverspend plays random runs with lost answers, lost reports and
// killed homes: requests never use more than was prepaid, nor more than the
// store counts as spent or leased.
func TestHomesNeverOverspend(t *testing.T) {
	for seed := range uint64(testSeeds) {
		synctest.Test(t, func(t *testing.T) {
			w := newTown(seed)
			w.loseAsks, w.loseReports = 0.1, 0.3
			for range testSteps {
				w.step(true)
			}
			w.end(t)
			spent, leased := w.spent(t)
			if w.used > testPrepaid || w.used > spent+leased {
				t.Errorf("seed %d: %d tokens were used of %d; the store has %d spent and %d leased", seed, w.used, testPrepaid, spent, leased)
			}
		})
	}
}

// TestAForgetfulHomeIsCaught shows that the check above can fail.
func TestAForgetfulHomeIsCaught(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTown(1)
		w.forgetful = true
		for range testSteps {
			w.step(false)
		}
		w.end(t)
		if spent, leased := w.spent(t); w.used <= spent+leased {
			t.Errorf("%d tokens were used, %d spent and %d leased, though the home forgot reservations", w.used, spent, leased)
		}
	})
}

// TestAHomeCountsWhatRequestsUsed plays a day without faults: all of the budget
// is used, and the store counts exactly that.
func TestAHomeCountsWhatRequestsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTown(2)
		for range 3 * testSteps {
			w.step(false)
		}
		w.end(t)
		spent, leased := w.spent(t)
		if diff := cmp.Diff([]nutmegid.Tokens{w.used, 0}, []nutmegid.Tokens{spent, leased}); diff != "" {
			t.Errorf("tokens spent and leased (-used +stored):\n%s", diff)
		}
		if w.used < testPrepaid*97/100-1500 {
			t.Errorf("%d of %d tokens were used, though requests went on", w.used, testPrepaid)
		}
	})
}

// TestAReservationThatNobodySettlesCountsAsUsed kills the instance of a running
// request.
func TestAReservationThatNobodySettlesCountsAsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTown(3)
		w.request(w.others[0], true)
		w.running = nil // its instance is gone
		w.used = 0
		if lent := w.home.Load().Lent(); lent != 1 {
			t.Fatalf("the home holds %d reservations", lent)
		}
		w.end(t)
		if spent, _ := w.spent(t); spent < 500 {
			t.Errorf("%d tokens are spent after a request that nobody settled", spent)
		}
	})
}

// TestARefusalTellsWhatItRestsOn asks for more than there is.
func TestARefusalTellsWhatItRestsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTown(4)
		defer w.end(t)
		_, refusal := w.home.Load().Reserve(t.Context(), &nutmegcall.Call{
			ID: "request", Workspace: "rack", Metered: true, Route: &nutmegview.Route{}, Arrived: time.Now(), Deadline: time.Now().Add(time.Second),
			Prompt: nutmegcall.Prompt{Tokens: 2 * testPrepaid},
		})
		if refusal == nil || refusal.Reason != nutmegcall.ReasonBudget {
			t.Fatalf("refusal %v, want %s", refusal, nutmegcall.ReasonBudget)
		}
		for _, part := range []string{"60000 unspent", "seen 0 ms ago", "silent for 0 ms"} {
			if !strings.Contains(refusal.Detail, part) {
				t.Errorf("the detail %q does not tell %q", refusal.Detail, part)
			}
		}
	})
}
