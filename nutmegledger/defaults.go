package nutmegledger

import "time"

const (
	// SegmentKind is the object kind of ledger segments.
	SegmentKind = "ledger"
	// PageKind is the object kind of ledger pages.
	PageKind = "ledger_page"
	// DefaultMinSegments is the minimum number of segments for a compaction.
	DefaultMinSegments = 256
	// DefaultFlushInterval is the interval at which lines are written to the store.
	DefaultFlushInterval = time.Second
	// DefaultReplicationTimeout limits how long the end of a request waits until a peer holds its line.
	DefaultReplicationTimeout = 250 * time.Millisecond
	// DefaultAdoptAfter is the time without a batch after which the lines of an unknown writer are adopted.
	DefaultAdoptAfter = time.Minute

	stopRetryInterval = 100 * time.Millisecond

	maxSegmentLines = 2000    // keeps a segment well under 1 MB
	maxPageLines    = 8000    // about 450 kB compressed
	maxReplicaLines = 200_000 // total over all other writers; 60 MB
	maxBatchLines   = 1000    // lines sent to a peer in one message
)
