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
	Dial         DialFunc      // of connections to upstreams; net.Dialer when nil
	IdleTimeout  time.Duration // DefaultIdleTimeout when zero
	ResumeWindow time.Duration // DefaultResumeWindow when zero
	SilenceLimit time.Duration // DefaultSilenceLimit when zero
	CallTimeout  time.Duration // DefaultCallTimeout when zero
	HedgeDelay   time.Duration // DefaultHedgeDelay when zero
	MaxAttempts  int           // DefaultMaxAttempts when zero
	Suspects     *Suspects     // remembers requests that crash upstreams; private ones when nil
}

// DialFunc opens a connection to an upstream.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Sender sends requests to the upstreams of a pool.
type Sender struct {
	cfg     SenderConfig
	streams *http.Client // for engines and repeatable calls; keeps connections
	once    *http.Client // for calls that must not be sent twice; a connection each
	retries *RetryBudget
	twins   *twins

	abandoned atomic.Bool
}

// NewSender returns a sender.
func NewSender(cfg SenderConfig) *Sender {
	cfg = cfg.withDefaults()
	return &Sender{
		cfg: cfg,
		streams: newClient(&http.Transport{
			MaxIdleConnsPerHost:   idleConnections,
			IdleConnTimeout:       idleConnectionLimit,
			ResponseHeaderTimeout: DefaultConnectTimeout,
			DialContext:           cfg.Dial,
		}),
		once:    newClient(&http.Transport{DisableKeepAlives: true, DialContext: cfg.Dial}),
		retries: NewRetryBudget(),
		twins:   newTwins(),
	}
}

// Abandon leaves streams at their engines uncancelled from now on, as the end of
// the process does.
func (s *Sender) Abandon() {
	s.abandoned.Store(true)
}

// newClient returns a client that follows no redirects: a redirect would send
// the request a second time.
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
