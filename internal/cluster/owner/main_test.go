package owner_test

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid"
)

// TestMain fixes the seed of random tests, unless it is given.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
