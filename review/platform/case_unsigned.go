package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	unsignedRounds    = 40
	unsignedConsumers = 16
	spoiledEach       = 50 // one in so many answers of the faulty worker is spoiled: a share of 0.02
	deskKeepAliveS    = 1  // how long the worker keeps an idle channel
)

func init() { cases["unsigned-success"] = playUnsignedSuccess }

// playUnsignedSuccess lets one of two workers spoil a few of its answers: it sends bytes that
// are no answer of the protocol, as they name no request and have no signature.
func playUnsignedSuccess(f *fleet) (int, error) {
	var answers, spoiled atomic.Int64
	var channels sync.Map // that have had an answer
	answer := func(w *worker, c net.Conn, r *http.Request) bool {
		if w.id != "i-desk-1" {
			return answerAfter(15*time.Millisecond)(w, c, r)
		}
		_, used := channels.LoadOrStore(c, true)
		n := answers.Add(1)
		if f.trouble && !used && spoiled.Load() < n/spoiledEach {
			spoiled.Add(1)
			w.record("worker %s answers %s with bytes that are no answer", w.id, requestID(r))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ngarbled")
			return false
		}
		time.Sleep(15 * time.Millisecond)
		body := "booked " + requestID(r)
		_, err := io.WriteString(c, w.head(r, fmt.Sprintf("Keep-Alive: timeout=%d", deskKeepAliveS), fmt.Sprintf("Content-Length: %d", len(body)))+body)
		return err == nil
	}
	for _, id := range []string{"i-desk-1", "i-desk-2"} {
		if err := f.addWorker(&worker{id: id, service: "order-desk", answer: answer}, 6); err != nil {
			return 0, err
		}
	}
	f.configure(0, []map[string]any{route("order-confirm", "/order/", "non_idempotent", "order-desk", 1000)}, []map[string]any{plainService("order-desk")})
	if err := f.startInstances("ipoh"); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	broken := 0
	for range unsignedRounds {
		var running sync.WaitGroup
		for n := range unsignedConsumers {
			running.Go(func() {
				c := newConsumer(fmt.Sprintf("consumer %d", n+1), f.instances[0].callers, key, f.record)
				defer c.close()
				a := c.send(request{method: "POST", path: "/order/1", limitMs: 1000, body: "one pane"})
				if a.status < 200 || a.status >= 300 || a.header.Get("X-Nutmegwind-Response-Signature") != "" {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				broken++
				f.record.say("%s got status %d without a signature, and the body %q", a.id, a.status, a.body)
			})
		}
		running.Wait()
		time.Sleep(time.Second)
	}
	f.record.say("%d answers of the faulty worker, %d of them spoiled", answers.Load(), spoiled.Load())
	return broken, nil
}
