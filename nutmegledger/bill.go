package nutmegledger

import (
	"context"
	"fmt"

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
	Repeated int                      `json:"repeated_lines"`
}

// Fold reads all segments and bills each request once.
func Fold(ctx context.Context, l Lister) (Bills, error) {
	objects, err := l.List(ctx, SegmentKind, "")
	if err != nil {
		return Bills{}, fmt.Errorf("ledger could not be listed: %w", err)
	}
	bills := Bills{Owners: make(map[nutmegid.Owner]*Bill)}
	seen := make(map[nutmegid.RequestID]bool)
	for _, object := range objects {
		doc, err := nutmegstore.Decode[Segment](object)
		if err != nil {
			return Bills{}, err
		}
		for _, line := range doc.Body.Lines {
			if seen[line.Request] {
				bills.Repeated++
				continue
			}
			seen[line.Request] = true
			bills.add(line)
		}
	}
	return bills, nil
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
