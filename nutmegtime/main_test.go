package nutmegtime

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests unless -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
