package nutmegmeter

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

// outbox gathers what requests have used of tokens that homes hold, and sends
// it to them from time to time.
type outbox struct {
	send func(ctx context.Context, home nutmegview.Instance, settlements []nutmegpeer.Settlement) error
	drop func(home nutmegview.Instance, settlements int) // told of what came too late

	mu      sync.Mutex
	pending map[nutmegview.Instance][]unsent
}

// unsent is a settlement that its home waits for until a moment.
type unsent struct {
	nutmegpeer.Settlement
	until time.Time
}

func newOutbox(send func(context.Context, nutmegview.Instance, []nutmegpeer.Settlement) error, drop func(nutmegview.Instance, int)) *outbox {
	return &outbox{send: send, drop: drop, pending: make(map[nutmegview.Instance][]unsent)}
}

func (o *outbox) add(home nutmegview.Instance, s nutmegpeer.Settlement, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending[home] = append(o.pending[home], unsent{Settlement: s, until: until})
}

// flush sends what is pending, to all homes at once, and keeps what was not
// taken for the next time.
func (o *outbox) flush(ctx context.Context, now time.Time) {
	o.mu.Lock()
	pending := o.pending
	o.pending = make(map[nutmegview.Instance][]unsent)
	o.mu.Unlock()
	var sending sync.WaitGroup
	for home, list := range pending {
		sending.Go(func() { o.flushTo(ctx, home, list, now) })
	}
	sending.Wait()
}

func (o *outbox) flushTo(ctx context.Context, home nutmegview.Instance, list []unsent, now time.Time) {
	settlements := make([]nutmegpeer.Settlement, 0, len(list))
	kept := list[:0]
	for _, s := range list {
		if now.Before(s.until) {
			kept = append(kept, s)
			settlements = append(settlements, s.Settlement)
		}
	}
	if late := len(list) - len(kept); late > 0 {
		o.drop(home, late)
	}
	if len(kept) == 0 || o.send(ctx, home, settlements) == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending[home] = append(kept, o.pending[home]...)
}
