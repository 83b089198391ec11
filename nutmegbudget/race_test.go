//go:build race

package nutmegbudget

// rapidChecks is the number of runs per profile. It is smaller with the race
// detector, which slows runs down tenfold; CI makes the full number of runs
// without it.
const rapidChecks = "400"
