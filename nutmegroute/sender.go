package nutmegroute

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// SenderConfig configures a sender.
type SenderConfig struct {
	Pool         *Pool
	Dial         DialFunc      // opens connections to upstreams; net.Dialer if nil
	IdleTimeout  time.Duration // DefaultIdleTimeout if zero
	ResumeWindow time.Duration // DefaultResumeWindow if zero
	SilenceLimit time.Duration // DefaultSilenceLimit if zero
	CallTimeout  time.Duration // DefaultCallTimeout if zero
	HedgeDelay   time.Duration // DefaultHedgeDelay if zero
	MaxAttempts  int           // DefaultMaxAttempts if zero
	Suspects     *Suspects     // tracks requests that crash upstreams; private to the sender if nil
}

// DialFunc opens a connection to an upstream.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Sender sends requests to the upstreams of a pool.
type Sender struct {
	cfg        SenderConfig
	pooled     *http.Client // for engines and repeatable calls; reuses connections
	oneShot    *http.Client // for calls that must not be sent twice; opens a connection per call
	retries    *RetryBudget
	duplicates *duplicateGuard

	abandoned atomic.Bool
}

// NewSender returns a sender.
func NewSender(cfg SenderConfig) *Sender {
	cfg = cfg.withDefaults()
	dial := dialUploads(cfg.Dial)
	return &Sender{
		cfg: cfg,
		pooled: newClient(&http.Transport{
			MaxIdleConnsPerHost:   idleConnections,
			IdleConnTimeout:       idleConnectionLimit,
			ResponseHeaderTimeout: DefaultConnectTimeout,
			DialContext:           dial,
		}),
		oneShot:    newClient(&http.Transport{DisableKeepAlives: true, DialContext: dial}),
		retries:    NewRetryBudget(),
		duplicates: newDuplicateGuard(),
	}
}

// Abandon stops the sender from cancelling streams at their engines, as if the process had
// exited.
func (s *Sender) Abandon() {
	s.abandoned.Store(true)
}

// newClient returns a client that does not follow redirects, because a redirect would send the
// request a second time.
func newClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (cfg SenderConfig) withDefaults() SenderConfig {
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.ResumeWindow == 0 {
		cfg.ResumeWindow = DefaultResumeWindow
	}
	if cfg.SilenceLimit == 0 {
		cfg.SilenceLimit = DefaultSilenceLimit
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.HedgeDelay == 0 {
		cfg.HedgeDelay = DefaultHedgeDelay
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = DefaultMaxAttempts
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: DefaultConnectTimeout}).DialContext
	}
	if cfg.Suspects == nil {
		cfg.Suspects = NewSuspects(SuspectsConfig{})
	}
	return cfg
}
