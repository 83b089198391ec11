// Package layers defines which libraries of the project may import which others.
//
// # Usage
//
//	allowed := layers.AllowedImports["nutmegbudget"]
package layers

// AllowedImports lists, for each library, the libraries of the project that it
// may import. The libraries from nutmegbudget to nutmegpeer do not import each
// other; nutmegnode combines them.
var AllowedImports = map[string][]string{
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
