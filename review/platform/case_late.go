package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	planners      = 7 // one of them turns slow: a share of 0.143
	lateConsumed  = 49
	soundPlanTime = 12 * time.Second
	slowFactor    = 4
	planLimitMs   = 60_000 // the time limit of consumers and of the route
)

func init() { cases["late-answer"] = playLateAnswer }

// playLateAnswer lets one worker turn slow, so that it answers late, but within the
// time limits of the consumer and of the route.
func playLateAnswer(f *fleet) (int, error) {
	var workers []*worker
	for n := range planners {
		work := soundPlanTime
		if f.trouble && n == 0 {
			work *= slowFactor
		}
		workers = append(workers, &worker{id: fmt.Sprintf("i-planner-%d", n+1), service: "planner", answer: answerAfter(work)})
	}
	workers = append(workers, &worker{id: "i-desk-1", service: "order-desk", answer: answerAfter(15 * time.Millisecond)})
	for _, w := range workers {
		if err := f.addWorker(w, 64); err != nil {
			return 0, err
		}
	}
	f.configure(0,
		[]map[string]any{
			route("whole-plan", "/plan/", "non_idempotent", "planner", planLimitMs),
			route("stock-look", "/stock/", "idempotent", "order-desk", 1000),
		},
		[]map[string]any{plainService("planner"), plainService("order-desk")})
	if err := f.startInstances("ipoh"); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	cut := 0
	var running sync.WaitGroup
	for n := range lateConsumed {
		running.Go(func() {
			c := newConsumer(fmt.Sprintf("consumer %d", n+1), f.instances[0].callers, key, f.record)
			defer c.close()
			c.send(request{method: "GET", path: "/stock/1", limitMs: 1000}) // opens the channel, which it keeps
			a := c.send(request{method: "POST", path: "/plan/1", limitMs: planLimitMs, body: "one longhouse"})
			if a.status != 0 || !a.reused || workers[0].runs(a.id) == 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			cut++
			f.record.say("consumer %d: %s ran, and its kept channel ended after %.1f s without an answer", n+1, a.id, a.endedAt.Sub(a.sentAt).Seconds())
		})
	}
	running.Wait()
	if cut <= 3 { // the rule allows three
		return 0, nil
	}
	return cut, nil
}
