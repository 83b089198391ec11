package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	stability     = 3 * time.Second // stabilityWindowMs
	configBound   = 2 * time.Second // configurationMs
	warmUp        = 6 * time.Second
	quietTime     = 10 * time.Second
	changeAfter   = 500 * time.Millisecond // from the silence to the change of the configuration
	watchTime     = 12 * time.Second
	orderInterval = 50 * time.Millisecond
	tenants       = 10
)

func init() { cases["silent-channels"] = playSilentChannels }

// playSilentChannels lets the open channels to the store go silent. Then the operator
// moves a route to another service.
func playSilentChannels(f *fleet) (int, error) {
	workers := []*worker{
		{id: "i-desk-old", service: "desk-old", answer: answerAfter(5 * time.Millisecond)},
		{id: "i-desk-new", service: "desk-new", answer: answerAfter(5 * time.Millisecond)},
		{id: "i-engine-1", service: "drafter", answer: stream(20*time.Millisecond, func(r *http.Request) int { return 10 })},
	}
	for _, w := range workers {
		if err := f.addWorker(w, 64); err != nil {
			return 0, err
		}
	}
	f.tenants = tenants
	routes := func(desk string) []map[string]any {
		return []map[string]any{
			route("order-confirm", "/order/", "non_idempotent", desk, 600),
			route("sheet-list", "/sheet/", "streaming", "drafter", 15000),
		}
	}
	services := []map[string]any{plainService("desk-old"), plainService("desk-new"), engineService("drafter")}
	f.configure(5_000_000, routes("desk-old"), services)
	var proxies []*proxy
	f.storeFor = func() (string, error) {
		p, err := newProxy(f.store.address())
		if err != nil {
			return "", err
		}
		proxies = append(proxies, p)
		return p.address(), nil
	}
	if err := f.startInstances("ipoh", "shah-alam"); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for t := range tenants { // ordinary traffic
		running.Go(func() {
			c := newConsumer(fmt.Sprintf("tenant %d", t+1), f.instances[t%2].callers, tenantKey(t), f.record)
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
					c.send(request{method: "POST", path: "/sheet/1", limitMs: 15000, tokens: "600,50", body: "sheet"})
				}
			}
		})
	}
	time.Sleep(warmUp)
	close(stop) // a quiet hour follows
	time.Sleep(quietTime)
	silentAt := time.Now()
	if f.trouble {
		for n, p := range proxies {
			f.record.say("the open channels from %s to the store go silent: %d of them", f.instances[n].name, p.silence())
		}
	}
	time.Sleep(changeAfter)
	f.configure(5_000_000, routes("desk-new"), services)
	from := time.Now().Add(configBound)
	if after := silentAt.Add(stability); f.trouble && after.After(from) {
		from = after
	}
	time.Sleep(time.Until(from))
	var mu sync.Mutex
	broken := 0
	var last time.Duration
	for n, i := range f.instances {
		running.Go(func() {
			c := newConsumer(fmt.Sprintf("consumer %d", n+1), i.callers, key, f.record)
			defer c.close()
			for time.Since(from) < watchTime {
				time.Sleep(orderInterval)
				a := c.send(request{method: "POST", path: "/order/1", limitMs: 600, body: "one pane"})
				mu.Lock()
				if workers[0].runs(a.id) > 0 {
					broken++
					last = a.sentAt.Sub(silentAt)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Until(from.Add(watchTime)))
	running.Wait()
	if broken > 0 {
		f.record.say("%d orders ran at the old service, the last sent %.2f s after the silence and %.2f s after the ack", broken, last.Seconds(), (last - changeAfter).Seconds())
	}
	return broken, nil
}
