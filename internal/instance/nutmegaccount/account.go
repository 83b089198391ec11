// Package nutmegaccount keeps the account of what the connections of one listener cost
// an instance, in descriptors and memory, and decides which of them to keep. Idle
// connections are given up first, then those whose request has not been read for a
// while. A connection whose request has been read is never given up.
//
// The package has no network, clock or goroutine: callers pass the time since a fixed
// start, and a connection is anything that can be closed.
//
// # Usage
//
//	account := nutmegaccount.New(nutmegaccount.Config{Connections: 2000, Memory: 48 << 20})
//	conn, ok := account.Open(c, now) // not ok: turn the connection away
//	ok = conn.Read(bytes, now)       // a part of a request; not ok: refuse it
//	conn.Begin(now)                  // the request has been read
//	ok = conn.Take(bytes, now)       // for its answer
//	conn.End(now)                    // the request has been answered
//	conn.Close()
package nutmegaccount

import (
	"io"
	"sync"
	"time"
)

// Bytes is an amount of memory.
type Bytes int64

// state is what a connection is doing.
type state int

const (
	idle    state = iota // no byte of the next request has been read
	reading              // a part of a request has been read
	busy                 // a request has been read and is not answered yet

	states = int(busy) + 1
)

const (
	// ConnectionMemory is what an open connection takes: its buffers, the stacks of its
	// goroutines and its records.
	ConnectionMemory Bytes = 16 << 10

	// minAge is how long nothing has happened on a connection that may be given up.
	minAge = time.Second
	// smallAmount is the most that a connection may take in total and still use the
	// reserved memory.
	smallAmount Bytes = 72 << 10
	// reservedShare is the share of the memory that is reserved for small amounts.
	reservedShare = 0.25
)

// Config configures an Account.
type Config struct {
	Connections int   // that may be open at once
	Memory      Bytes // that all connections may take together
}

// Account is the account of the connections of one listener. It is safe for concurrent
// use.
type Account struct {
	cfg Config

	mu      sync.Mutex
	memory  Bytes // taken
	open    [states]queue
	givenUp int64 // connections, since the start
}

// Usage is what connections take.
type Usage struct {
	Idle    int // connections, as are the next two
	Reading int
	Busy    int
	Memory  Bytes
	GivenUp int64 // connections, since the start
}

// New returns an account without connections.
func New(cfg Config) *Account {
	return &Account{cfg: cfg}
}

// Open adds an idle connection. It gives up others if there are too many, and returns
// false if that makes no room.
func (a *Account) Open(closer io.Closer, now time.Duration) (*Conn, bool) {
	c := &Conn{account: a, closer: closer}
	victims, ok := a.add(c, now)
	closeAll(victims)
	return c, ok
}

func (a *Account) add(c *Conn, now time.Duration) (victims []*Conn, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.connections() >= a.cfg.Connections || a.memory+ConnectionMemory > a.cfg.Memory {
		v := a.giveUp(now, reading)
		if v == nil {
			return victims, false
		}
		victims = append(victims, v)
	}
	a.memory += ConnectionMemory
	c.kept = true
	c.enter(idle, now)
	return victims, true
}

// connections returns the number of open connections.
func (a *Account) connections() int {
	n := 0
	for s := range a.open {
		n += a.open[s].length
	}
	return n
}

// giveUp removes and returns the connection that is to be closed next: an idle one or, up
// to the state last, another on which nothing has happened for a while. It returns nil if
// there is none.
func (a *Account) giveUp(now time.Duration, last state) *Conn {
	for s := idle; s <= last; s++ {
		c := a.open[s].first
		if c != nil && now-c.since >= minAge {
			a.remove(c)
			a.givenUp++
			return c
		}
	}
	return nil
}

// remove takes a connection with all its memory out of the account.
func (a *Account) remove(c *Conn) {
	if !c.kept {
		return
	}
	c.kept = false
	a.open[c.state].remove(c)
	a.memory -= ConnectionMemory + c.taken
	c.taken = 0
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		_ = c.closer.Close()
	}
}

// Usage returns what the connections take now.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{
		Idle: a.open[idle].length, Reading: a.open[reading].length, Busy: a.open[busy].length,
		Memory: a.memory, GivenUp: a.givenUp,
	}
}
