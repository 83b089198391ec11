package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is what a client sends.
type Request struct {
	ID      string
	Method  string
	Path    string
	Key     string
	Limit   time.Duration // that the client waits
	Headers string        // further lines
	Body    string
}

// Answer is what a client gets. A channel that ends before a whole answer is Broken.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Broken bool
	Err    error
	Took   time.Duration
}

// Host is the host of all routes.
const Host = "desk.example"

// Send sends one request on a channel of its own and waits for the answer.
func Send(address string, r Request) Answer {
	began := time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err, Took: time.Since(began)}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(r.Limit + time.Second))
	a := exchange(c, bufio.NewReader(c), r)
	a.Took = time.Since(began)
	return a
}

func exchange(c net.Conn, reader *bufio.Reader, r Request) Answer {
	lines := []string{
		fmt.Sprintf("%s %s HTTP/1.1", r.Method, r.Path), "Host: " + Host, HeaderID + ": " + r.ID,
		fmt.Sprintf("%s: %d", HeaderDeadline, r.Limit.Milliseconds()), "Authorization: Bearer " + r.Key,
	}
	if r.Method != http.MethodGet {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(r.Body)))
	}
	head := strings.Join(lines, "\r\n") + "\r\n" + r.Headers + "\r\n"
	if _, err := io.WriteString(c, head+r.Body); err != nil {
		return Answer{Broken: true, Err: err}
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Broken: true, Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Broken: err != nil, Err: err}
}
