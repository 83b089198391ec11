package nutmegpermit

import "time"

// SettleTime is how long an instance with a new name has to be up before all others
// know it. Until then another one may act as the first home in its place. A restarted
// instance keeps its name, and with it its place in the order.
const SettleTime = 30 * time.Second

// MaxListAge is the age of an instance's list of instances up to which it may count as
// the first home: with an older one it may not know of an instance that counts as the
// first by now. It is shorter than SettleTime by more than reads are out of date.
const MaxListAge = 26 * time.Second

const (
	homeCount = 2 // homes of one limit, in order

	// The shares of homes: a first one and another one together stay within one and a
	// half times the rate, also when requests arrive late in bursts. With two others
	// that holds only for rates of up to 3 requests per second that are stated, and of
	// up to 19 to cold processes.
	firstRate      = 0.9
	firstBurst     = 1.5
	firstRateBurst = 0.2
	otherRate      = 0.2
	otherBurst     = 1.0
	otherRateBurst = 0.05

	// The shares of limits that hold over each second, in which late requests weigh
	// more.
	firstWarmupRate      = 0.65
	firstWarmupRateBurst = 0.05
	otherWarmupRate      = 0.1
	otherWarmupRateBurst = 0.02

	// limitMemory is how long a limit of a process binds requests of instances that do
	// not know it, since the last request by one that does.
	limitMemory = 2 * time.Second

	// minRate is permitted also if an upstream states less, so that it is noticed when
	// it takes requests again. In requests per second.
	minRate = 0.05

	minWait = 20 * time.Millisecond // before a denied instance asks again
	maxWait = 5 * time.Second

	maxBuckets   = 16_384      // processes for which a home counts
	bucketExpiry = time.Minute // since the last request for a permit
)
