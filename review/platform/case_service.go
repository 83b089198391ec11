package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	prepaidTokens  = 20_000
	promptTokens   = 100
	outputTokens   = 900
	eventsOfAll    = outputTokens / tokensPerEvent
	firstStreams   = 10
	maxLaterSends  = 60
	requestTokens  = promptTokens + outputTokens
	streamTokens   = "100,900"
	configSettleMs = 2500 // more than the bound of configurations
)

func init() { cases["service-dropped"] = playServiceDropped }

// playServiceDropped lets streams run while a configuration moves their route to
// another service and no longer lists the old one. It then spends what is left of
// the tenant's prepaid tokens.
func playServiceDropped(f *fleet) (int, error) {
	serve := stream(15*time.Millisecond, func(*http.Request) int { return eventsOfAll })
	for _, w := range []*worker{
		{id: "i-old-1", service: "drafter", answer: serve}, {id: "i-new-1", service: "drafter-b", answer: serve},
	} {
		if err := f.addWorker(w, 64); err != nil {
			return 0, err
		}
	}
	plan := func(service string) []map[string]any {
		return []map[string]any{route("batch-plan", "/plan/", "streaming", service, 15000)}
	}
	f.configure(prepaidTokens, plan("drafter"), []map[string]any{engineService("drafter")})
	if err := f.startInstances("ipoh"); err != nil {
		return 0, err
	}
	// What was delivered: prompt tokens of each request that ran, and tokens of the
	// events that its consumer got.
	var mu sync.Mutex
	spent := 0
	count := func(a answer) {
		mu.Lock()
		defer mu.Unlock()
		if a.status == 200 {
			spent += promptTokens + tokensPerEvent*a.events()
		}
	}
	send := func(name string) answer {
		c := newConsumer(name, f.instances[0].callers, key, f.record)
		defer c.close()
		a := c.send(request{method: "POST", path: "/plan/1", limitMs: 15000, tokens: streamTokens, body: "plan"})
		count(a)
		return a
	}
	var running sync.WaitGroup
	for range firstStreams {
		running.Go(func() { send("first consumer") })
	}
	time.Sleep(time.Second)
	if f.trouble {
		f.configure(prepaidTokens, plan("drafter-b"), []map[string]any{engineService("drafter-b")})
	}
	running.Wait()
	f.record.say("the first %d streams have delivered %d of %d prepaid tokens", firstStreams, spent, prepaidTokens)
	time.Sleep(configSettleMs * time.Millisecond)
	for n, refused := 0, 0; n < maxLaterSends && refused < 8; n++ {
		if a := send("later consumer"); a.status != 200 {
			refused++
			time.Sleep(500 * time.Millisecond)
		}
	}
	f.record.say("the tenant has got %d tokens; prepaid are %d", spent, prepaidTokens)
	if spent > prepaidTokens {
		return 1, nil
	}
	return 0, nil
}
