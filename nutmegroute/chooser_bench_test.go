package nutmegroute

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
)

// withoutAffinity is the default policy without prefix affinity.
type withoutAffinity struct{ *TwoChoices }

func (w withoutAffinity) Choose(set *CandidateSet, req *PickRequest, now MonoTime) *Candidate {
	bare := *req
	bare.Prefix = nil
	return w.TwoChoices.Choose(set, &bare, now)
}

// withoutSpeed is the default policy without measured speeds.
type withoutSpeed struct{ *TwoChoices }

func (w withoutSpeed) Choose(set *CandidateSet, req *PickRequest, now MonoTime) *Candidate {
	for _, c := range set.Members {
		c.speed.slownessBits.Store(0)
	}
	return w.TwoChoices.Choose(set, req, now)
}

// replicating ignores prefix affinity for every n-th request of a prefix, so that popular
// prefixes are cached by more upstreams.
type replicating struct {
	*TwoChoices
	n int

	mu   *sync.Mutex
	uses map[uint64]int
}

func (r replicating) Choose(set *CandidateSet, req *PickRequest, now MonoTime) *Candidate {
	r.mu.Lock()
	r.uses[req.Prefix[3]]++
	copies := r.uses[req.Prefix[3]]%r.n == 0
	r.mu.Unlock()
	if copies {
		return withoutAffinity{r.TwoChoices}.Choose(set, req, now)
	}
	return r.TwoChoices.Choose(set, req, now)
}

// BenchmarkPolicies reports the time to first token in milliseconds; ns/op is the wall time of
// the whole trace.
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
					// synctest.Test needs a T. Failures show up as missing samples.
					synctest.Test(&testing.T{}, func(t *testing.T) {
						waits := newSimulation(trace, policy.new).run(t)
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
