//go:build !race

package nutmegbudget

// rapidChecks is the number of runs per profile: 10,400 in total over the four
// profiles.
const rapidChecks = "2600"
