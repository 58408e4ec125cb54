package replay_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/replay"
)

const seed = 1

var traces = []string{"intercambio", "koperasi"}

func read(t *testing.T, name string) *replay.Trace {
	t.Helper()
	f, err := os.Open(filepath.Join("testdata", name+".csv"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	tr, err := replay.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	return tr
}

func TestTracesMatchTheirShapes(t *testing.T) {
	for _, name := range traces {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			shape, err := replay.ShapeOf(name)
			is.NoErr(err)
			var b bytes.Buffer
			is.NoErr(replay.Generate(shape, seed).Write(&b))
			want, err := os.ReadFile(filepath.Join("testdata", name+".csv"))
			is.NoErr(err)
			is.True(bytes.Equal(b.Bytes(), want))
		})
	}
}

func TestSameSeedGivesSameResult(t *testing.T) {
	is := is.New(t)
	tr := read(t, "koperasi")
	var out [2]bytes.Buffer
	for i := range out {
		var set []replay.Result
		for _, p := range replay.Policies() {
			set = append(set, replay.Run(tr, replay.Options{Load: 1.5, Policy: p, Seed: seed}))
		}
		is.NoErr(replay.WriteTable(&out[i], set))
		is.NoErr(replay.WriteJSON(&out[i], set))
		is.NoErr(replay.WritePlot(&out[i], set))
	}
	is.True(out[0].Len() > 0)
	is.True(bytes.Equal(out[0].Bytes(), out[1].Bytes()))
}

// TestBelowCapacity checks the requirements for loads of up to 0.9 of the
// capacity.
func TestBelowCapacity(t *testing.T) {
	for _, name := range traces {
		for _, load := range []float64{0.5, 0.7, 0.9} {
			r := replay.Run(read(t, name), replay.Options{Load: load, Seed: seed})
			if r.Wrongful != 0 {
				t.Errorf("%s at %.1f: %d requests within their customers' limits were refused", name, load, r.Wrongful)
			}
			if r.GoodPart < 0.95 {
				t.Errorf("%s at %.1f: %.3f of the requests met both targets, want 0.95", name, load, r.GoodPart)
			}
		}
	}
}

// TestOverload checks the requirements for loads above the capacity, while one
// customer sends five times its rate.
func TestOverload(t *testing.T) {
	for _, name := range traces {
		tr := read(t, name)
		full := replay.Run(tr, replay.Options{Load: 1, Seed: seed})
		for _, load := range []float64{1.5, 3} {
			for _, quiet := range []bool{false, true} {
				r := replay.Run(tr, replay.Options{Load: load, Seed: seed, NoCancels: quiet})
				if r.GoodRate < 0.9*full.GoodRate {
					t.Errorf("%s at %.1f: goodput %.2f requests/s, want 0.9 of %.2f", name, load, r.GoodRate, full.GoodRate)
				}
				if r.GoodTokens < 0.9*full.GoodTokens {
					t.Errorf("%s at %.1f: goodput %.0f tokens/s, want 0.9 of %.0f", name, load, r.GoodTokens, full.GoodTokens)
				}
				if r.Waste > 0.01 {
					t.Errorf("%s at %.1f: %.4f of the prefill was wasted, want at most 0.01", name, load, r.Waste)
				}
				if r.Worst < 0.9 {
					t.Errorf("%s at %.1f: the worst-served customer got %.3f of its share, want 0.9", name, load, r.Worst)
				}
			}
		}
	}
}

// TestSharedLaggingReport compares eight entry instances whose load reports are
// 500 ms old with a single one whose reports are up to date.
func TestSharedLaggingReport(t *testing.T) {
	for _, name := range traces {
		tr := read(t, name)
		for _, load := range []float64{0.9, 1, 1.5, 3} {
			one := replay.Run(tr, replay.Options{Load: load, Seed: seed, Entries: 1, ReportLag: time.Millisecond, ReportEvery: 10 * time.Millisecond})
			eight := replay.Run(tr, replay.Options{Load: load, Seed: seed, Entries: 8, ReportLag: 500 * time.Millisecond})
			if eight.GoodRate < 0.95*one.GoodRate {
				t.Errorf("%s at %.1f: goodput %.2f requests/s, want 0.95 of %.2f", name, load, eight.GoodRate, one.GoodRate)
			}
		}
	}
}

