package keeper

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that each run draws the same values; -rapid.seed on the command
// line sets another.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		fmt.Fprintln(os.Stderr, "cannot set rapid's seed:", err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}
