package main

import (
	"os"
	"testing"
)

// runMainEnv makes a copy of the test's program run the command instead of the tests.
const runMainEnv = "CATKINSTEP_RUN_MAIN"

// TestMain runs the command in processes that startCommand has started, and the tests otherwise.
func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}
