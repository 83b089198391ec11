// Command case-entry shows that an entry of another writer, with fields missing, sends
// orders to a server of a service that no configuration allows for them.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"review2/platform"
)

const (
	desks    = "order-desk"
	stocks   = "stock-desk"
	duration = 20 * time.Second

	orderClients = 8
	orderPause   = 50 * time.Millisecond
	timeLimit    = 600 * time.Millisecond
	work         = 15 * time.Millisecond

	forgeries   = 3
	forgeryAt   = 4 * time.Second // the first; the others follow after the same time
	ordersPath  = "/orders/2f"
	stockPrefix = "/stock/"
)

func main() {
	c := platform.Open()
	c.Configure(1, nil, []string{desks, stocks}, []platform.Route{
		{Name: "order-confirm", Prefix: "/orders/", Service: desks, Kind: "non_idempotent", TimeoutMs: 600, Attempts: 1},
		{Name: "stock-look", Prefix: stockPrefix, Service: stocks, Kind: "idempotent", TimeoutMs: 600, Attempts: 2},
	})
	w := &watch{c: c}
	var servers []*platform.Server
	for n, zone := range []string{"shah-alam", "ipoh", "johor-bahru", "shah-alam", "ipoh", "johor-bahru"} {
		service := desks
		if n >= 3 {
			service = stocks
		}
		servers = append(servers, c.Serve(&platform.Server{Name: fmt.Sprintf("i-%d", n+1), Service: service, Zone: zone, Slots: 6, Handle: w.handle}))
	}
	instance := c.Start(platform.Machine{Name: "frontend-shah-alam-1", Zone: "shah-alam", MemoryMB: 134})
	if c.Trouble {
		go forge(c, servers[3])
	}
	served := w.send(instance, time.Now().Add(duration))
	c.Log("summary: %d orders served, %d ran at a server of another service", served, len(w.foreign))
	if served == 0 {
		c.Give(errors.New("no order was served"))
	}
	c.End(w.foreign)
}

// forge writes, in place of a server of another service, an entry that lacks some fields.
// The server's own next entry replaces it.
func forge(c *platform.Case, s *platform.Server) {
	for range forgeries {
		time.Sleep(forgeryAt)
		c.Log("another writer puts an entry in place of that of %s: service %s, without zone, version, coldRemainingMs and seq", s.Name, desks)
		c.Store.Put("servers", s.Name, map[string]any{"service": desks, "address": s.Address, "slots": 6, "state": "ready"})
	}
}

// watch records the orders that run at servers of the other service.
type watch struct {
	c *platform.Case

	mu      sync.Mutex
	foreign []string
}

func (w *watch) handle(s *platform.Server, r *platform.Run) int {
	s.Began(r.ID)
	w.c.Log("%s of %s runs %s %s", s.Name, s.Service, r.ID, r.Request.URL.Path)
	if strings.HasPrefix(r.Request.URL.Path, stockPrefix) != (s.Service == stocks) {
		w.mu.Lock()
		w.foreign = append(w.foreign, fmt.Sprintf("ROUTE: %s of service %s has run %s %s", s.Name, s.Service, r.ID, r.Request.URL.Path))
		w.mu.Unlock()
	}
	time.Sleep(work)
	return r.Succeed("done " + r.ID)
}

// send sends orders until the end and returns how many were served.
func (w *watch) send(instance *platform.Instance, end time.Time) int {
	served := 0
	var mu sync.Mutex
	var all sync.WaitGroup
	for range orderClients {
		all.Go(func() {
			for time.Now().Before(end) {
				id := fmt.Sprintf("%016x", rand.Uint64())
				a := platform.Send(instance.Callers, platform.Request{ID: id, Method: http.MethodPost, Path: ordersPath, Key: platform.Key, Limit: timeLimit, Body: "pane"})
				w.c.Log("client of %s got status %d, broken %v", id, a.Status, a.Broken)
				mu.Lock()
				if a.Status == http.StatusOK {
					served++
				}
				mu.Unlock()
				time.Sleep(orderPause)
			}
		})
	}
	all.Wait()
	return served
}
