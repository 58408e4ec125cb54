package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"runtime/debug"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
)

// servedMetrics returns the names of the metrics that a daemon serves, without prefix and labels.
func servedMetrics(t *testing.T, addr string) []string {
	t.Helper()
	resp, err := http.Get("http://" + addr + metricsPath)
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

// documentedMetrics returns the names in the table of metrics in docs/OPERATIONS.md.
func documentedMetrics(t *testing.T) []string {
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

// TestMetricsAreDocumented guards against metrics that are missing in the documentation, and against
// documented ones that are not served. It first sends requests with different outcomes.
func TestMetricsAreDocumented(t *testing.T) {
	is := is.New(t)
	st, servers := startServers(t)
	d := startDaemon(t, "a-1", st.Addr())
	st.Put("op/config", fmt.Appendf(nil, config, 1, "k1"))
	eventually(t, "ready", d.isReady)
	servers["app1"].SetLimit("4")
	eventually(t, "permits are issued", func() bool {
		_, _, err := d.ask(t, "k1", "/file/1", false)
		is.NoErr(err)
		return slices.Contains(servedMetrics(t, d.ready), "server_limit_requests_total")
	})
	for range 4 {
		for _, key := range []string{"k1", "k2"} {
			_, _, err := d.ask(t, key, "/file/1", false)
			is.NoErr(err)
			_, _, err = d.ask(t, key, "/ask/1", true)
			is.NoErr(err)
		}
	}
	servers["d1"].SetFault(fake.Reset)
	_, _, err := d.ask(t, "k1", "/ask/1", true)
	is.NoErr(err)
	listed := documentedMetrics(t)
	is.True(len(listed) > 25)
	names := servedMetrics(t, d.ready)
	for _, n := range names {
		if !slices.Contains(listed, n) {
			t.Errorf("metric %s is served but not documented", n)
		}
	}
	rare := []string{"repeats_total", "repeats_missing_total"}
	for _, n := range listed {
		if !slices.Contains(names, n) && !slices.Contains(rare, n) {
			t.Errorf("metric %s is documented but not served", n)
		}
	}
}

// TestSettingsReload guards against a daemon that stops or no longer reloads after its settings
// file was invalid for a while.
func TestSettingsReload(t *testing.T) {
	is := is.New(t)
	st, _ := startServers(t)
	d := startDaemon(t, "a-1", st.Addr())
	good, err := os.ReadFile(d.settings)
	is.NoErr(err)
	is.NoErr(os.WriteFile(d.settings, []byte("no settings"), 0o600))
	eventually(t, "the invalid file is logged", func() bool { return strings.Contains(d.log.String(), "settings cannot be read") })
	is.NoErr(os.WriteFile(d.settings, append(good, "bounds.budgetRatio=0.7\n"...), 0o600))
	eventually(t, "the change is logged", func() bool { return strings.Contains(d.log.String(), `"repeats":0.7`) })
}

// TestMemoryLimitReload guards against a daemon whose memory limit was lowered and that takes as much of bodies as before.
func TestMemoryLimitReload(t *testing.T) {
	was := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(was) })
	is := is.New(t)
	st, _ := startServers(t)
	st.Put("op/config", fake.Config{Version: 9, Customers: []fake.Customer{{Name: "calm", Keys: []string{"calm"}, Rate: 1e6, Burst: 1e6}}}.JSON())
	d := startDaemon(t, "a-1", st.Addr())
	eventually(t, "the daemon is ready", d.isReady)
	send := func() int {
		r, err := fake.Call{ID: "x", Kind: fake.Idempotent, Key: "calm", Large: fake.MaxBodyBytes}.Request(t.Context(), d.front)
		is.NoErr(err)
		resp, err := http.DefaultTransport.RoundTrip(r)
		is.NoErr(err)
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	is.Equal(send(), http.StatusOK)
	set, err := os.ReadFile(d.settings)
	is.NoErr(err)
	is.NoErr(os.WriteFile(d.settings, append(set, "limits.memoryMb=10\n"...), 0o600))
	eventually(t, "the change is logged", func() bool { return strings.Contains(d.log.String(), `"memory":10000000`) })
	is.Equal(send(), http.StatusServiceUnavailable)
}
