package nutmegentry

import (
	"context"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegnotice"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegpermit"
)

// rateInformer tells the homes of rate limits when an answer to this instance has
// changed one. Otherwise a home would learn that from the next request for a permit
// only, which may take seconds in a large fleet.
type rateInformer struct {
	entry *Entry
	queue chan nutmegnotice.Change
	done  chan struct{}
}

func newRateInformer(e *Entry) *rateInformer {
	return &rateInformer{entry: e, queue: make(chan nutmegnotice.Change, maxQueuedRates), done: make(chan struct{})}
}

// add queues a change, unless too many are queued: a later permit tells it, too.
func (i *rateInformer) add(c nutmegnotice.Change) {
	select {
	case i.queue <- c:
	default:
		i.entry.count("rate_changes_not_told")
	}
}

// run tells the homes of queued changes until ctx ends.
func (i *rateInformer) run(ctx context.Context) {
	defer close(i.done)
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-i.queue:
			i.inform(ctx, c)
		}
	}
}

func (i *rateInformer) inform(ctx context.Context, c nutmegnotice.Change) {
	home, _, err := i.entry.askPermit(ctx, nutmegpermit.Request{Process: c.Process, Rate: c.After, Inform: true})
	if err != nil && ctx.Err() == nil {
		i.entry.count("rate_changes_not_told")
		i.entry.event("rate_change_not_told").WithField("process", c.Process).WithField("home", home).WithError(err).Warn("the home of a rate limit does not learn now that it has changed")
	}
}
