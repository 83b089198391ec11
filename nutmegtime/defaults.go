package nutmegtime

import "time"

const (
	// MaxDrift bounds how far ahead of the wall clock an observed stamp may lie.
	MaxDrift = time.Minute
	// DefaultRingSize is the number of events that a ring keeps.
	DefaultRingSize = 8192
)
