package protocol

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests more and longer runs than the library's defaults; flags override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "2000", "rapid.steps": "150"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
