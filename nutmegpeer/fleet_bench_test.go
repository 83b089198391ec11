package nutmegpeer

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"
)

const (
	benchIdleTime  = 10 * time.Second // idle time that one iteration measures
	benchRevisions = 20
)

// BenchmarkFleet measures the cost of membership per peer in an idle fleet, and
// the time that a revision needs to reach all peers through gossip alone. Both
// ends of each call run in this process.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{7, 50, 100, 200} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			f := newTestFleet(b, n, func(_ int, cfg *Config) {
				cfg.Interval, cfg.DeadAfter = 0, 0 // use the defaults
				cfg.Dial = nil
			})
			f.awaitStates(b, firstPeers(n), map[State]int{StateAlive: n - 1})
			for b.Loop() {
				f.reportIdleCost(b, n)
				f.reportRevisionDelay(b)
			}
		})
	}
}

// reportIdleCost reports the traffic and the processor time per peer of an idle
// fleet.
func (f *testFleet) reportIdleCost(b *testing.B, n int) {
	bytesBefore, cpuBefore := f.totalBytes(), processorTime(b)
	time.Sleep(benchIdleTime)
	perPeer := benchIdleTime.Seconds() * float64(n)
	b.ReportMetric(float64(f.totalBytes()-bytesBefore)/perPeer, "B/s/peer")
	b.ReportMetric(100*(processorTime(b)-cpuBefore).Seconds()/perPeer, "%core/peer")
}

// reportRevisionDelay reports percentiles of the time that a revision needs to
// reach a peer.
func (f *testFleet) reportRevisionDelay(b *testing.B) {
	var delays []time.Duration
	for r := range benchRevisions {
		origin := f.peers[r%len(f.peers)]
		next := origin.revision.Load() + 1
		start := time.Now()
		origin.setRevision(next)
		for _, p := range f.peers {
			for p.revision.Load() < next || p.revisionSetAt.Load() < start.UnixNano() {
				time.Sleep(100 * time.Microsecond)
			}
			delays = append(delays, time.Duration(p.revisionSetAt.Load()-start.UnixNano()))
		}
		time.Sleep(200 * time.Millisecond)
	}
	slices.Sort(delays)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(ms(delays[len(delays)/2]), "p50-ms")
	b.ReportMetric(ms(delays[len(delays)*99/100]), "p99-ms")
	b.ReportMetric(ms(delays[len(delays)-1]), "max-ms")
}

// totalBytes returns the number of bytes that all peers have sent and received.
func (f *testFleet) totalBytes() int64 {
	var sum int64
	for _, p := range f.peers {
		sum += p.counter("peer_bytes_sent") + p.counter("peer_bytes_received")
	}
	return sum
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkUrgentItem measures the time until an urgent item has reached the last
// peer, in a fleet whose regular rounds are far apart.
func BenchmarkUrgentItem(b *testing.B) {
	for _, n := range []int{7, 95, 150} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			f := newTestFleet(b, n, func(_ int, cfg *Config) {
				cfg.Interval, cfg.DeadAfter = 10*time.Second, 0
				cfg.Dial = nil
			})
			f.registerUrgent()
			addresses := make([]string, 0, n)
			for _, p := range f.peers {
				addresses = append(addresses, p.address)
			}
			for _, p := range f.peers {
				p.SetSeeds(addresses)
				p.Announce()
			}
			var slowest time.Duration
			for i := 0; b.Loop(); i++ {
				slowest = max(slowest, f.spreadItem(b, i))
			}
			b.ReportMetric(slowest.Seconds(), "s/slowest")
		})
	}
}

// spreadItem puts an item at a peer and returns the time until all peers hold it.
func (f *testFleet) spreadItem(b *testing.B, i int) time.Duration {
	start := time.Now()
	item := Item{Kind: urgentKind, Key: fmt.Sprint("item", i), Version: 1, Expires: start.Add(time.Minute), Value: make([]byte, 200)}
	if err := f.peers[i%len(f.peers)].Gossip().Put(item); err != nil {
		b.Fatal(err)
	}
	for _, p := range f.peers {
		for !slices.ContainsFunc(p.Gossip().Items(urgentKind), func(got Item) bool { return got.Key == item.Key }) {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}
