// Command case-mixed shows that a failure of a server reaches the client as a success
// after the beginning of a second copy of an earlier answer has come in front of it.
package main

import (
	"errors"
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
	service  = "order-desk"
	duration = 12 * time.Second

	clients   = 6
	pause     = 40 * time.Millisecond
	timeLimit = 600 * time.Millisecond
	work      = 15 * time.Millisecond
	failures  = 0.14 // share of the lookups that the servers fail with a 500, as the site file has it

	faultyName  = "i-1" // one of three
	troubleFrom = 3 * time.Second
	troubleFor  = 6 * time.Second
	dose        = 0.03 // of the faulty server's answers
)

// desk is the behaviour of the servers.
type desk struct {
	c       *platform.Case
	began   time.Time
	answers atomic.Int64 // of the faulty server, in the time of trouble
	spoiled atomic.Int64 // of these
	failed  sync.Map     // ids that a server has failed
	booked  sync.Map     // ids that a server has answered with success
}

func (d *desk) handle(s *platform.Server, r *platform.Run) int {
	s.Began(r.ID)
	fail := rand.Float64() < failures
	if since := time.Since(d.began); s.Name == faultyName && since >= troubleFrom && since < troubleFrom+troubleFor {
		d.answers.Add(1)
		if d.c.Trouble && fail && len(r.Before) > 0 && float64(d.spoiled.Load()+1) <= dose*float64(d.answers.Load()) {
			d.spoiled.Add(1)
			d.c.Log("%s sends the beginning of a second copy of its earlier answer before it answers %s", s.Name, r.ID)
			if _, err := io.WriteString(r.Conn, "HTTP/1.1 200 OK"); err != nil {
				return -1
			}
		}
	}
	time.Sleep(work)
	if fail {
		d.failed.Store(r.ID, true)
		d.c.Log("%s answers %s with a failure of its own, 500", s.Name, r.ID)
		return r.Answer(http.StatusInternalServerError, fmt.Sprintf("%s: %s.500\r\n", platform.HeaderSignature, r.ID), "no stock is known")
	}
	d.c.Log("%s answers %s with 200", s.Name, r.ID)
	d.booked.Store(r.ID, true)
	return r.Succeed("stock 12")
}

func main() {
	c := platform.Open()
	d := &desk{c: c, began: time.Now()}
	c.Configure(1, nil, []string{service}, []platform.Route{
		{Name: "stock-look", Prefix: "/stock/", Service: service, Kind: "idempotent", TimeoutMs: 600, Attempts: 2},
	})
	for n, zone := range []string{"shah-alam", "ipoh", "johor-bahru"} {
		c.Serve(&platform.Server{Name: fmt.Sprintf("i-%d", n+1), Service: service, Zone: zone, Slots: 6, Handle: d.handle})
	}
	instance := c.Start(platform.Machine{Name: "frontend-shah-alam-1", Zone: "shah-alam", MemoryMB: 134})
	d.began = time.Now()
	served, reasons := d.send(instance, time.Now().Add(duration))
	c.Log("summary: %d lookups with success, %d of %d answers of %s in %s of trouble had the beginning of another one in front, %d failures were passed on as success", served, d.spoiled.Load(), d.answers.Load(), faultyName, troubleFor, len(reasons))
	if served == 0 {
		c.Give(errors.New("no lookup was served"))
	}
	c.End(reasons)
}

// send sends lookups until the end. It returns how many were answered with success, and
// how the rule MIXED was broken.
func (d *desk) send(instance *platform.Instance, end time.Time) (served int, reasons []string) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			for time.Now().Before(end) {
				id := fmt.Sprintf("%016x", rand.Uint64())
				a := platform.Send(instance.Callers, platform.Request{ID: id, Method: http.MethodGet, Path: "/stock/2f", Key: platform.Key, Limit: timeLimit})
				d.c.Log("client of %s got status %d %q, broken %v", id, a.Status, a.Body, a.Broken)
				mu.Lock()
				if a.Status == http.StatusOK {
					served++
				}
				_, failed := d.failed.Load(id)
				if _, succeeded := d.booked.Load(id); failed && !succeeded && a.Status == http.StatusOK {
					reasons = append(reasons, fmt.Sprintf("MIXED: lookup %s was answered with 200 %q, its server had failed it with 500", id, a.Body))
				}
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	all.Wait()
	return served, reasons
}
