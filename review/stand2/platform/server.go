package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the users' protocol.
const (
	HeaderID          = "X-Nutmegwind-Attempt-Id"
	HeaderSignature   = "X-Nutmegwind-Response-Signature"
	HeaderNotExecuted = "X-Nutmegwind-Not-Executed"
	HeaderExpected    = "X-Nutmegwind-Expected-Instance"
	HeaderDeadline    = "X-Nutmegwind-Deadline-Milliseconds"
	HeaderModel       = "X-Nutmegwind-Model"
	HeaderTokens      = "X-Nutmegwind-Token-Counts"
	HeaderPrefix      = "X-Nutmegwind-Prompt-Prefix"
)

// Run is what a server gets to know of one request.
type Run struct {
	ID      string
	Request *http.Request
	Body    []byte
	Conn    net.Conn
	// Before is what the channel has carried so far: the statuses of the answers.
	Before []int
}

// Server is a server of the users. Handle answers one request and returns the status;
// a status below zero means that the channel is to be closed.
type Server struct {
	Name    string
	Service string
	Zone    string
	Slots   int
	Handle  func(s *Server, r *Run) int

	Address string
	born    int64
	running atomic.Int64
	mu      sync.Mutex
	ran     map[string]int
}

// Listen starts the server on a free loopback port.
func (s *Server) Listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.Address = l.Addr().String()
	s.born = time.Now().UnixMilli()
	s.ran = make(map[string]int)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return nil
}

// Entry is what the server writes about itself to the store.
func (s *Server) Entry(seq int) map[string]any {
	return map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": s.Slots, "state": "ready",
		"coldRemainingMs": 0, "seq": seq, "born": s.born,
	}
}

// Beat writes the entry to the store again and again.
func (s *Server) Beat(store *Store, interval time.Duration) {
	for seq := 1; ; seq++ {
		store.Put("servers", s.Name, s.Entry(seq))
		time.Sleep(interval)
	}
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var before []int
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		run := &Run{ID: req.Header.Get(HeaderID), Request: req, Body: body, Conn: c, Before: before}
		status := 0
		if expected := req.Header.Get(HeaderExpected); expected != "" && expected != s.Name {
			status = run.Answer(http.StatusMisdirectedRequest, fmt.Sprintf("X-Nutmegwind-Instance: %s\r\n%s: 1\r\n", s.Name, HeaderNotExecuted), "")
		} else {
			s.running.Add(1)
			status = s.Handle(s, run)
			s.running.Add(-1)
		}
		if status < 0 {
			return
		}
		before = append(before, status)
	}
}

// Running is the number of requests that the server has accepted and not answered,
// the one that asks among them.
func (s *Server) Running() int {
	return int(s.running.Load())
}

// Began records that the server has begun to work on a request.
func (s *Server) Began(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id]++
}

// Ran returns how often the server has run each request.
func (s *Server) Ran() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	ran := make(map[string]int, len(s.ran))
	for id, n := range s.ran {
		ran[id] = n
	}
	return ran
}

// Answer sends a whole answer with the request's id and returns the status.
func (r *Run) Answer(status int, headers, body string) int {
	_, err := fmt.Fprintf(r.Conn, "HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), HeaderID, r.ID, headers, len(body), body)
	if err != nil {
		return -1
	}
	return status
}

// Succeed sends a signed success.
func (r *Run) Succeed(body string) int {
	return r.Answer(http.StatusOK, Signature(r.ID), body)
}

// Signature returns the header line that signs an answer.
func Signature(id string) string {
	return fmt.Sprintf("%s: %s.200\r\n", HeaderSignature, id)
}

// Shed says that the server has not run the request.
func (r *Run) Shed() int {
	return r.Answer(http.StatusServiceUnavailable, HeaderNotExecuted+": 1\r\n", "")
}

// Stream sends a signed stream of events with a pause between them.
func (r *Run) Stream(events int, pause time.Duration) int {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", HeaderID, r.ID, Signature(r.ID))
	if _, err := io.WriteString(r.Conn, head); err != nil {
		return -1
	}
	for n := 1; n <= events; n++ {
		time.Sleep(pause)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("t", 40))
		if _, err := fmt.Fprintf(r.Conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return -1
		}
	}
	if _, err := io.WriteString(r.Conn, "0\r\n\r\n"); err != nil {
		return -1
	}
	return http.StatusOK
}