// TestLostScheduler replaces the scheduler in the middle of the trace. The new one
// learns the present placements from load reports and heartbeats.
func TestLostScheduler(t *testing.T) {
	for _, name := range traces {
		tr := read(t, name)
		tr.Events = append(tr.Events, replay.Event{At: 35 * time.Second, Kind: replay.EventLoss})
		for _, load := range []float64{0.9, 1.5} {
			r := replay.Run(tr, replay.Options{Load: load, Seed: seed})
			t.Logf("%s at %.1f: goodput %.2f requests/s, all placements sent %d times", name, load, r.GoodRate, r.Resends)
			if r.Resends == 0 || r.Resends > 8 { // once for each entry instance
				t.Errorf("%s at %.1f: all placements were sent %d times", name, load, r.Resends)
			}
			if r.Waste > 0.01 || r.Worst < 0.9 {
				t.Errorf("%s at %.1f: waste %.4f, worst %.3f", name, load, r.Waste, r.Worst)
			}
			if load < 1 && (r.Wrongful > 0 || r.GoodPart < 0.95) {
				t.Errorf("%s at %.1f: %d wrongful refusals, %.3f good", name, load, r.Wrongful, r.GoodPart)
			}
		}
	}
}

// TestBaselinesFail checks that the policies that the router is compared with do
// not meet the requirements of TestOverload.
func TestBaselinesFail(t *testing.T) {
	tests := []struct {
		name   string
		policy replay.Policy
		fails  func(r *replay.Result) bool
	}{
		{"first come is unfair", replay.FirstCome, func(r *replay.Result) bool { return r.Worst < 0.9 }},
		{"round robin wastes prefill", replay.RoundRobin, func(r *replay.Result) bool { return r.Waste > 0.01 }},
		{"least loaded wastes prefill", replay.LeastLoaded, func(r *replay.Result) bool { return r.Waste > 0.01 }},
		{"a scheduler in each instance is unfair", replay.Each, func(r *replay.Result) bool { return r.Worst < 0.9 }},
	}
	tr := read(t, "intercambio")
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := replay.Run(tr, replay.Options{Load: 1.5, Policy: tt.policy, Seed: seed})
			is.True(tt.fails(&r))
		})
	}
}

func TestMaxMin(t *testing.T) {
	tests := []struct {
		name     string
		capacity float64
		demand   []float64
		weight   []float64
		want     []float64
	}{
		{"demand below capacity", 10, []float64{2, 3}, []float64{1, 1}, []float64{2, 3}},
		{"equal", 10, []float64{20, 20}, []float64{1, 1}, []float64{5, 5}},
		{"by weight", 12, []float64{20, 20}, []float64{1, 3}, []float64{3, 9}},
		{"unused share is divided among the others", 12, []float64{2, 20, 20}, []float64{1, 1, 1}, []float64{2, 5, 5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(replay.MaxMin(tt.capacity, tt.demand, tt.weight), tt.want)
		})
	}
}

func TestReadErrorNamesLine(t *testing.T) {
	tests := []struct {
		name string
		in   string
		want string
	}{
		{"unknown kind", "pool,t,c,m,1,1000\nfoo,1\n", `trace line 2: unknown kind of record "foo"`},
		{"missing field", "pool,t,c,m\n", "trace line 1: field 5 is missing"},
		{"no pool", "", "trace has no pool record"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := replay.Read(bytes.NewBufferString(tt.in))
			is.True(err != nil)
			is.Equal(err.Error(), tt.want)
		})
	}
}
