package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	recoverPrepaid  = 6_000_000
	recoverPrompt   = 11_992 // tokens, as of the whole-building plans of the sheet
	recoverOutput   = 380
	fleetKills      = 8
	killEvery       = 5 * time.Second
	downTime        = 1500 * time.Millisecond
	recoveryTime    = 12 * time.Second // recoveryS
	recoverInterval = 500 * time.Millisecond
	lastWatch       = 10 * time.Second
)

func init() { cases["tokens-lost"] = playTokensLost }

// playTokensLost kills all instances at once, several times, and starts them again.
func playTokensLost(f *fleet) (int, error) {
	w := &worker{id: "i-engine-1", service: "drafter", answer: stream(5*time.Millisecond, func(*http.Request) int { return recoverOutput / tokensPerEvent })}
	if err := f.addWorker(w, 64); err != nil {
		return 0, err
	}
	f.configure(recoverPrepaid, []map[string]any{route("batch-plan", "/plan/", "streaming", "drafter", 15000)}, []map[string]any{engineService("drafter")})
	zones := []string{"ipoh", "shah-alam", "johor-bahru"}
	if err := f.startInstances(zones...); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var answers []answer
	stop := make(chan struct{})
	var running sync.WaitGroup
	for n, i := range f.instances {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(recoverInterval):
				}
				running.Go(func() {
					c := newConsumer(fmt.Sprintf("consumer %d", n+1), i.callers, key, f.record)
					defer c.close()
					a := c.send(request{method: "POST", path: "/plan/1", limitMs: 15000, tokens: fmt.Sprintf("%d,%d", recoverPrompt, recoverOutput), body: "plan"})
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, a)
				})
			}
		})
	}
	for n := range fleetKills {
		time.Sleep(killEvery - downTime)
		last := n == fleetKills-1
		if last {
			time.Sleep(killEvery) // a calm span before the final fault
		}
		if !f.trouble {
			time.Sleep(downTime)
			continue
		}
		for _, i := range f.instances {
			i.signal(syscall.SIGKILL)
		}
		f.record.add("all instances are killed")
		time.Sleep(downTime)
		for _, i := range f.instances {
			if err := i.restart(f.root); err != nil {
				return 0, err
			}
		}
	}
	backAt := time.Now()
	time.Sleep(recoveryTime + lastWatch)
	close(stop)
	running.Wait()
	share := func(from, to time.Time) (int, int) {
		served, asked := 0, 0
		for _, a := range answers {
			if a.sentAt.After(from) && a.sentAt.Before(to) {
				asked++
				if a.status == 200 && a.whole {
					served++
				}
			}
		}
		return served, asked
	}
	finalAt := backAt.Add(-downTime)
	before, askedBefore := share(f.record.start, finalAt)
	after, askedAfter := share(backAt.Add(recoveryTime), time.Now())
	delivered := 0
	for _, a := range answers {
		if a.status == 200 {
			delivered += recoverPrompt + tokensPerEvent*a.events()
		}
	}
	f.record.say("before the final fault %d of %d requests were served, from %v after it %d of %d; the tenant has got %d of %d prepaid tokens",
		before, askedBefore, recoveryTime, after, askedAfter, delivered, recoverPrepaid)
	if 4*before >= askedBefore && 4*after < askedAfter && delivered+recoverPrompt+recoverOutput < recoverPrepaid*97/100 {
		return 1, nil
	}
	return 0, nil
}
