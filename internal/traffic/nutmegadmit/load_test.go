package nutmegadmit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// TestCalm checks that nothing is refused while the engines have room.
func TestCalm(t *testing.T) {
	eachFleet(t, func(t *testing.T, instances, engines int) {
		f := newModelFleet(instances, engines)
		f.kinds = modelKinds(engines*modelSlots, 0.65)
		f.play(4 * time.Second)
		for name, o := range f.byKind {
			if o.admitted < o.asked {
				t.Errorf("%d of %d requests of kind %s were refused", o.asked-o.admitted, o.asked, name)
			}
		}
	})
}

// TestAnEngineThatReportsWrongly has one of twelve engines state millions of requests.
func TestAnEngineThatReportsWrongly(t *testing.T) {
	c := New(Config{})
	now := time.Second
	for i := range 600 {
		now += modelStep
		r := Report{Running: 8, Slots: modelSlots}
		if i%12 == 0 {
			r = Report{Running: math.MaxInt, Waiting: math.MaxInt, Slots: 1}
		}
		c.RecordReport(modelService, r, now)
		if d := c.Decide(Request{Service: modelService, Tokens: 1000}, now); !d.Admitted {
			t.Fatalf("a request is refused: %v", d)
		}
	}
}

// TestKindsOfOnePriority has requests of one priority, but with unlike latency targets,
// wait at full engines: those that would be late are refused first.
func TestKindsOfOnePriority(t *testing.T) {
	c := New(Config{Seed: 1})
	now := time.Second
	chats, reviews := outcome{}, outcome{}
	decide := func(o *outcome, target time.Duration) {
		o.asked++
		if c.Decide(Request{Service: modelService, Tokens: 1000, LatencyTarget: target}, now).Admitted {
			o.admitted++
		}
	}
	for range 200 {
		now += modelStep
		c.RecordReport(modelService, Report{Running: modelSlots, Waiting: modelSlots * 6 / 10, Slots: modelSlots}, now)
		decide(&chats, 250*time.Millisecond)
		decide(&reviews, 1200*time.Millisecond)
	}
	t.Logf("%.2f of the chats and %.2f of the reviews are admitted", chats.served(), reviews.served())
	if chats.served() > 0.6*reviews.served() {
		t.Error("requests that would be late are admitted about as often as others")
	}
	if chats.admitted == 0 {
		t.Error("none of the requests that would be late is admitted")
	}
}

// checkOrder checks that no kind is served more often than a more urgent one, and that
// some of each kind are served all along.
func checkOrder(t *testing.T, f *modelFleet) {
	t.Helper()
	for i, k := range f.kinds {
		o := f.byKind[k.name]
		t.Logf("%s: %d asked, %.3f served, %.3f of these in time, longest gap %v", k.name, o.asked, o.served(), o.timely(), f.gaps[k.name])
		if i > 0 && o.served() > f.byKind[f.kinds[i-1].name].served()+0.02 {
			t.Errorf("%s is served more often than %s, which is more urgent", k.name, f.kinds[i-1].name)
		}
		if f.gaps[k.name] > 2*time.Second {
			t.Errorf("no %s was served for %v", k.name, f.gaps[k.name])
		}
	}
	t.Logf("%.3f of the slots in use, at most %.3f waiting for each", f.busyShare(), f.longest)
}

// TestABurstOfTaggingBesideChats has eight times the usual tagging ask for more slots than
// there are.
func TestABurstOfTaggingBesideChats(t *testing.T) {
	eachFleet(t, func(t *testing.T, instances, engines int) {
		f := newModelFleet(instances, engines)
		f.kinds = modelKinds(engines*modelSlots, 0.65)
		f.play(3 * time.Second)
		f.kinds[1].perSecond *= 8
		f.play(2 * time.Second)
		f.reset()
		f.play(5 * time.Second)
		checkOrder(t, f)
		if chat := f.byKind["chat"]; chat.served() < 0.98 || chat.timely() < 0.9 {
			t.Errorf("%.3f of the chats are served, %.3f of these in time", chat.served(), chat.timely())
		}
		if f.busyShare() < 0.85 {
			t.Errorf("%.3f of the slots are in use though requests are refused", f.busyShare())
		}
	})
}

// TestAHotWorkspace has one of 24 workspaces send so much that there is not room for all.
func TestAHotWorkspace(t *testing.T) {
	eachFleet(t, func(t *testing.T, instances, engines int) {
		f := newModelFleet(instances, engines)
		f.kinds = modelKinds(engines*modelSlots, 0.65)
		f.play(3 * time.Second)
		for _, k := range f.kinds {
			k.perSecond *= 2
			k.workspace = func(random *rand.Rand) nutmegid.Workspace {
				if random.IntN(2) == 0 {
					return "hot"
				}
				return workspaces(random)
			}
		}
		f.play(2 * time.Second)
		f.reset()
		f.play(5 * time.Second)
		checkOrder(t, f)
		var others outcome
		for w, o := range f.byWorkspace {
			if w != "hot" {
				others.asked += o.asked
				others.admitted += o.admitted
			}
		}
		t.Logf("hot: %.3f served, others: %.3f", f.byWorkspace["hot"].served(), others.served())
		if others.served() < 0.98 {
			t.Errorf("%.3f of the other workspaces' requests are served", others.served())
		}
	})
}

// TestHalfTheEnginesGone takes half of the engines away from a load that all of them had
// room for. Some chats are refused: those of workspaces with more than their share.
func TestHalfTheEnginesGone(t *testing.T) {
	eachFleet(t, func(t *testing.T, instances, engines int) {
		f := newModelFleet(instances, engines)
		f.kinds = modelKinds(engines*modelSlots, 0.75)
		f.play(3 * time.Second)
		for _, e := range f.engines[:engines/2] {
			e.gone = true
		}
		f.play(3 * time.Second)
		f.reset()
		f.play(5 * time.Second)
		checkOrder(t, f)
		if chat := f.byKind["chat"]; chat.served() < 0.95 {
			t.Errorf("%.3f of the chats are served", chat.served())
		}
		if f.busyShare() < 0.85 {
			t.Errorf("%.3f of the slots are in use though requests are refused", f.busyShare())
		}
	})
}

// TestStaleReportsAt71Instances has a load that is twice too much, known by reports that
// take 0.4 s: the instances must not refuse all and admit all in turn.
func TestStaleReportsAt71Instances(t *testing.T) {
	const engines = 112
	f := newModelFleet(71, engines)
	f.reportDelay = 400 * time.Millisecond
	f.kinds = modelKinds(engines*modelSlots, 0.65)
	f.play(3 * time.Second)
	for _, k := range f.kinds {
		k.perSecond *= 3
	}
	f.play(3 * time.Second)
	f.reset()
	f.play(8 * time.Second)
	checkOrder(t, f)
	if f.busyShare() < 0.85 {
		t.Errorf("%.3f of the slots are in use though requests are refused", f.busyShare())
	}
	if f.longest > 0.5 {
		t.Errorf("up to %.2f requests wait for each slot", f.longest)
	}
}
