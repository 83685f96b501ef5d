package member_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that every run gives the same result; -rapid.seed and -rapid.checks choose others.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
