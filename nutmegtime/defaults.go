package nutmegtime

import "time"

const (
	// MaxDrift is how far ahead of the wall clock an observed stamp may be. Stamps
	// further ahead are ignored.
	MaxDrift = time.Minute
	// DefaultRingSize is the number of events that a ring keeps by default.
	DefaultRingSize = 8192
)
