package nutmegroster

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegpermit"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

// silentRoster returns a roster whose peers never answer. Each call closes called.
func silentRoster(all []nutmegview.Instance, called chan<- struct{}) *Roster {
	r := testRoster(all, 0)
	r.peers.Store(nutmegpeer.New(nutmegpeer.Config{Fleet: fleetName, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		close(called)
		<-ctx.Done()
		return nil, ctx.Err()
	}}))
	return r
}

// TestCallerThatLeavesDoesNotBlameTheHome guards against a home that is skipped for
// seconds because a caller left while the home was asked for its request.
func TestCallerThatLeavesDoesNotBlameTheHome(t *testing.T) {
	all := testFleet(2)
	for name, call := range map[string]func(context.Context, *Roster) error{
		"reserve": func(ctx context.Context, r *Roster) error {
			_, err := r.Reserve(ctx, all[1], nutmegpeer.ReserveRequest{})
			return err
		},
		"permit": func(ctx context.Context, r *Roster) error {
			_, err := r.Permit(ctx, all[1], nutmegpeer.PermitRequest{})
			return err
		},
	} {
		called := make(chan struct{})
		r := silentRoster(all, called)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-called
			cancel()
		}()
		if err := call(ctx, r); err == nil {
			t.Fatalf("%s: a silent home has answered", name)
		}
		if n := len(r.reachable()); n != 1 {
			t.Errorf("%s: %d instances are asked after a caller left; want 1", name, n)
		}
	}
}

// TestHomesOfLimitsAreAgreed guards against instances that ask different homes, and
// against a home with a new name that counts before all know it.
func TestHomesOfLimitsAreAgreed(t *testing.T) {
	all := testFleet(9)
	for n := range 20 {
		process := nutmegview.Process(fmt.Sprint("u", n, "@1"))
		firsts := make(map[nutmegview.Instance]bool)
		counting := 0
		for self := range all {
			r := testRoster(all, self)
			home, ok := r.PermitHome(process)
			if !ok {
				t.Fatalf("%s: no home", process)
			}
			firsts[home] = true
			r.settledAt = time.Now().Add(time.Hour)
			now := time.Now()
			r.listedAt.Store(&now)
			if r.IsFirstPermitHome(process) {
				t.Errorf("%s: %s counts as the first home before all know it", process, home.Name)
			}
			r.settledAt = now
			if r.IsFirstPermitHome(process) {
				counting++
			}
			old := now.Add(-nutmegpermit.MaxListAge)
			r.listedAt.Store(&old)
			if r.IsFirstPermitHome(process) {
				t.Errorf("%s: %s counts as the first home with an old list of instances", process, home.Name)
			}
		}
		if len(firsts) != 1 || counting != 1 {
			t.Errorf("%s: asked %d homes, %d count as the first; want one", process, len(firsts), counting)
		}
	}
}
