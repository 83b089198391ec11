package nutmegstore

import (
	"flag"
	"os"
	"testing"
)

const (
	randomSeed    = "0"
	defaultChecks = "100"
)

// TestMain sets a fixed seed and the number of rapid checks unless they are given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == randomSeed {
		_ = flag.Set("rapid.seed", "1")
	}
	if flag.Lookup("rapid.checks").Value.String() == defaultChecks {
		_ = flag.Set("rapid.checks", "3000")
	}
	os.Exit(m.Run())
}
