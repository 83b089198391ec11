package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	host = "desk.example"
	key  = "key-of-rack-ipoh"
)

// fleet is a small deployment on loopback addresses: a store, workers and instances
// of the project.
type fleet struct {
	root      string
	dir       string // for settings and logs
	trouble   bool
	record    *record
	store     *store
	instances []*instance
	stop      chan struct{} // ends the heartbeats of workers
	version   int           // of the configuration
	tenants   int           // 1 when zero
	// storeFor returns the address of the store for the next instance; the store's own
	// when nil.
	storeFor func() (string, error)
	cleanup  []func()
	once     sync.Once
}

func newFleet(root string, rec *record, trouble bool) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &fleet{root: root, dir: dir, record: rec, trouble: trouble, store: s, stop: make(chan struct{})}, nil
}

// configure writes a configuration with the next version.
func (f *fleet) configure(prepaid int, routes, services []map[string]any) {
	f.version += 3
	var list []map[string]any
	for n := range max(f.tenants, 1) {
		tenant := map[string]any{"name": fmt.Sprintf("rack-%d", n+1), "apiKeys": []string{tenantKey(n)}, "priority": 1}
		if prepaid > 0 {
			tenant["prepaid"] = prepaid
		}
		list = append(list, tenant)
	}
	f.store.put("config", "main", map[string]any{
		"version": f.version, "routes": routes, "services": services,
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": list,
	})
	f.record.add("the operator writes configuration %d", f.version)
}

// tenantKey returns the key of a tenant; the first one has key.
func tenantKey(n int) string {
	if n == 0 {
		return key
	}
	return fmt.Sprintf("%s-%d", key, n+1)
}

func route(name, prefix, kind, service string, timeoutMs int) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": service, "timeoutMs": timeoutMs,
		"targetLatencyMs": 1000, "priority": 1, "attempts": 1, "public": false, "stickySessions": kind == "streaming", "streamResumption": false,
	}
	if kind == "streaming" {
		r["targetGapMs"] = 600
	}
	return r
}

func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthCheckPath": "/health", "connectionLimit": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kvCacheTokens": 439142, "kvTokenBytes": 18432, "linkMbps": 370000.0, "moves": false, "backups": false,
			"stride": tokensPerEvent, "models": []map[string]any{{"name": "m"}},
		},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthCheckPath": "/health", "connectionLimit": 96, "protocol": "h1", "tls": false}
}

// tokensPerEvent is how many tokens an event of an engine's stream holds.
const tokensPerEvent = 5

// startInstances starts instances in different zones and waits until they are ready.
func (f *fleet) startInstances(zones ...string) error {
	for n, zone := range zones {
		if err := f.startOne(n, zone); err != nil {
			return err
		}
	}
	return nil
}

// startOne starts an instance and waits until it is ready. One that ends before, as
// one of its ports was taken, is started again with other ports.
func (f *fleet) startOne(n int, zone string) error {
	for tries := 0; ; tries++ {
		address := f.store.address()
		if f.storeFor != nil {
			var err error
			if address, err = f.storeFor(); err != nil {
				return err
			}
		}
		i, err := startInstance(f.root, f.dir, fmt.Sprintf("frontend-%s-%d", zone, n+1), zone, address)
		if err != nil {
			return err
		}
		err = i.awaitReady(20 * time.Second)
		if errors.Is(err, errEnded) && tries < 2 {
			f.record.say("started again: %v", err)
			continue
		}
		f.instances = append(f.instances, i)
		if err == nil {
			f.record.add("instance %s is ready", i.name)
		}
		return err
	}
}

// addWorker starts a worker in this process.
func (f *fleet) addWorker(w *worker, slots int) error {
	w.record = f.record.add
	if err := w.listen("127.0.0.1:0"); err != nil {
		return err
	}
	w.register(f.store, slots, func() string { return "ready" }, f.stop)
	return nil
}

// end ends all processes that the case has started.
func (f *fleet) end() {
	f.once.Do(func() {
		close(f.stop)
		for _, i := range f.instances {
			i.kill()
		}
		for _, fn := range f.cleanup {
			fn()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(f.dir)
		} else {
			fmt.Println("logs in", f.dir)
		}
	})
}
