// Package seeds checks properties over random schedules with fixed seeds, for tests.
//
// # Usage
//
//	seeds.Check(t, 100, func(rt *rapid.T) {
//		n := rapid.IntRange(1, 3).Draw(rt, "n")
//		...
//	})
package seeds

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// first is the seed with which all checks begin.
const first = 20261204

// Check checks a property with the given number of schedules of a fixed seed. If WASABI_SOAK is set, it continues with the
// next seeds for that many seconds. Tests that call it must not run in parallel, as it sets flags.
func Check(t *testing.T, schedules int, prop func(*rapid.T)) {
	t.Helper()
	soak, _ := strconv.Atoi(os.Getenv("WASABI_SOAK")) // 0 if it is not set
	end := time.Now().Add(time.Duration(soak) * time.Second)
	runs := 0
	counted := func(rt *rapid.T) {
		runs++
		prop(rt)
	}
	set(t, "rapid.checks", strconv.Itoa(schedules))
	set(t, "rapid.nofailfile", "true")
	for seed := first; ; seed++ {
		set(t, "rapid.seed", strconv.Itoa(seed))
		rapid.Check(t, counted)
		if t.Failed() || !time.Now().Before(end) {
			break
		}
	}
	t.Logf("%d schedules", runs)
}

// set sets a flag.
func set(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
