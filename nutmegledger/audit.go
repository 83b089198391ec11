package nutmegledger

import (
	"maps"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Spending is one owner's token usage according to its budget.
type Spending struct {
	Spent      nutmegid.Tokens `json:"spent"`       // settled tokens, without those written off
	WrittenOff nutmegid.Tokens `json:"written_off"` // tokens of released lease holders, whose actual use is unknown
	Leased     nutmegid.Tokens `json:"leased"`      // tokens in leases, used or not
}

// Statement compares one owner's bill with its budget.
type Statement struct {
	Owner    nutmegid.Owner  `json:"owner"`
	Requests int             `json:"requests"`
	Billed   nutmegid.Tokens `json:"billed"`
	Spending
	// Unbilled is settled usage without a ledger line: requests whose lines are
	// not written yet, and requests for which every copy of the line was lost.
	Unbilled nutmegid.Tokens `json:"unbilled"`
	// Unsettled is billed usage that the lease holder has not settled: it is
	// still part of Leased or WrittenOff.
	Unsettled nutmegid.Tokens `json:"unsettled"`
	// Consistent reports whether spent + unsettled = billed + unbilled and the
	// unsettled tokens are covered by leased and written-off tokens.
	Consistent bool `json:"holds"`
}

// Audit returns a statement for each owner that accounts for the difference
// between the budget's spending and the bill.
func Audit(bills Bills, spending map[nutmegid.Owner]Spending) []Statement {
	owners := make(map[nutmegid.Owner]bool)
	for owner := range bills.Owners {
		owners[owner] = true
	}
	for owner := range spending {
		owners[owner] = true
	}
	var statements []Statement
	for _, owner := range slices.Sorted(maps.Keys(owners)) {
		s := Statement{Owner: owner, Spending: spending[owner]}
		if bill, ok := bills.Owners[owner]; ok {
			s.Requests = bill.Requests
			s.Billed = bill.Tokens
		}
		s.Unbilled = max(0, s.Spent-s.Billed)
		s.Unsettled = max(0, s.Billed-s.Spent)
		s.Consistent = s.Unsettled <= s.Leased+s.WrittenOff
		statements = append(statements, s)
	}
	return statements
}
