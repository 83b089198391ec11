package nutmegledger

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the rapid checks unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
