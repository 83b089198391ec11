package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	graceS        = 8
	pauseMs       = 200 // between two events of a stream; up to 600 are on time
	lateConsumers = 8
	lateEvents    = 20 // of the streams that are asked for after the signal
)

func init() { cases["stop-cuts"] = playStopCuts }

// playStopCuts stops an instance with SIGTERM. Consumers with kept channels ask for
// short streams more than 3 s later.
func playStopCuts(f *fleet) (int, error) {
	w := &worker{id: "i-engine-1", service: "drafter", answer: stream(pauseMs*time.Millisecond, func(r *http.Request) int {
		_, output, _ := strings.Cut(r.Header.Get("X-Nutmegwind-Token-Counts"), ",")
		tokens, _ := strconv.Atoi(output)
		return tokens / tokensPerEvent
	})}
	if err := f.addWorker(w, 64); err != nil {
		return 0, err
	}
	f.configure(5_000_000, []map[string]any{route("sheet-list", "/sheet/", "streaming", "drafter", 15000)}, []map[string]any{engineService("drafter")})
	if err := f.startInstances("ipoh", "shah-alam"); err != nil {
		return 0, err
	}
	stopped := f.instances[0]
	ask := func(c *consumer, events int) answer {
		return c.send(request{method: "POST", path: "/sheet/1", limitMs: 15000, tokens: fmt.Sprintf("600,%d", events*tokensPerEvent), body: "sheet"})
	}
	// Each consumer opens its channel with a request and keeps it.
	var kept []*consumer
	var opening sync.WaitGroup
	for n := range lateConsumers {
		c := newConsumer(fmt.Sprintf("consumer %d", n+1), stopped.callers, key, f.record)
		kept = append(kept, c)
		opening.Go(func() { ask(c, 1) })
	}
	opening.Wait()
	// Longer streams run at the instance while it is stopped, as they do on any day.
	var running sync.WaitGroup
	for n := range 2 {
		running.Go(func() { ask(newConsumer(fmt.Sprintf("earlier consumer %d", n+1), stopped.callers, key, f.record), 37) })
	}
	time.Sleep(500 * time.Millisecond)
	signalled := time.Now()
	if f.trouble {
		stopped.signal(syscall.SIGTERM)
		f.record.say("SIGTERM to %s", stopped.name)
		go func() { // as the platform does
			time.Sleep(graceS * time.Second)
			stopped.signal(syscall.SIGKILL)
		}()
	}
	time.Sleep(time.Until(signalled.Add(3500 * time.Millisecond)))
	var mu sync.Mutex
	broken := 0
	for n, c := range kept {
		time.Sleep(100 * time.Millisecond)
		running.Go(func() {
			sent := time.Since(signalled)
			a := ask(c, lateEvents)
			// Whole answers and refusals before the request ran are as they should be, and
			// a channel that is closed without its request having been passed on.
			if a.whole || w.runs(a.id) == 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			broken++
			f.record.say("consumer %d: sent %.2f s after the signal on a kept channel (%v), passed on to the worker, cut %.2f s after the signal with %d of %d events",
				n+1, sent.Seconds(), a.reused, a.endedAt.Sub(signalled).Seconds(), a.events(), lateEvents)
		})
	}
	running.Wait()
	return broken, nil
}
