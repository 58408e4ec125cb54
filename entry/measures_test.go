package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// served returns the names of the measures of a daemon, without prefix and
// labels.
func served(t *testing.T, addr string) []string {
	t.Helper()
	resp, err := http.Get("http://" + addr + measuresPath)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatal(resp.StatusCode, err)
	}
	var names []string
	for l := range strings.Lines(string(b)) {
		if name, ok := strings.CutPrefix(l, "# TYPE wasabidock_"); ok {
			names = append(names, strings.Fields(name)[0])
		}
	}
	return names
}

// documented returns the names in the table of docs/OPERATIONS.md.
func documented(t *testing.T) []string {
	t.Helper()
	b, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, _ := strings.Cut(string(b), "| measure of `entry` |")
	table, _, _ = strings.Cut(table, "\n\n")
	var names []string
	for l := range strings.Lines(table) {
		cells := strings.Split(l, "|")
		if len(cells) < 3 {
			continue
		}
		for _, m := range regexp.MustCompile("`([a-z_]+)[`{]").FindAllStringSubmatch(cells[1], -1) {
			names = append(names, m[1])
		}
	}
	return names
}

// TestMeasuresAreDocumented serves requests of all ends and compares what is
// served with what the documentation lists.
func TestMeasuresAreDocumented(t *testing.T) {
	is := is.New(t)
	st, _ := startFleet(t)
	d := startDaemon(t, "a-1", st.Addr())
	st.Put("op/config", fmt.Appendf(nil, config, 1, "k1"))
	eventually(t, "ready", d.isReady)
	for range 4 {
		for _, key := range []string{"k1", "k2"} {
			_, _, err := d.ask(t, key, "/file/1", false)
			is.NoErr(err)
			_, _, err = d.ask(t, key, "/ask/1", true)
			is.NoErr(err)
		}
	}
	listed := documented(t)
	is.True(len(listed) > 25)
	names := served(t, d.ready)
	for _, n := range names {
		if !slices.Contains(listed, n) {
			t.Errorf("%s is not documented", n)
		}
	}
	rare := []string{"repeats_total", "repeats_missing_total"}
	for _, n := range listed {
		if !slices.Contains(names, n) && !slices.Contains(rare, n) {
			t.Errorf("%s is not served", n)
		}
	}
}

// TestSettingsChange has the settings file change while a daemon runs, for the
// worse in between.
func TestSettingsChange(t *testing.T) {
	is := is.New(t)
	st, _ := startFleet(t)
	d := startDaemon(t, "a-1", st.Addr())
	good, err := os.ReadFile(d.settings)
	is.NoErr(err)
	is.NoErr(os.WriteFile(d.settings, []byte("no settings"), 0o600))
	eventually(t, "the fault is told", func() bool { return strings.Contains(d.log.String(), "settings cannot be read") })
	is.NoErr(os.WriteFile(d.settings, append(good, "bounds.budgetRatio=0.7\n"...), 0o600))
	eventually(t, "the change is told", func() bool { return strings.Contains(d.log.String(), `"repeats":0.7`) })
}
