package limit_test

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	firstSeed = 20261204
	checks    = "3000"
)

// checkSeeds checks a property with a fixed seed. If WASABI_SOAK is set, it continues with the next
// seeds for that many seconds.
func checkSeeds(t *testing.T, prop func(*rapid.T)) {
	t.Helper()
	soak, _ := strconv.Atoi(os.Getenv("WASABI_SOAK"))
	end := time.Now().Add(time.Duration(soak) * time.Second)
	runs := 0
	counted := func(rt *rapid.T) {
		runs++
		prop(rt)
	}
	if err := flag.Set("rapid.checks", checks); err != nil {
		t.Fatal(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatal(err)
	}
	for seed := firstSeed; ; seed++ {
		if err := flag.Set("rapid.seed", strconv.Itoa(seed)); err != nil {
			t.Fatal(err)
		}
		rapid.Check(t, counted)
		if t.Failed() || !time.Now().Before(end) {
			break
		}
	}
	t.Logf("%d schedules", runs)
}
