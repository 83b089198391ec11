package nutmegledger

import "time"

const (
	// SegmentKind is the object kind of ledger segments.
	SegmentKind = "ledger"
	// PageKind is the object kind of ledger pages.
	PageKind = "ledger_page"
	// DefaultMinSegments is the number of segments from which on they are compacted.
	DefaultMinSegments = 256
	// DefaultFlushInterval is how often finished requests are written.
	DefaultFlushInterval = time.Second
	// DefaultCopyTimeout bounds how long the end of a request waits for its line's copy.
	DefaultCopyTimeout = 250 * time.Millisecond
	// DefaultAdoptAfter is the silence after which the lines of an unknown writer are adopted.
	DefaultAdoptAfter = time.Minute

	stopRetryInterval = 100 * time.Millisecond

	maxSegmentLines = 2000    // lines; keeps a segment well under a megabyte
	maxPageLines    = 8000    // lines; about 450 kB compressed
	maxKeptLines    = 200_000 // lines of other writers, 60 MB
	maxBatchLines   = 1000    // lines of one copy message
)
