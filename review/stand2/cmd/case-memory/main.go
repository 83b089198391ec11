// Command case-memory shows that heads without end from servers in trouble take an entry
// instance over the memory of its machine.
package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
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
	duration = 20 * time.Second

	streamLimit = 15 * time.Second
	orderLimit  = 600 * time.Millisecond
	orderPause  = 100 * time.Millisecond

	linesPerWrite = 40
	writePause    = 10 * time.Millisecond
)

const streams = 192 // clients that wait for a stream at once: a sixth of the slots of 18 engines

// trouble is the behaviour of the engines.
type trouble struct {
	c       *platform.Case
	endless atomic.Int64
}

func (t *trouble) engine(s *platform.Server, r *platform.Run) int {
	s.Began(r.ID)
	if !t.c.Trouble {
		return r.Stream(50, 40*time.Millisecond)
	}
	t.endless.Add(1)
	return endlessHead(r)
}

// endlessHead sends short header lines until the other side closes.
func endlessHead(r *platform.Run) int {
	if _, err := io.WriteString(r.Conn, "HTTP/1.1 200 OK\r\n"); err != nil {
		return -1
	}
	for n := 0; ; {
		var b strings.Builder
		for range linesPerWrite {
			fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(n), 36))
			n++
		}
		if _, err := io.WriteString(r.Conn, b.String()); err != nil {
			return -1
		}
		time.Sleep(writePause)
	}
}

func main() {
	c := platform.Open()
	t := &trouble{c: c}
	c.Configure(1, []string{engines}, []string{desks}, []platform.Route{
		{Name: "sheet-list", Prefix: "/lists/", Service: engines, Kind: "streaming", TimeoutMs: 15000, Attempts: 1},
		{Name: "stock-look", Prefix: "/stock/", Service: desks, Kind: "idempotent", TimeoutMs: 600, Attempts: 2},
	})
	for n, zone := range []string{"shah-alam", "ipoh", "johor-bahru", "shah-alam", "ipoh", "johor-bahru"} {
		c.Serve(&platform.Server{Name: fmt.Sprintf("i-%d", n+1), Service: engines, Zone: zone, Slots: 64, Handle: t.engine})
	}
	for n, zone := range []string{"shah-alam", "ipoh", "johor-bahru"} {
		c.Serve(&platform.Server{Name: fmt.Sprintf("i-%d", n+7), Service: desks, Zone: zone, Slots: 6, Handle: func(s *platform.Server, r *platform.Run) int {
			s.Began(r.ID)
			time.Sleep(15 * time.Millisecond)
			return r.Succeed("stock")
		}})
	}
	instance := c.Start(platform.Machine{Name: "frontend-shah-alam-1", Zone: "shah-alam", MemoryMB: memoryMB})
	c.Log("%s takes %d kB before the first request", instance.Name, instance.PeakKB())
	end := time.Now().Add(duration)
	var all sync.WaitGroup
	for range streams {
		all.Go(func() { readStreams(c, instance, end) })
	}
	broken, served := askStock(c, instance, end)
	all.Wait()
	c.Log("%d streams at once, %d endless heads, %d stock lookups served, %d broken, peak %d kB of %d kB", streams, t.endless.Load(), served, broken, instance.PeakKB(), memoryMB<<10)
	fmt.Println("peak kB", instance.PeakKB())
	if served == 0 {
		c.Give(errors.New("no stock lookup was served"))
	}
	var reasons []string
	if instance.Overrun() {
		reasons = append(reasons, fmt.Sprintf("the process took %d kB, more than the machine's %d kB, and was ended by the platform", instance.PeakKB(), memoryMB<<10))
	} else if instance.Ended() {
		reasons = append(reasons, "the process ended by itself")
	}
	c.End(reasons)
}

// readStreams is one client that asks for one stream after another.
func readStreams(c *platform.Case, instance *platform.Instance, end time.Time) {
	for time.Now().Before(end) && !instance.Ended() {
		id := fmt.Sprintf("%016x", rand.Uint64())
		a := platform.Send(instance.Callers, platform.Request{
			ID: id, Method: http.MethodPost, Path: "/lists/2f", Key: platform.Key, Limit: streamLimit, Body: "sheet",
			Headers: fmt.Sprintf("%s: m\r\n%s: 826,290\r\n%s: 5c1e07a2:119,91bd3f06:79,%s:628\r\n", platform.HeaderModel, platform.HeaderTokens, platform.HeaderPrefix, id[:8]),
		})
		c.Log("client of stream %s got status %d, broken %v after %v", id, a.Status, a.Broken, a.Took.Round(time.Millisecond))
		time.Sleep(100 * time.Millisecond)
	}
}

// askStock is a client that asks for the stock again and again.
func askStock(c *platform.Case, instance *platform.Instance, end time.Time) (broken, served int) {
	for time.Now().Before(end) {
		id := fmt.Sprintf("%016x", rand.Uint64())
		a := platform.Send(instance.Callers, platform.Request{ID: id, Method: http.MethodGet, Path: "/stock/2f", Key: platform.Key, Limit: orderLimit})
		if a.Status == http.StatusOK {
			served++
		}
		if a.Status == 0 {
			broken++
		}
		c.Log("client of stock %s got status %d, broken %v", id, a.Status, a.Broken || a.Err != nil)
		time.Sleep(orderPause)
	}
	return broken, served
}
