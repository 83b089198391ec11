package nutmegledger

import (
	"maps"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Spending is what the budgets hold of one owner.
type Spending struct {
	Spent      nutmegid.Tokens `json:"spent"`       // settled, without what was written off
	WrittenOff nutmegid.Tokens `json:"written_off"` // of released holders; true use unknown
	Leased     nutmegid.Tokens `json:"leased"`      // in leases, used or not
}

// Statement compares one owner's bill with its budget.
type Statement struct {
	Owner    nutmegid.Owner  `json:"owner"`
	Requests int             `json:"requests"`
	Billed   nutmegid.Tokens `json:"billed"`
	Spending
	// Unbilled is settled spend without a line: requests whose lines are not
	// written yet, and those that died with every copy of their line.
	Unbilled nutmegid.Tokens `json:"unbilled"`
	// Unsettled is billed use that its holder has not settled: it is still
	// inside Leased or WrittenOff.
	Unsettled nutmegid.Tokens `json:"unsettled"`
	// Holds says whether spent + unsettled = billed + unbilled and the
	// unsettled part fits into leased and written off tokens.
	Holds bool `json:"holds"`
}

// Audit states, for each owner, how spend and bill differ and why.
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
		s.Holds = s.Unsettled <= s.Leased+s.WrittenOff
		statements = append(statements, s)
	}
	return statements
}
