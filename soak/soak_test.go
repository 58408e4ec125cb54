package main

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// buildEntry builds the daemon's program.
func buildEntry(t *testing.T) string {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	bin := filepath.Join(t.TempDir(), "entry")
	cmd := exec.CommandContext(t.Context(), "go", "build", "-o", bin, "../entry")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}

// TestSoak plays one seed on real daemons.
func TestSoak(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	code := run(t.Context(), []string{"-entry", buildEntry(t), "-first", "7", "-trouble", "8s", "-quiet", "16s"}, &out)
	t.Log(out.String())
	is.Equal(code, 0)
}

// TestPlanted has calls run at servers that are to be left alone or with what belongs to
// others, and has the whole tool see it.
func TestPlanted(t *testing.T) {
	bin := buildEntry(t)
	for _, tt := range []struct {
		plant string
		step  step
		want  string // the promise that is broken
	}{
		{"drain", step{act: depart, lasts: departTime}, "drain"},
		{"leaving", step{act: announce, lasts: departTime}, "leaving"},
		{"rests", step{act: rest, lasts: longest}, "rests"},
		{"named", step{act: nameLimit, limit: "2.5", lasts: limitTime}, "named"},
		{"answer", step{act: publish}, "whole"},
		{"handle", step{act: publish}, "mixed"},
		{"again", step{act: publish}, "mixed"},
		{"reserved", step{act: publish}, "mixed"},
	} {
		t.Run(tt.plant, func(t *testing.T) {
			is := is.New(t)
			f := flags{entry: bin, daemons: 2, quiet: time.Second, plant: tt.plant}
			rec, err := play(t.Context(), f, 1, t.TempDir(), []step{tt.step})
			is.NoErr(err)
			is.True(strings.Contains("\n"+strings.Join(judge(rec), "\n"), "\n"+tt.want+": "))
		})
	}
}

// TestServerLimitHoldsOverAllInstances guards against instances that each send a server what it accepts from all together.
func TestServerLimitHoldsOverAllInstances(t *testing.T) {
	is := is.New(t)
	f := flags{entry: buildEntry(t), daemons: 3, quiet: time.Second}
	rec, err := play(t.Context(), f, 1, t.TempDir(), []step{
		{act: nameLimit, target: 0, limit: "2.5", lasts: limitTime},
		{act: nameLimit, target: 1, limit: "0.5", lasts: limitTime},
		{act: nameLimit, target: 3, limit: "2.5", lasts: limitTime},
		{act: nameLimit, target: 5, limit: "2.5", lasts: limitTime},
	})
	is.NoErr(err)
	is.Equal(serverLimitsKept(rec), "")
}
