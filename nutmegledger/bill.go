package nutmegledger

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// Lister lists the objects of a kind whose names start with a prefix.
type Lister interface {
	List(ctx context.Context, kind, prefix string) ([]nutmegstore.Object, error)
}

// Bill is the total usage billed to one owner.
type Bill struct {
	Owner      nutmegid.Owner                         `json:"owner"`
	Requests   int                                    `json:"requests"`
	Tokens     nutmegid.Tokens                        `json:"tokens"`
	Workspaces map[nutmegid.Workspace]nutmegid.Tokens `json:"workspaces"`
}

// Bills is the result of folding the whole ledger.
type Bills struct {
	Owners        map[nutmegid.Owner]*Bill `json:"owners"`
	RepeatedLines int                      `json:"repeated_lines"` // lines in excess of one per request
}

// Fold reads all segments and pages and bills each request once.
func Fold(ctx context.Context, l Lister) (Bills, error) {
	lines, repeated, err := ReadUniqueLines(ctx, l)
	if err != nil {
		return Bills{}, err
	}
	bills := ComputeBills(lines)
	bills.RepeatedLines = repeated
	return bills, nil
}

// ComputeBills sums up lines, each of which must belong to a different request.
func ComputeBills(lines []Line) Bills {
	bills := Bills{Owners: make(map[nutmegid.Owner]*Bill)}
	for _, line := range lines {
		bills.add(line)
	}
	return bills
}

// ReadUniqueLines returns one line for each request in the ledger, ordered by the
// end time of the requests, and the number of duplicate lines. Among several
// lines of a request it prefers an exact count, then the larger count. An
// unreadable segment or page is an error, because a bill without it would be too
// small.
func ReadUniqueLines(ctx context.Context, l Lister) ([]Line, int, error) {
	all, err := ReadAllLines(ctx, l)
	if err != nil {
		return nil, 0, err
	}
	best := make(map[nutmegid.RequestID]Line)
	for _, line := range all {
		if known, ok := best[line.Request]; !ok || line.supersedes(known) {
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

// ReadAllLines returns every line of the ledger, including duplicates. Among the
// lines of one request, the one that is billed comes first.
func ReadAllLines(ctx context.Context, l Lister) ([]Line, error) {
	// Segments are read first, so that lines which compaction moves in the
	// meantime are found in the pages.
	lines, err := segmentLines(ctx, l)
	if err != nil {
		return nil, err
	}
	paged, err := pageLines(ctx, l)
	if err != nil {
		return nil, err
	}
	lines = append(lines, paged...)
	slices.SortStableFunc(lines, compareLines)
	return lines, nil
}

// compareLines orders a line before the lines that it supersedes.
func compareLines(a, b Line) int {
	switch {
	case a.supersedes(b):
		return -1
	case b.supersedes(a):
		return 1
	}
	return 0
}

func segmentLines(ctx context.Context, l Lister) ([]Line, error) {
	objects, err := l.List(ctx, SegmentKind, "")
	if err != nil {
		return nil, fmt.Errorf("ledger segments could not be listed; try again once the platform answers: %w", err)
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
