package platform

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broke  = 1
	CanNot = 2
)

const longest = 110 * time.Second // of a case

// Case is one run of a case.
type Case struct {
	Project string // folder of the project
	Scratch string // temporary folder
	Trouble bool   // the disruption takes place
	Store   *Store

	began     time.Time
	mu        sync.Mutex
	record    *os.File
	instances []*Instance
}

// Open prepares a run. The arguments are the project's folder and that of the case.
func Open() *Case {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: case PROJECT FOLDER")
		os.Exit(CanNot)
	}
	c := &Case{Project: os.Args[1], Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if c.record, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		c.Give(err)
	}
	if c.Scratch, err = os.MkdirTemp("", "review2-"); err != nil {
		c.Give(err)
	}
	if c.Store, err = NewStore(); err != nil {
		c.Give(err)
	}
	c.Log("trouble=%v", c.Trouble)
	go c.guard()
	return c
}

// guard ends the case after its longest time and on a signal.
func (c *Case) guard() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case s := <-signals:
		c.Give(fmt.Errorf("ended by %v", s))
	case <-time.After(longest):
		c.Give(errors.New("it took too long"))
	}
}

// Log writes a line to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%7.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// Give ends a case that could not run.
func (c *Case) Give(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	if c.record != nil {
		c.Log("could not run: %v", err)
	}
	c.end(CanNot)
}

// Start starts an instance and waits until it is ready.
func (c *Case) Start(m Machine) *Instance {
	i, err := Start(c.Project, c.Scratch, c.Store.Address, m)
	if err != nil {
		c.Give(err)
	}
	c.instances = append(c.instances, i)
	go i.WatchMemory()
	if err := i.AwaitReady(20 * time.Second); err != nil {
		c.Give(err)
	}
	c.Log("%s is ready, callers at %s", i.Name, i.Callers)
	return i
}

// Serve starts a server that writes its entry to the store.
func (c *Case) Serve(s *Server) *Server {
	if err := s.Listen(); err != nil {
		c.Give(err)
	}
	go s.Beat(c.Store, 1200*time.Millisecond)
	c.Log("%s of %s serves at %s", s.Name, s.Service, s.Address)
	return s
}

// End ends the case: it broke the rule if there is a reason.
func (c *Case) End(reasons []string) {
	for _, r := range reasons {
		c.Log("BROKEN: %s", r)
		fmt.Println("broken:", r)
	}
	if len(reasons) > 0 {
		c.end(Broke)
	}
	c.Log("held")
	fmt.Println("held")
	c.end(Held)
}

func (c *Case) end(code int) {
	for _, i := range c.instances {
		i.Stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.Scratch)
	} else {
		fmt.Println("kept", c.Scratch)
	}
	os.Exit(code)
}

// Route is a route of the configuration.
type Route struct {
	Name, Prefix, Service, Kind string
	TimeoutMs, Attempts         int
	Resumption                  bool
}

// Configure writes a configuration with one tenant.
func (c *Case) Configure(version int, engines, services []string, routes []Route) {
	var listed []map[string]any
	for _, name := range engines {
		listed = append(listed, map[string]any{
			"name": name, "healthCheckPath": "/health", "connectionLimit": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvCacheTokens": 439142, "kvTokenBytes": 18432, "linkMbps": 550000.0, "moves": true, "backups": true,
				"stride": 5, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}},
			},
		})
	}
	for _, name := range services {
		listed = append(listed, map[string]any{"name": name, "healthCheckPath": "/health", "connectionLimit": 96, "protocol": "h1", "tls": false})
	}
	var list []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.Name, "host": Host, "pathPrefix": r.Prefix, "kind": r.Kind, "timeoutMs": r.TimeoutMs, "targetLatencyMs": 500,
			"priority": 1, "service": r.Service, "attempts": r.Attempts, "public": false, "stickySessions": r.Kind == "streaming",
			"streamResumption": r.Resumption, "targetGapMs": 600,
		})
	}
	c.Store.Put("config", "main", map[string]any{
		"version": version, "routes": list, "services": listed,
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "rack", "apiKeys": []string{Key}, "priority": 1, "prepaid": 1000000000}},
	})
}

// Key is the key of the tenant.
const Key = "n2ctnfzs989anu6wsjnb"
