package once_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives random schedules a fixed seed, unless the command line asks
// for another.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}
