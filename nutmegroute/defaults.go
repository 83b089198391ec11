package nutmegroute

import "time"

const (
	// DefaultIdleTimeout is the silence after which a stream is given up.
	DefaultIdleTimeout = 10 * time.Second
	// DefaultConnectTimeout bounds the wait for an upstream's answer headers.
	DefaultConnectTimeout = 5 * time.Second

	maxEventBytes = 1 << 20
	maxAnswerSize = 16 << 20 // bytes of a plain service's answer
)
