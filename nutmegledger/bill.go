package nutmegledger

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// Lister reads all objects of a kind.
type Lister interface {
	List(ctx context.Context, kind, prefix string) ([]nutmegstore.Object, error)
}

// Bill is what one owner owes.
type Bill struct {
	Owner      nutmegid.Owner                         `json:"owner"`
	Requests   int                                    `json:"requests"`
	Tokens     nutmegid.Tokens                        `json:"tokens"`
	Workspaces map[nutmegid.Workspace]nutmegid.Tokens `json:"workspaces"`
}

// Bills is the fold of the whole ledger.
type Bills struct {
	Owners   map[nutmegid.Owner]*Bill `json:"owners"`
	Repeated int                      `json:"repeated_lines"` // lines beyond one of each request
}

// Fold reads all segments and bills each request once.
func Fold(ctx context.Context, l Lister) (Bills, error) {
	lines, repeated, err := Read(ctx, l)
	if err != nil {
		return Bills{}, err
	}
	bills := BillsOf(lines)
	bills.Repeated = repeated
	return bills, nil
}

// BillsOf adds up lines of which each bills a request of its own.
func BillsOf(lines []Line) Bills {
	bills := Bills{Owners: make(map[nutmegid.Owner]*Bill)}
	for _, line := range lines {
		bills.add(line)
	}
	return bills
}

// Read returns one line for each request of the ledger, ordered by the end of
// the requests, and the number of further lines. Of several lines of a request
// an exact count goes first, then the larger one. An unreadable segment or page
// is an error: a bill without it would be too small.
func Read(ctx context.Context, l Lister) ([]Line, int, error) {
	all, err := AllLines(ctx, l)
	if err != nil {
		return nil, 0, err
	}
	best := make(map[nutmegid.RequestID]Line)
	for _, line := range all {
		if known, ok := best[line.Request]; !ok || line.better(known) {
			best[line.Request] = line
		}
	}
	lines := make([]Line, 0, len(best))
	for _, line := range best {
		lines = append(lines, line)
	}
	slices.SortFunc(lines, func(a, b Line) int {
		return cmp.Or(a.EndedAt.Compare(b.EndedAt), cmp.Compare(a.Request, b.Request))
	})
	return lines, len(all) - len(lines), nil
}

// AllLines returns every line of the ledger, repeated ones included. Of the
// lines of one request, the one that bills it comes first.
func AllLines(ctx context.Context, l Lister) ([]Line, error) {
	// Segments first: what compaction moves meanwhile is found in the pages.
	lines, err := segmentLines(ctx, l)
	if err != nil {
		return nil, err
	}
	moved, err := pageLines(ctx, l)
	if err != nil {
		return nil, err
	}
	lines = append(lines, moved...)
	slices.SortStableFunc(lines, compareLines)
	return lines, nil
}

// compareLines puts the better line first.
func compareLines(a, b Line) int {
	switch {
	case a.better(b):
		return -1
	case b.better(a):
		return 1
	}
	return 0
}

func segmentLines(ctx context.Context, l Lister) ([]Line, error) {
	objects, err := l.List(ctx, SegmentKind, "")
	if err != nil {
		return nil, fmt.Errorf("ledger could not be listed; try again once the platform answers: %w", err)
	}
	var lines []Line
	for _, object := range objects {
		doc, err := nutmegstore.Decode[Segment](object)
		if err != nil {
			return nil, err
		}
		lines = append(lines, doc.Body.Lines...)
	}
	return lines, nil
}

func (b *Bills) add(line Line) {
	bill, ok := b.Owners[line.Owner]
	if !ok {
		bill = &Bill{Owner: line.Owner, Workspaces: make(map[nutmegid.Workspace]nutmegid.Tokens)}
		b.Owners[line.Owner] = bill
	}
	bill.Requests++
	bill.Tokens += line.Tokens
	bill.Workspaces[line.Workspace] += line.Tokens
}
