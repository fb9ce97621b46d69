package subset

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes what rapid draws, so that a run gives the same verdict each
// time; -rapid.seed on the command line draws others.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		fmt.Fprintln(os.Stderr, "rapid's seed cannot be set:", err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}
