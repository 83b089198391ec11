package nutmegentry

import (
	"context"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/instance/nutmegaccount"
	"github.com/nutmegwind/nutmegwind/internal/ops/nutmegserve"
)

// callMemory takes memory for a call from the account of its caller's connection.
type callMemory struct {
	account *nutmegaccount.Conn // nil if the server has no limits
	elapsed func() time.Duration
}

// memoryOf returns the memory of the call that a request becomes.
func (e *Entry) memoryOf(request context.Context) callMemory {
	return callMemory{account: nutmegserve.AccountOf(request), elapsed: e.uptime}
}

// Take implements nutmegcall.Memory.
func (m callMemory) Take(bytes int64) bool {
	return m.account == nil || m.account.Take(nutmegaccount.Bytes(bytes), m.elapsed())
}

// Release implements nutmegcall.Memory.
func (m callMemory) Release(bytes int64) {
	if m.account != nil {
		m.account.Release(nutmegaccount.Bytes(bytes))
	}
}

// read records a part of a request's body, and returns false if there is too little memory
// for it.
func (m callMemory) read(bytes int64) bool {
	return m.account == nil || m.account.Read(nutmegaccount.Bytes(bytes), m.elapsed())
}

// begin records that the whole request has been read.
func (m callMemory) begin() {
	if m.account != nil {
		m.account.Begin(m.elapsed())
	}
}
