package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker. It checks the instance that a request expects,
// echoes the id of the request and signs its answers.
type worker struct {
	id      string
	service string
	address string
	born    int64
	record  func(format string, args ...any)
	// answer writes the answer to a request and reports whether the channel stays open.
	answer func(w *worker, c net.Conn, r *http.Request) bool

	mu  sync.Mutex
	ran map[string]int // runs by request id
}

func (w *worker) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	w.ran = make(map[string]int)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return nil
}

// serve serves the requests of one channel in turn.
func (w *worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if expected := r.Header.Get("X-Nutmegwind-Expected-Instance"); expected != "" && expected != w.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Nutmegwind-Instance: %s\r\nX-Nutmegwind-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id, requestID(r))
			continue
		}
		w.mu.Lock()
		w.ran[requestID(r)]++
		w.mu.Unlock()
		w.record("worker %s runs %s", w.id, requestID(r))
		if !w.answer(w, c, r) {
			return
		}
	}
}

func (w *worker) runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran[id]
}

func requestID(r *http.Request) string { return r.Header.Get("X-Nutmegwind-Attempt-Id") }

// signature is the MAC of a worker's answer; its form is not checked here.
func (w *worker) signature(r *http.Request) string { return "3e1b." + w.id + "." + requestID(r) }

// head returns the head of a success.
func (w *worker) head(r *http.Request, fields ...string) string {
	fields = append([]string{"HTTP/1.1 200 OK", "X-Nutmegwind-Attempt-Id: " + requestID(r), "X-Nutmegwind-Response-Signature: " + w.signature(r)}, fields...)
	return strings.Join(fields, "\r\n") + "\r\n\r\n"
}

// answerAfter answers with a body of a stated length after a time.
func answerAfter(d time.Duration) func(*worker, net.Conn, *http.Request) bool {
	return func(w *worker, c net.Conn, r *http.Request) bool {
		time.Sleep(d)
		body := "booked " + requestID(r)
		_, err := io.WriteString(c, w.head(r, fmt.Sprintf("Content-Length: %d", len(body)))+body)
		w.record("worker %s has answered %s", w.id, requestID(r))
		return err == nil
	}
}

// event returns one event of a stream.
func event(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 40))
}

// stream answers with events in chunks, one after each pause. The request says how
// many.
func stream(pause time.Duration, events func(r *http.Request) int) func(*worker, net.Conn, *http.Request) bool {
	return func(w *worker, c net.Conn, r *http.Request) bool {
		if _, err := io.WriteString(c, w.head(r, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")); err != nil {
			return false
		}
		total := events(r)
		for n := range total {
			time.Sleep(pause)
			text := event(n + 1)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
				w.record("worker %s drops %s after %d of %d events: its channel is closed", w.id, requestID(r), n, total)
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		w.record("worker %s has ended the stream of %s with %d events", w.id, requestID(r), total)
		return err == nil
	}
}

// entry is what a worker writes of itself into the store.
func (w *worker) entry(state string, slots, seq int) map[string]any {
	return map[string]any{
		"service": w.service, "address": w.address, "zone": "ipoh", "version": "1", "slots": slots, "state": state,
		"coldRemainingMs": 0, "seq": seq, "born": w.born,
	}
}

// register writes the worker's entry into the store every heartbeat until stop is
// closed. The state is asked for at each.
func (w *worker) register(s *store, slots int, state func() string, stop <-chan struct{}) {
	w.born = time.Now().UnixMilli()
	seq := 1
	s.put("servers", w.id, w.entry(state(), slots, seq))
	go func() {
		ticker := time.NewTicker(1200 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				seq++
				s.put("servers", w.id, w.entry(state(), slots, seq))
			}
		}
	}()
}
