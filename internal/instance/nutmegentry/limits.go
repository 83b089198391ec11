package nutmegentry

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/instance/nutmegaccount"
	"github.com/nutmegwind/nutmegwind/internal/ops/nutmegserve"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
)

// callerLimits bound what the callers of this instance cost, and report what they cost.
type callerLimits struct {
	entry    *Entry
	account  *nutmegaccount.Account
	loggedAt atomic.Int64 // nanoseconds of uptime; 0 if nothing was logged
}

func newCallerLimits(e *Entry) *callerLimits {
	l := &callerLimits{entry: e, account: nutmegaccount.New(callerBounds(e.cfg.Settings.Limits))}
	for name, value := range map[string]func(nutmegaccount.Usage) int64{
		"caller_connections_idle":     func(u nutmegaccount.Usage) int64 { return int64(u.Idle) },
		"caller_connections_reading":  func(u nutmegaccount.Usage) int64 { return int64(u.Reading) },
		"caller_connections_busy":     func(u nutmegaccount.Usage) int64 { return int64(u.Busy) },
		"caller_connections_given_up": func(u nutmegaccount.Usage) int64 { return u.GivenUp },
		"caller_memory_bytes":         func(u nutmegaccount.Usage) int64 { return int64(u.Memory) },
	} {
		metrics.NewRegisteredFunctionalGauge(name, e.metrics, func() int64 { return value(l.account.Usage()) })
	}
	return l
}

// callerBounds returns what all callers together may take of the instance's resources.
func callerBounds(s nutmegconf.EntryLimitSettings) nutmegaccount.Config {
	bounds := nutmegaccount.Config{
		Connections: int(callerDescriptorShare * float64(s.FileDescriptors)),
		Memory:      memoryShare(s, callerMemoryShare),
	}
	if s.MaxConnections > 0 {
		bounds.Connections = s.MaxConnections
	}
	if s.CallerMemoryMB > 0 {
		bounds.Memory = nutmegaccount.Bytes(s.CallerMemoryMB) << 20
	}
	return bounds
}

// peerBounds returns what the connections from other instances may take.
func peerBounds(s nutmegconf.EntryLimitSettings) nutmegaccount.Config {
	return nutmegaccount.Config{
		Connections: int(peerDescriptorShare * float64(s.FileDescriptors)),
		Memory:      memoryShare(s, peerMemoryShare),
	}
}

func memoryShare(s nutmegconf.EntryLimitSettings, share float64) nutmegaccount.Bytes {
	return nutmegaccount.Bytes(share * float64(s.MemoryMB) * (1 << 20))
}

// serverLimits returns the limits for the server of callers.
func (l *callerLimits) serverLimits() *nutmegserve.Limits {
	return &nutmegserve.Limits{Account: l.account, Elapsed: l.entry.uptime, Head: l.headLimits, Refuse: l.refuse}
}

// probeLimits returns the limits for a server that only probes and collectors call.
func (e *Entry) probeLimits() *nutmegserve.Limits {
	bounds := nutmegaccount.Config{Connections: probeConnections, Memory: probeMemory}
	return &nutmegserve.Limits{Account: nutmegaccount.New(bounds), Elapsed: e.uptime}
}

// limitPeers returns a listener that bounds what connections from other instances cost.
func (e *Entry) limitPeers(l net.Listener) net.Listener {
	account := nutmegaccount.New(peerBounds(e.cfg.Settings.Limits))
	return nutmegserve.LimitListener(l, &nutmegserve.Limits{Account: account, Elapsed: e.uptime})
}

// headLimits returns the limits of the configuration in force.
func (l *callerLimits) headLimits() nutmegserve.HeadLimits {
	config := l.entry.view.Config()
	if config == nil {
		return nutmegserve.HeadLimits{}
	}
	limits := nutmegserve.HeadLimits{}
	if n := config.Limits.HeaderBytes; n > 0 {
		limits.Bytes = n + requestLineBytes
	}
	if d := config.Limits.HeaderTimeout; d > 0 {
		limits.Timeout = d + networkDelay
	}
	if d := config.Limits.IdleTimeout; d > 0 {
		limits.IdleTimeout = d + networkDelay
	}
	return limits
}

// refuse counts a refusal and returns the answer for it.
func (l *callerLimits) refuse(r nutmegserve.Refusal) []byte {
	refusal := l.refusal(r)
	l.log(r)
	answer := &wholeAnswer{header: make(http.Header)}
	l.entry.cfg.Platform.CallerProtocol.Refuse(answer, "", refusal)
	return answer.encode()
}

func (l *callerLimits) refusal(r nutmegserve.Refusal) *nutmegcall.Refusal {
	retryAfter := refusalRetryAfter + rand.N(refusalRetrySpread)
	switch r {
	case nutmegserve.RefusedHeadSize:
		l.entry.count("callers_refused_head_size")
		return &nutmegcall.Refusal{Reason: nutmegcall.ReasonHeadTooLarge, Detail: "the head is over the limit"}
	case nutmegserve.RefusedMemory:
		l.entry.count("callers_refused_memory")
		return &nutmegcall.Refusal{Reason: nutmegcall.ReasonOutOfMemory, RetryAfter: retryAfter, Detail: "too little memory is left for the head"}
	}
	l.entry.count("callers_refused_connection")
	return &nutmegcall.Refusal{Reason: nutmegcall.ReasonTooManyConnections, RetryAfter: retryAfter, Detail: "too many connections are open"}
}

// log logs that callers are refused, at most once in refusalLogInterval.
func (l *callerLimits) log(r nutmegserve.Refusal) {
	now, before := l.entry.uptime(), l.loggedAt.Load()
	if before != 0 && now-time.Duration(before) < refusalLogInterval || !l.loggedAt.CompareAndSwap(before, int64(now)) {
		return
	}
	u, bounds := l.account.Usage(), callerBounds(l.entry.cfg.Settings.Limits)
	l.entry.event("callers_refused").WithFields(logrus.Fields{
		"refused": r, "idle": u.Idle, "reading": u.Reading, "busy": u.Busy, "max_connections": bounds.Connections,
		"memory": u.Memory, "max_memory": bounds.Memory, "given_up": u.GivenUp,
	}).Warn("refusing callers that cost too much")
}

// wholeAnswer is an answer that is written to a connection without net/http.
type wholeAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *wholeAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *wholeAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *wholeAnswer) Write(part []byte) (int, error) { return a.body.Write(part) }

// encode returns the bytes of the answer, after which the connection is closed.
func (a *wholeAnswer) encode() []byte {
	resp := http.Response{
		StatusCode: a.status, ProtoMajor: 1, ProtoMinor: 1, Header: a.header, Close: true,
		ContentLength: int64(a.body.Len()), Body: io.NopCloser(&a.body),
	}
	var out bytes.Buffer
	_ = resp.Write(&out) // a buffer takes all
	return out.Bytes()
}
