// Package layers states which of the project's libraries may import which.
//
// # Usage
//
//	allowed := layers.Allowed["nutmegbudget"]
package layers

// Allowed lists, for each library, the project's libraries that it may import.
// The middle libraries do not import each other: nutmegnode joins them.
var Allowed = map[string][]string{
	"nutmegid":     {},
	"nutmegtime":   {"nutmegid"},
	"nutmegstore":  {"nutmegid"},
	"nutmegbudget": {"nutmegid", "nutmegstore"},
	"nutmegledger": {"nutmegid", "nutmegstore"},
	"nutmegorder":  {"nutmegid", "nutmegstore"},
	"nutmegconf":   {"nutmegid", "nutmegstore"},
	"nutmegroute":  {"nutmegid"},
	"nutmegpeer":   {"nutmegid", "nutmegtime"},
	"nutmegstand":  {"nutmegid", "nutmegtime"},
	"internal":     {"nutmegid", "nutmegstore", "nutmegbudget", "nutmegpeer", "nutmegconf"},
	"platform":     {"nutmegid", "nutmegstore", "nutmegconf", "internal"},
}
