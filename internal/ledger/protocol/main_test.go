package protocol

import (
	"flag"
	"os"
	"testing"
)

// TestMain raises the number and length of property-test runs above rapid's defaults; flags override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "2000", "rapid.steps": "150"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
