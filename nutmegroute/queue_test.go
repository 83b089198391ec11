package nutmegroute

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// occupy admits n requests of one workspace, which must not have to wait.
func occupy(t *testing.T, q *Queue, p Priority, n int) {
	t.Helper()
	for range n {
		if err := q.Acquire(t.Context(), p, "first", 1); err != nil {
			t.Fatal(err)
		}
	}
}

// acquireInBackground starts a request in the background that sends its workspace to order once admitted.
func acquireInBackground(t *testing.T, q *Queue, p Priority, w nutmegid.Workspace, tokens int64, order chan<- string) {
	t.Helper()
	go func() {
		if q.Acquire(t.Context(), p, w, tokens) == nil {
			order <- string(w)
		}
	}()
	synctest.Wait()
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueConfig{}, Capacity{Slots: 10})
		occupy(t, q, PriorityCheck, 10)
		occupy(t, q, PrioritySteady, 1) // each priority has a guaranteed slot
		occupy(t, q, PriorityLookUp, 1)
		occupy(t, q, PriorityBatch, 1)
		order := make(chan string, 8)
		acquireInBackground(t, q, PriorityBatch, "batch", 1, order)
		acquireInBackground(t, q, PrioritySteady, "steady", 1, order)
		acquireInBackground(t, q, PriorityLookUp, "look_up", 1, order)
		for range 8 {
			q.Release(PriorityCheck)
			synctest.Wait()
		}
		got := []string{<-order, <-order}
		if diff := cmp.Diff([]string{"look_up", "steady"}, got); diff != "" {
			t.Errorf("order (-want +got):\n%s", diff)
		}
		q.Release(PriorityBatch)
		if diff := cmp.Diff("batch", <-order); diff != "" {
			t.Errorf("batch request (-want +got):\n%s", diff)
		}
	})
}

func TestBatchRequestsLeaveCapacityAndDoNotStarve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueConfig{}, Capacity{Slots: 100})
		order := make(chan string, 300)
		for range 200 {
			acquireInBackground(t, q, PriorityBatch, "batch", 1, order)
		}
		if diff := cmp.Diff(45, len(order)); diff != "" {
			t.Errorf("batch requests that run (-want +got):\n%s", diff)
		}
		occupy(t, q, PriorityCheck, 55)
		before := len(order)
		for range 45 {
			q.Release(PriorityBatch)
		}
		synctest.Wait()
		if len(order)-before < 5 {
			t.Errorf("%d batch requests started while checks fill the capacity; want at least 5", len(order)-before)
		}
	})
}

func TestLargeWorkspaceDoesNotStarveASmallOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueConfig{}, Capacity{Slots: 20})
		occupy(t, q, PrioritySteady, 17)
		order := make(chan string, 100)
		for range 50 {
			acquireInBackground(t, q, PrioritySteady, "large", 2000, order)
		}
		for range 5 {
			acquireInBackground(t, q, PrioritySteady, "small", 2000, order)
		}
		for range 10 {
			q.Release(PrioritySteady)
			synctest.Wait()
		}
		counts := make(map[string]int)
		for range 10 {
			counts[<-order]++
		}
		if diff := cmp.Diff(map[string]int{"large": 5, "small": 5}, counts); diff != "" {
			t.Errorf("admitted requests (-want +got):\n%s", diff)
		}
	})
}

func TestFairnessCountsTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueConfig{}, Capacity{Slots: 20})
		occupy(t, q, PrioritySteady, 17)
		order := make(chan string, 100)
		for range 20 {
			acquireInBackground(t, q, PrioritySteady, "long", 8*drrQuantum, order)
			acquireInBackground(t, q, PrioritySteady, "short", drrQuantum, order)
		}
		for range 18 {
			q.Release(PrioritySteady)
			synctest.Wait()
		}
		counts := make(map[string]int)
		for range 18 {
			counts[<-order]++
		}
		if diff := cmp.Diff(map[string]int{"long": 2, "short": 16}, counts); diff != "" {
			t.Errorf("admitted requests (-want +got):\n%s", diff)
		}
	})
}

func TestFullQueueRefusesTheLargestWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueConfig{MaxWaiting: 10}, Capacity{Slots: 1})
		occupy(t, q, PriorityBatch, 1)
		refused := make(chan error, 20)
		for range 11 {
			go func() { refused <- q.Acquire(t.Context(), PriorityBatch, "large", 1) }()
			synctest.Wait()
		}
		checkOverloaded(t, <-refused)
		order := make(chan string, 1)
		acquireInBackground(t, q, PriorityBatch, "small", 1, order)
		checkOverloaded(t, <-refused)
		if diff := cmp.Diff(10, q.Waiting(PriorityBatch)); diff != "" {
			t.Errorf("waiting (-want +got):\n%s", diff)
		}
		for range 10 {
			q.Release(PriorityBatch)
		}
		synctest.Wait()
		if diff := cmp.Diff("small", <-order); diff != "" {
			t.Errorf("small workspace (-want +got):\n%s", diff)
		}
	})
}

func checkOverloaded(t *testing.T, err error) {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindOverloaded || e.Ran != RanNo {
		t.Errorf("error is %v; want overloaded, not run", err)
	}
}

func TestQueuedRequestEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueConfig{}, Capacity{Slots: 1})
		occupy(t, q, PrioritySteady, 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := q.Acquire(ctx, PrioritySteady, "rack", 1)
		if diff := cmp.Diff(RanNo, RanOf(err)); diff != "" {
			t.Errorf("ran (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(0, q.Waiting(PrioritySteady)); diff != "" {
			t.Errorf("waiting (-want +got):\n%s", diff)
		}
	})
}

func TestRequestPastItsDeadlineIsRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(QueueConfig{}, Capacity{Slots: 1})
		for range 100 {
			occupy(t, q, PrioritySteady, 1)
			time.Sleep(time.Second)
			q.Release(PrioritySteady)
		}
		occupy(t, q, PrioritySteady, 1)
		order := make(chan string, 10)
		for i := range 5 {
			acquireInBackground(t, q, PrioritySteady, nutmegid.Workspace(fmt.Sprint(i)), 1, order)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		before := time.Now()
		checkOverloaded(t, q.Acquire(ctx, PrioritySteady, "late", 1))
		if waited := time.Since(before); waited != 0 {
			t.Errorf("the request was rejected after %v; want immediately", waited)
		}
		for range 6 {
			q.Release(PrioritySteady)
		}
		synctest.Wait()
	})
}

func BenchmarkQueue(b *testing.B) {
	q := NewQueue(QueueConfig{}, Capacity{Slots: 1000})
	b.ReportAllocs()
	for b.Loop() {
		if err := q.Acquire(b.Context(), PrioritySteady, "rack", 100); err != nil {
			b.Fatal(err)
		}
		q.Release(PrioritySteady)
	}
}
