package nutmegid

import "strconv"

// Version is the version of one object, or of the whole store, in the platform's
// object API. Versions are ordered by the store's era first and by the value of its
// change counter second, because a store that comes back from an older copy gives out
// the same values again.
type Version uint64

// Era counts how often the platform's store has come back from an older copy of
// itself. It is 0 if the store states none.
type Era uint32

const (
	counterBits = 40 // of a Version; the era has the rest

	// MaxEra is the highest era that a Version can hold.
	MaxEra = 1<<(64-counterBits) - 1
	// MaxCounter is the highest value of the change counter that a Version can hold.
	MaxCounter = 1<<counterBits - 1
)

// NewVersion returns the version of an era and a value of the store's change counter.
// Neither may exceed MaxEra or MaxCounter; higher bits are dropped.
func NewVersion(era Era, counter uint64) Version {
	return Version(era)<<counterBits | Version(counter&MaxCounter)
}

// Era returns the store's era.
func (v Version) Era() Era {
	return Era(v >> counterBits)
}

// Counter returns the value of the store's change counter.
func (v Version) Counter() uint64 {
	return uint64(v) & MaxCounter
}

// String returns "counter", or "era.counter" if the store states eras.
func (v Version) String() string {
	counter := strconv.FormatUint(v.Counter(), 10)
	if v.Era() == 0 {
		return counter
	}
	return strconv.FormatUint(uint64(v.Era()), 10) + "." + counter
}
