package grant

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the flag that TestMain sets
)

// TestMain fixes the seed of the randomised tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20260801")
	}
	os.Exit(m.Run())
}
