package nutmegaccount

import (
	"io"
	"time"
)

// Conn is the account of one connection. Once the connection has been given up or
// closed, nothing has an effect.
type Conn struct {
	account *Account
	closer  io.Closer

	// The account's mutex guards the rest.
	kept       bool
	state      state
	since      time.Duration // when something happened last
	taken      Bytes         // beside ConnectionMemory
	prev, next *Conn
}

// enter puts the connection at the end of the queue of a state. It must not be in one.
func (c *Conn) enter(s state, now time.Duration) {
	c.state, c.since = s, now
	c.account.open[s].add(c)
}

// move takes the connection to another state.
func (c *Conn) move(s state, now time.Duration) {
	c.account.open[c.state].remove(c)
	c.enter(s, now)
}

// Read records that a part of a request has been read, for which the connection takes n
// bytes. It returns false if the instance has too little memory for it.
func (c *Conn) Read(n Bytes, now time.Duration) bool {
	return c.take(n, now, true)
}

// Take takes n bytes until they are released, the request ends or the connection is
// closed. It returns false if the instance has too little memory.
func (c *Conn) Take(n Bytes, now time.Duration) bool {
	return c.take(n, now, false)
}

// take takes memory, and gives up idle connections if there is too little.
func (c *Conn) take(n Bytes, now time.Duration, isRead bool) bool {
	a := c.account
	a.mu.Lock()
	if c.kept && isRead {
		c.move(reading, now)
	}
	var victims []*Conn
	ok := c.kept
	for ok && a.memory+n > c.limit(n) {
		v := a.giveUp(now, idle)
		if ok = v != nil; ok {
			victims = append(victims, v)
		}
	}
	if ok {
		c.taken += n
		a.memory += n
	}
	a.mu.Unlock()
	closeAll(victims)
	return ok
}

// limit returns how much all connections may take once this one takes n bytes more.
func (c *Conn) limit(n Bytes) Bytes {
	memory := c.account.cfg.Memory
	if c.taken+n <= smallAmount {
		return memory
	}
	return Bytes((1 - reservedShare) * float64(memory))
}

// Release returns n bytes that were taken.
func (c *Conn) Release(n Bytes) {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	n = min(n, c.taken) // nothing is left of it if the connection was given up
	c.taken -= n
	a.memory -= n
}

// Begin records that a request has been read and will be answered.
func (c *Conn) Begin(now time.Duration) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.kept {
		c.move(busy, now)
	}
}

// End records that a request has been answered. Its memory is released.
func (c *Conn) End(now time.Duration) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if !c.kept {
		return
	}
	c.account.memory -= c.taken
	c.taken = 0
	c.move(idle, now)
}

// Close removes the connection from the account.
func (c *Conn) Close() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.account.remove(c)
}

// queue is a list of connections in the order in which something happened on them last.
type queue struct {
	first, last *Conn
	length      int
}

func (q *queue) add(c *Conn) {
	c.prev, c.next = q.last, nil
	if q.last == nil {
		q.first = c
	} else {
		q.last.next = c
	}
	q.last = c
	q.length++
}

func (q *queue) remove(c *Conn) {
	if c.prev == nil {
		q.first = c.next
	} else {
		c.prev.next = c.next
	}
	if c.next == nil {
		q.last = c.prev
	} else {
		c.next.prev = c.prev
	}
	c.prev, c.next = nil, nil
	q.length--
}
