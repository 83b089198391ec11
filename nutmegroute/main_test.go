package nutmegroute

import (
	"flag"
	"os"
	"testing"
)

// randomSeed is the value of -rapid.seed that selects a random seed.
const randomSeed = "0"

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == randomSeed {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
