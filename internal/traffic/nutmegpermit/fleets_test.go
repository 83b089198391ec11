package nutmegpermit

import (
	"fmt"
	"testing"
)

// fleets are the sizes and limits that the model plays. The requests are three to eight
// times what the upstreams take.
var fleets = []modelConfig{
	{instances: 7, limits: []float64{1, 1.2, 0.2}, rate: 20},
	{instances: 7, limits: []float64{200, 30, 3}, rate: 700},
	{instances: 95, limits: []float64{0.2, 0.5, 1, 2, 10}, rate: 40},
	{instances: 450, limits: []float64{0.2, 1, 5, 20}, rate: 80},
}

func (c modelConfig) String() string {
	return fmt.Sprintf("seed %d, %d instances, limits %v", c.seed, c.instances, c.limits)
}

const modelSeeds = 4 // of each simulated fleet

// playFleets plays all fleets with several seeds and fails the test if a limit is
// passed, or if less than the share given is used of the limits.
func playFleets(t *testing.T, used float64, adjust func(*modelConfig)) {
	t.Helper()
	for _, cfg := range fleets {
		adjust(&cfg)
		for cfg.seed = range uint64(modelSeeds) {
			if r := newModel(cfg).run(); r.excess > 0 || r.used < used {
				t.Errorf("%s: %+v; want no excess, and at least %g of the limits used", cfg, r, used)
			}
		}
	}
}

// TestLimitHoldsOverAllInstances guards against limits that hold at each instance
// but not over all of them, and against limits that are not used while callers are
// refused.
func TestLimitHoldsOverAllInstances(t *testing.T) {
	t.Parallel()
	playFleets(t, usedShare, func(*modelConfig) {})
}

// TestLimitHoldsWhileTheFleetChanges plays instances that restart, freeze, join, or do
// not reach the store, so that homes change and instances disagree about them.
func TestLimitHoldsWhileTheFleetChanges(t *testing.T) {
	t.Parallel()
	playFleets(t, 0, func(cfg *modelConfig) { cfg.disturbed = true })
}

// TestHomeWithAnOldListStepsBack guards against two first homes: one that instances
// agree on that have read the list lately, and one for those that have not.
func TestHomeWithAnOldListStepsBack(t *testing.T) {
	t.Parallel()
	playFleets(t, 0, func(cfg *modelConfig) { cfg.divided = true })
}

// TestChangingLimitsHold plays limits that rise, fall and end.
func TestChangingLimitsHold(t *testing.T) {
	t.Parallel()
	playFleets(t, 0, func(cfg *modelConfig) { cfg.changing = true })
}

// TestHomeLearnsAtOnceThatALimitFell guards against a home that permits an old, higher
// rate until an instance that knows better happens to ask for a permit.
func TestHomeLearnsAtOnceThatALimitFell(t *testing.T) {
	t.Parallel()
	cfg := fleets[3]
	cfg.changing = true
	cfg.seed = 37
	if r := newModel(cfg).run(); r.excess > 0 {
		t.Errorf("%s: %+v; want no excess", cfg, r)
	}
}

// TestUpstreamIsRelievedAtOnce guards against upstreams that each instance has to
// learn of by itself: with hundreds of instances that takes minutes.
func TestUpstreamIsRelievedAtOnce(t *testing.T) {
	t.Parallel()
	playFleets(t, usedShare, func(cfg *modelConfig) { cfg.spread = true })
}

// TestModelNoticesInstancesThatCountAlone checks that the model fails instances of
// which each keeps the limit for itself.
func TestModelNoticesInstancesThatCountAlone(t *testing.T) {
	for _, cfg := range fleets {
		cfg.alone = true
		if r := newModel(cfg).run(); r.excess <= 0 {
			t.Errorf("%s: %+v; want an excess", cfg, r)
		}
	}
}
