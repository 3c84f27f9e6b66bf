package router

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260306", "rapid.nofailfile": "true"} {
		if flag.Lookup(name).Value.String() == flag.Lookup(name).DefValue {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
