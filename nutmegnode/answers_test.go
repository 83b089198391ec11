package nutmegnode

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

var errTestUnread = errors.New("nobody reads")

func newTestAnswer(n int) (*answer, context.Context) {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &answer{
		key: answerKey{key: nutmegid.OrderKey(fmt.Sprint(n))}, request: nutmegid.RequestID(fmt.Sprint(n)),
		cancel: cancel, releaseDeadline: func() {},
	}, ctx
}

// TestAttachedAnswerIsNotCancelledAsUnread guards against a reader that attaches
// between the check and the cancellation.
func TestAttachedAnswerIsNotCancelledAsUnread(t *testing.T) {
	a, ctx := newTestAnswer(1)
	a.onUnread = func() {
		a.attach()
		a.cancelUnread(errTestUnread)
	}
	a.expireUnread()
	if ctx.Err() != nil {
		t.Errorf("the answer was cancelled: %v", context.Cause(ctx))
	}
	a.detach(time.Hour) // its own timer must not run onUnread again
	if !a.cancelUnread(errTestUnread) || !errors.Is(context.Cause(ctx), errTestUnread) {
		t.Errorf("the unread answer was not cancelled: %v", context.Cause(ctx))
	}
}

// TestExpiredAnswersAreNotRetained guards against memory that ended answers keep
// until newer ones push them out.
func TestExpiredAnswersAreNotRetained(t *testing.T) {
	r := newAnswerRegistry()
	for n := range 3 {
		a, _ := newTestAnswer(n)
		if _, added, err := r.register(a); !added || err != nil {
			t.Fatal(added, err)
		}
		r.finish(a, true)
		r.expire(a)
	}
	if len(r.retained)+len(r.byKey)+len(r.byRequest) > 0 {
		t.Errorf("%d answers retained, %d by key, %d by request; want none", len(r.retained), len(r.byKey), len(r.byRequest))
	}
}

// TestSweepVisitsEveryPrefix guards against records that are never deleted because
// their prefix is skipped.
func TestSweepVisitsEveryPrefix(t *testing.T) {
	var c sweepCursor
	seen := make(map[string]bool)
	for range sweepShards {
		seen[c.nextPrefix()] = true
	}
	if len(seen) != sweepShards {
		t.Errorf("%d prefixes in a whole round, want %d", len(seen), sweepShards)
	}
}
