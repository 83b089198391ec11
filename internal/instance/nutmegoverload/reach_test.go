package nutmegoverload

import (
	"fmt"
	"testing"
	"time"
)

// serveThroughFullLink offers one request every 2 ms to an instance whose packets wait
// for a time at its link. Each admitted request connects to one of the hosts. It
// returns how many requests were refused at once and how many failed after waiting.
func serveThroughFullLink(admit func(r *Reach, now time.Duration) bool, delay func(at time.Duration) time.Duration, to time.Duration) (refused, failed, served int) {
	const connectTimeout = 150 * time.Millisecond
	type attempt struct {
		host string
		ok   bool
	}
	var r Reach
	ends := make(map[time.Duration][]attempt)
	for now, n := time.Duration(0), 0; now < to; now, n = now+2*time.Millisecond, n+1 {
		for _, a := range ends[now] {
			if a.ok {
				r.Succeeded()
				served++
				continue
			}
			r.Failed(a.host, now)
			failed++
		}
		if !admit(&r, now) {
			refused++
			continue
		}
		wait := delay(now)
		end := now + min(wait, connectTimeout).Truncate(2*time.Millisecond) + 2*time.Millisecond
		ends[end] = append(ends[end], attempt{host: fmt.Sprintf("10.0.0.%d", n%50), ok: wait < connectTimeout})
	}
	return refused, failed, served
}

// TestOneWorkspaceSendsTenTimesItsUsual simulates a workspace that a load balancer
// sends to one small instance, whose link it fills: packets wait for a second there.
// Requests must be refused at once, while their callers can still reach another
// instance, and be served again soon after the load.
func TestOneWorkspaceSendsTenTimesItsUsual(t *testing.T) {
	hot := func(at time.Duration) time.Duration {
		if at > 2*time.Second && at < 8*time.Second {
			return time.Second
		}
		return 5 * time.Millisecond
	}
	refused, failed, served := serveThroughFullLink((*Reach).Admit, hot, 12*time.Second)
	all := 6 * 500
	if share := float64(failed) / float64(all); share > 0.2 {
		t.Errorf("%.2f of the requests failed after waiting, want at most 0.2", share)
	}
	if share := float64(refused) / float64(all); share < 0.8 {
		t.Errorf("%.2f of the requests were refused at once, want at least 0.8", share)
	}
	if want := 5*500 + 250; served < want {
		t.Errorf("%d requests were served, want at least %d: the load ends after 8 s", served, want)
	}

	admitAll := func(*Reach, time.Duration) bool { return true }
	if _, failed, _ := serveThroughFullLink(admitAll, hot, 12*time.Second); failed < all*9/10 {
		t.Errorf("%d requests fail where all are admitted: the load proves nothing", failed)
	}
}

func TestDeadHostIsNotLostReach(t *testing.T) {
	var r Reach
	for now := time.Duration(0); now < 10*time.Second; now += 20 * time.Millisecond {
		r.Failed("10.0.0.1", now)
		if r.Lost() {
			t.Fatalf("one host that does not answer counts as lost reach at %v", now)
		}
	}
}

func TestSomeFailuresAreNotLostReach(t *testing.T) {
	var r Reach
	for n := range 1000 {
		now := time.Duration(n) * 20 * time.Millisecond
		r.Failed(fmt.Sprintf("10.0.0.%d", n%50), now)
		if n%10 == 9 {
			r.Succeeded()
		}
		if r.Lost() {
			t.Fatalf("reach is lost at %v although every tenth host answers", now)
		}
	}
}
