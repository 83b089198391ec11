package nutmegroute

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
)

// withoutAffinity is the pool's own policy without knowledge of prefixes.
type withoutAffinity struct{ *TwoChoices }

func (w withoutAffinity) Choose(set *Set, ask *Ask, now Moment) *Candidate {
	bare := *ask
	bare.Prefix = nil
	return w.TwoChoices.Choose(set, &bare, now)
}

// withoutSpeed is the pool's own policy without learned speeds.
type withoutSpeed struct{ *TwoChoices }

func (w withoutSpeed) Choose(set *Set, ask *Ask, now Moment) *Candidate {
	for _, c := range set.Members {
		c.speed.known.Store(0)
	}
	return w.TwoChoices.Choose(set, ask, now)
}

// replicating sends each n-th request of a prefix elsewhere, so that popular
// prefixes are held by more upstreams.
type replicating struct {
	*TwoChoices
	n int

	mu   *sync.Mutex
	uses map[uint64]int
}

func (r replicating) Choose(set *Set, ask *Ask, now Moment) *Candidate {
	r.mu.Lock()
	r.uses[ask.Prefix[3]]++
	copies := r.uses[ask.Prefix[3]]%r.n == 0
	r.mu.Unlock()
	if copies {
		return withoutAffinity{r.TwoChoices}.Choose(set, ask, now)
	}
	return r.TwoChoices.Choose(set, ask, now)
}

// BenchmarkPolicies reports the waits for first tokens in milliseconds; ns/op
// is the time of the whole trace on this machine.
func BenchmarkPolicies(b *testing.B) {
	variants := policies
	variants = append(variants[:len(variants):len(variants)], []policy{
		{"without_affinity", func(seed uint64) Chooser { return withoutAffinity{NewTwoChoices(seed)} }},
		{"without_speed", func(seed uint64) Chooser { return withoutSpeed{NewTwoChoices(seed)} }},
		{"replicating_10", func(seed uint64) Chooser {
			return replicating{NewTwoChoices(seed), 10, new(sync.Mutex), map[uint64]int{}}
		}},
		{"replicating_50", func(seed uint64) Chooser {
			return replicating{NewTwoChoices(seed), 50, new(sync.Mutex), map[uint64]int{}}
		}},
	}...)
	for _, rate := range []float64{60, 100, 130, 150} {
		for _, policy := range variants {
			b.Run(fmt.Sprintf("rate=%v/%s", rate, policy.name), func(b *testing.B) {
				var p95, p99 float64
				for n := range b.N {
					trace := choiceTrace
					trace.rate = rate
					trace.seed += uint64(n)
					// A bubble needs a T; its failures would show as missing waits.
					synctest.Test(&testing.T{}, func(t *testing.T) {
						waits := newBench(trace, policy.new).run(t)
						p95 += float64(percentile(waits, 0.95).Milliseconds())
						p99 += float64(percentile(waits, 0.99).Milliseconds())
					})
				}
				b.ReportMetric(p95/float64(b.N), "p95-ms")
				b.ReportMetric(p99/float64(b.N), "p99-ms")
			})
		}
	}
}
