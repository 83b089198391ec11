// Command case-twice shows that an order runs twice after a cut-off second copy of an
// earlier refusal has come in front of its answer.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"review2/platform"
)

const (
	service    = "order-desk"
	slots      = 6
	queue      = 2 // requests that wait beyond the slots
	work       = 15 * time.Millisecond
	bursts     = 48
	burstSize  = 27
	burstPause = 250 * time.Millisecond
	timeLimit  = 600 * time.Millisecond

	troubleFrom = 3 * time.Second // after the first request
	troubleFor  = 6 * time.Second
	dose        = 0.03 // of the faulty server's answers
)

// desk is the behaviour of the order desks.
type desk struct {
	c       *platform.Case
	faulty  string // name of the server that sends additional bytes, one of three
	began   time.Time
	answers atomic.Int64             // of the faulty server, in the time of trouble
	spoiled atomic.Int64             // of these
	places  map[string]chan struct{} // slots of each server
}

// inTrouble reports whether the faulty server sends additional bytes now.
func (d *desk) inTrouble(s *platform.Server) bool {
	since := time.Since(d.began)
	return s.Name == d.faulty && since >= troubleFrom && since < troubleFrom+troubleFor
}

func (d *desk) handle(s *platform.Server, r *platform.Run) int {
	if d.inTrouble(s) {
		d.answers.Add(1)
	}
	if s.Running() > slots+queue {
		return d.shed(s, r)
	}
	if d.inTrouble(s) && d.maySpoil(r) {
		// A second copy of the refusal before, late and cut off.
		d.c.Log("%s sends a cut-off second copy of its earlier refusal before it answers %s", s.Name, r.ID)
		if _, err := io.WriteString(r.Conn, "HTTP/1.1 503 Service Unavailable\r\n"+platform.HeaderNotExecuted+": 1"); err != nil {
			return -1
		}
	}
	d.places[s.Name] <- struct{}{}
	s.Began(r.ID)
	d.c.Log("%s runs %s", s.Name, r.ID)
	time.Sleep(work)
	<-d.places[s.Name]
	return r.Succeed("booked " + r.ID)
}

// shed refuses a request that the server does not run.
func (d *desk) shed(s *platform.Server, r *platform.Run) int {
	d.c.Log("%s sheds %s", s.Name, r.ID)
	_, err := fmt.Fprintf(r.Conn, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", platform.HeaderNotExecuted, platform.HeaderID, r.ID)
	if err != nil {
		return -1
	}
	return http.StatusServiceUnavailable
}

// maySpoil decides whether additional bytes follow the answer before, a refusal. They
// stay within the dose.
func (d *desk) maySpoil(r *platform.Run) bool {
	n := len(r.Before)
	if !d.c.Trouble || n == 0 || r.Before[n-1] != http.StatusServiceUnavailable {
		return false
	}
	if float64(d.spoiled.Load()+1) > dose*float64(d.answers.Load()) {
		return false
	}
	d.spoiled.Add(1)
	return true
}

func main() {
	c := platform.Open()
	d := &desk{c: c, faulty: "i-1", began: time.Now(), places: make(map[string]chan struct{})}
	c.Configure(1, nil, []string{service}, []platform.Route{
		{Name: "order-confirm", Prefix: "/orders/", Service: service, Kind: "non_idempotent", TimeoutMs: 600, Attempts: 2},
	})
	var servers []*platform.Server
	for n, zone := range []string{"shah-alam", "ipoh", "johor-bahru"} {
		s := &platform.Server{Name: fmt.Sprintf("i-%d", n+1), Service: service, Zone: zone, Slots: slots, Handle: d.handle}
		d.places[s.Name] = make(chan struct{}, slots)
		servers = append(servers, c.Serve(s))
	}
	instance := c.Start(platform.Machine{Name: "frontend-shah-alam-1", Zone: "shah-alam", MemoryMB: 134})
	d.began = time.Now()
	answered := send(c, instance)
	c.Log("summary: in %s of trouble, %d of %d answers of %s had additional bytes in front", troubleFor, d.spoiled.Load(), d.answers.Load(), d.faulty)
	c.End(check(c, servers, answered))
}

// send sends the clients' orders and returns the status of each; zero if there was none.
func send(c *platform.Case, instance *platform.Instance) map[string]int {
	answered := make(map[string]int)
	var mu sync.Mutex
	var all sync.WaitGroup
	for burst := range bursts {
		for n := range burstSize {
			id := fmt.Sprintf("%08x%04x%04x", rand.Uint32(), burst, n)
			all.Go(func() {
				a := platform.Send(instance.Callers, platform.Request{ID: id, Method: http.MethodPost, Path: "/orders/2f", Key: platform.Key, Limit: timeLimit, Body: "pane"})
				c.Log("client of %s got status %d, broken %v", id, a.Status, a.Broken)
				mu.Lock()
				defer mu.Unlock()
				answered[id] = a.Status
			})
		}
		time.Sleep(burstPause)
	}
	all.Wait()
	return answered
}

// check returns how the rules TWICE and REFUSED were broken.
func check(c *platform.Case, servers []*platform.Server, answered map[string]int) []string {
	total := make(map[string]int)
	for _, s := range servers {
		for id, n := range s.Ran() {
			total[id] += n
		}
	}
	var reasons []string
	ok := 0
	for id, status := range answered {
		if status == http.StatusOK {
			ok++
		}
		if total[id] > 1 {
			reasons = append(reasons, fmt.Sprintf("TWICE: order %s ran %d times", id, total[id]))
		}
		if status == http.StatusServiceUnavailable && total[id] > 0 {
			reasons = append(reasons, fmt.Sprintf("REFUSED: order %s was answered 503 and has run", id))
		}
	}
	c.Log("summary: %d orders, %d answered with success, %d ran", len(answered), ok, len(total))
	if ok == 0 {
		c.Give(fmt.Errorf("no order was served"))
	}
	return reasons
}
