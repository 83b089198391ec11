package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

// consumer sends requests on one channel, which it keeps.
type consumer struct {
	name      string
	address   string
	key       string
	record    *record
	transport *http.Transport
}

func newConsumer(name, address, key string, rec *record) *consumer {
	return &consumer{name: name, address: address, key: key, record: rec, transport: &http.Transport{
		MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true,
	}}
}

func (c *consumer) close() { c.transport.CloseIdleConnections() }

// request is what a consumer sends.
type request struct {
	method  string
	path    string
	limitMs int    // the time limit
	tokens  string // prompt and output tokens; empty for plain requests
	body    string
}

// answer is what a consumer got.
type answer struct {
	id        string
	status    int // 0 if no head of an answer arrived
	header    http.Header
	body      string
	whole     bool // the answer ended as HTTP/1.1 says that it ends
	reused    bool // it was sent on a kept channel
	sentAt    time.Time
	endedAt   time.Time
	transport error
}

func (a answer) events() int { return strings.Count(a.body, "\n\n") }

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("%s: no answer, the channel ended: %v", a.id, a.transport)
	}
	return fmt.Sprintf("%s: status %d, signature %q, %d bytes, %d events, whole %v", a.id, a.status, a.header.Get("X-Nutmegwind-Response-Signature"), len(a.body), a.events(), a.whole)
}

var sequence atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", uint64(time.Now().UnixMilli())<<20+sequence.Add(1)) }

// send sends one request and reads its answer to the end.
func (c *consumer) send(r request) answer {
	a := answer{id: newID(), sentAt: time.Now()}
	// The consumer waits a little longer than its time limit, so that it sees how the
	// channel ends.
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.limitMs)*time.Millisecond+time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.reused = i.Reused }})
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.address+r.path, strings.NewReader(r.body))
	if err != nil {
		a.transport = err
		return a
	}
	req.GetBody = nil // so that the transport sends nothing twice
	req.Host = host
	req.Header.Set("X-Nutmegwind-Attempt-Id", a.id)
	req.Header.Set("X-Nutmegwind-Deadline-Milliseconds", fmt.Sprint(r.limitMs))
	req.Header.Set("Authorization", "Bearer "+c.key)
	if r.tokens != "" {
		prompt, _, _ := strings.Cut(r.tokens, ",")
		req.Header.Set("X-Nutmegwind-Model", "m")
		req.Header.Set("X-Nutmegwind-Token-Counts", r.tokens)
		req.Header.Set("X-Nutmegwind-Prompt-Prefix", a.id[8:]+":"+prompt)
	}
	c.record.add("%s sends %s: %s %s, time limit %d ms, tokens %s", c.name, a.id, r.method, r.path, r.limitMs, r.tokens)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		a.transport, a.endedAt = err, time.Now()
		c.record.add("%s got %v", c.name, a)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.body, a.whole, a.transport, a.endedAt = string(body), err == nil, err, time.Now()
	c.record.add("%s got %v", c.name, a)
	return a
}
