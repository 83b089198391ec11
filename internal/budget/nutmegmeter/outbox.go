package nutmegmeter

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

// outbox queues settlements of tokens reserved at homes and sends them in
// batches.
type outbox struct {
	send   func(ctx context.Context, home nutmegview.Instance, settlements []nutmegpeer.Settlement) error
	onDrop func(home nutmegview.Instance, settlements int) // called for expired settlements

	mu      sync.Mutex
	pending map[nutmegview.Instance][]queuedSettlement
}

// queuedSettlement is a settlement that its home accepts until the given time.
type queuedSettlement struct {
	nutmegpeer.Settlement
	expires time.Time
}

func newOutbox(send func(context.Context, nutmegview.Instance, []nutmegpeer.Settlement) error, onDrop func(nutmegview.Instance, int)) *outbox {
	return &outbox{send: send, onDrop: onDrop, pending: make(map[nutmegview.Instance][]queuedSettlement)}
}

func (o *outbox) add(home nutmegview.Instance, s nutmegpeer.Settlement, expires time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending[home] = append(o.pending[home], queuedSettlement{Settlement: s, expires: expires})
}

// flush sends the queued settlements to all homes concurrently and requeues those
// that were not accepted.
func (o *outbox) flush(ctx context.Context, now time.Time) {
	o.mu.Lock()
	pending := o.pending
	o.pending = make(map[nutmegview.Instance][]queuedSettlement)
	o.mu.Unlock()
	var sending sync.WaitGroup
	for home, list := range pending {
		sending.Go(func() { o.flushTo(ctx, home, list, now) })
	}
	sending.Wait()
}

func (o *outbox) flushTo(ctx context.Context, home nutmegview.Instance, list []queuedSettlement, now time.Time) {
	settlements := make([]nutmegpeer.Settlement, 0, len(list))
	kept := list[:0]
	for _, s := range list {
		if now.Before(s.expires) {
			kept = append(kept, s)
			settlements = append(settlements, s.Settlement)
		}
	}
	if dropped := len(list) - len(kept); dropped > 0 {
		o.onDrop(home, dropped)
	}
	if len(kept) == 0 || o.send(ctx, home, settlements) == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending[home] = append(kept, o.pending[home]...)
}
