// Command case-prefix shows that requests of legal size with long prompt prefixes take an
// entry instance over the memory of its machine, one after another.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review2/platform"
)

const (
	engines  = "drafter"
	desks    = "order-desk"
	memoryMB = 134
	duration = 75 * time.Second

	clients     = 20 // that send the odd requests, each one at a time
	clientPause = 60 * time.Millisecond
	prefixBytes = 15 << 10 // of the one long header line; a head may have 16,384 bytes
	streamLimit = 3 * time.Second
	stockLimit  = 600 * time.Millisecond
	stockPause  = 100 * time.Millisecond
)

type counts struct {
	sent, served atomic.Int64
}

func main() {
	c := platform.Open()
	c.Configure(1, []string{engines}, []string{desks}, []platform.Route{
		{Name: "edge-check", Prefix: "/checks/", Service: engines, Kind: "streaming", TimeoutMs: 3000, Attempts: 1},
		{Name: "stock-look", Prefix: "/stock/", Service: desks, Kind: "idempotent", TimeoutMs: 600, Attempts: 2},
	})
	zones := []string{"shah-alam", "ipoh", "johor-bahru"}
	for n := range 6 {
		c.Serve(&platform.Server{Name: fmt.Sprintf("i-%d", n+1), Service: engines, Zone: zones[n%3], Slots: 64, Handle: func(s *platform.Server, r *platform.Run) int {
			s.Began(r.ID)
			return r.Stream(2, 5*time.Millisecond)
		}})
	}
	for n := range 3 {
		c.Serve(&platform.Server{Name: fmt.Sprintf("i-%d", n+7), Service: desks, Zone: zones[n], Slots: 6, Handle: func(s *platform.Server, r *platform.Run) int {
			s.Began(r.ID)
			time.Sleep(15 * time.Millisecond)
			return r.Succeed("stock")
		}})
	}
	instance := c.Start(platform.Machine{Name: "frontend-shah-alam-1", Zone: "shah-alam", MemoryMB: memoryMB})
	end := time.Now().Add(duration)
	var odd counts
	var all sync.WaitGroup
	for range clients {
		all.Go(func() { sendOdd(c, instance, end, &odd) })
	}
	served, broken := askStock(c, instance, end)
	all.Wait()
	c.Log("summary: %d odd requests, %d served; %d stock lookups served, %d without an answer; peak %d kB of %d kB",
		odd.sent.Load(), odd.served.Load(), served, broken, instance.PeakKB(), memoryMB<<10)
	if served == 0 || odd.served.Load() == 0 {
		c.Give(errors.New("nothing was served"))
	}
	var reasons []string
	switch {
	case instance.Overrun():
		reasons = append(reasons, fmt.Sprintf("the process took %d kB, more than the machine's %d kB, and was ended by the platform; %d stock lookups got no answer", instance.PeakKB(), memoryMB<<10, broken))
	case instance.Ended():
		reasons = append(reasons, "the process ended by itself")
	}
	c.End(reasons)
}

// sendOdd is one client that sends requests of legal size. In trouble, one header line is
// long; else it is as short as those of the other clients.
func sendOdd(c *platform.Case, instance *platform.Instance, end time.Time, n *counts) {
	for time.Now().Before(end) && !instance.Ended() {
		id := fmt.Sprintf("%016x", rand.Uint64())
		shared := id[8:]
		if c.Trouble {
			shared += strings.Repeat("0", prefixBytes)
		}
		a := platform.Send(instance.Callers, platform.Request{
			ID: id, Method: http.MethodPost, Path: "/checks/2f", Key: platform.Key, Limit: streamLimit, Body: "edge",
			Headers: fmt.Sprintf("%s: m\r\n%s: 50,10\r\n%s: %s:20,%s:30\r\n", platform.HeaderModel, platform.HeaderTokens, platform.HeaderPrefix, shared, id[:8]),
		})
		if sent := n.sent.Add(1); sent%500 == 0 {
			c.Log("%d odd requests sent, the process takes %d kB at most so far", sent, instance.PeakKB())
		}
		if a.Status == http.StatusOK && !a.Broken {
			n.served.Add(1)
		} else {
			c.Log("client of %s got status %d, broken %v: %v", id, a.Status, a.Broken, a.Err)
		}
		time.Sleep(clientPause)
	}
}

// askStock is an ordinary client that asks for the stock again and again.
func askStock(c *platform.Case, instance *platform.Instance, end time.Time) (served, broken int) {
	for time.Now().Before(end) {
		id := fmt.Sprintf("%016x", rand.Uint64())
		a := platform.Send(instance.Callers, platform.Request{ID: id, Method: http.MethodGet, Path: "/stock/2f", Key: platform.Key, Limit: stockLimit})
		switch a.Status {
		case http.StatusOK:
			served++
		case 0:
			broken++
			c.Log("client of stock %s got no answer: %v", id, a.Err)
		}
		if instance.Ended() && broken >= 20 {
			return served, broken
		}
		time.Sleep(stockPause)
	}
	return served, broken
}
