package router_test

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	// A fixed seed makes a failure of a property repeatable; the command line may set another one.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
