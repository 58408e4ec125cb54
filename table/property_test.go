package table_test

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabidock.dev/dock/table"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20")
	}
	os.Exit(m.Run())
}

// large returns a table of n customers with one key each.
func large(n int) string {
	var b strings.Builder
	b.WriteString("centre,name,region\ncentre,a,r\nseat,name,centre,share\nseat,a-1,a,1000000\n")
	b.WriteString("customer,name,weight,rate,burst\n")
	for i := range n {
		fmt.Fprintf(&b, "customer,customer-%d,1,%d,1000000\n", i, 1000+i)
	}
	b.WriteString("key,customer,hash\n")
	for i := range n {
		fmt.Fprintf(&b, "key,customer-%d,%s\n", i, table.FormatSum(table.KeySum(fmt.Sprint("wk_TEST-ONLY-", i))))
	}
	return b.String()
}

func sums(h table.Head) map[[32]byte]bool {
	out := make(map[[32]byte]bool)
	for _, p := range h.Parts {
		out[p.Sum] = true
	}
	return out
}

// An edited row changes one part, which may fall in two; parts are small, and
// what is split loads as the same table.
func TestSplitIsStable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 1500).Draw(rt, "customers")
		edited := rapid.IntRange(0, n-1).Draw(rt, "edited")
		rate := rapid.Int64Range(1, 1_000_000_000).Draw(rt, "rate")
		text := large(n)
		from := parse(t, 1, table.File{Name: "a", Data: []byte(text)})
		old := fmt.Sprintf("customer,customer-%d,1,%d,", edited, 1000+edited)
		to := parse(t, 2, table.File{Name: "a", Data: []byte(strings.Replace(text, old, fmt.Sprintf("customer,customer-%d,1,%d,", edited, rate), 1))})

		before, _ := from.Split()
		head, parts := to.Split()
		known, fresh, bytes := sums(before), 0, 0
		for i, p := range head.Parts {
			if p.Size != len(parts[i]) || p.Size > table.MaxPartBytes {
				rt.Fatalf("part of %d bytes is named with %d", len(parts[i]), p.Size)
			}
			if !known[p.Sum] {
				fresh, bytes = fresh+1, bytes+p.Size
			}
		}
		if fresh > 2 || bytes > table.MaxPartBytes || fresh == 0 && rate != int64(1000+edited) {
			rt.Fatalf("one edited row made %d new parts of %d bytes", fresh, bytes)
		}
		again, err := table.ParseHead(head.Encode())
		if err != nil {
			rt.Fatal(err)
		}
		loaded, faults := table.Load(again, parts)
		if len(faults) > 0 || len(table.Diff(to, loaded)) > 0 || loaded.Revision() != 2 {
			rt.Fatalf("loaded another table: %v %v", faults, table.Diff(to, loaded))
		}
		if d := table.Diff(from, loaded); rate != int64(1000+edited) && len(d) != 1 {
			rt.Fatalf("one edited row is %d changes: %v", len(d), d)
		}
	})
}

func TestLoadRefusesForeignPart(t *testing.T) {
	is := is.New(t)
	head, parts := parse(t, 1, table.File{Name: "a", Data: []byte(large(500))}).Split()
	is.True(len(parts) > 1)
	parts[1] = append([]byte{}, parts[1]...)
	parts[1][len(parts[1])-2]++
	_, faults := table.Load(head, parts)
	is.Equal(len(faults), 1)
	_, faults = table.Load(head, parts[1:])
	is.Equal(len(faults), 1)
}

// The size to design for: 5,300 customers.
func TestSizeAt5300Customers(t *testing.T) {
	text := []byte(large(5300))
	heap := heapBytes()
	var took [2]time.Duration
	start := time.Now()
	tab := parse(t, 1, table.File{Name: "a", Data: text})
	took[0] = time.Since(start)
	start = time.Now()
	head, parts := tab.Split()
	took[1] = time.Since(start)
	total := 0
	for _, p := range parts {
		total += len(p)
	}
	size := len(head.Encode())
	held := heapBytes() - heap
	t.Logf("%d bytes of table, %d parts of %d bytes on average, head of %d bytes; parsed in %v, split in %v; table and parts take %.1f MB of memory",
		len(text), len(parts), total/len(parts), size, took[0], took[1], float64(held)/1e6)
	runtime.KeepAlive(tab)
	if size > table.MaxPartBytes {
		t.Errorf("head has %d bytes, at most %d", size, table.MaxPartBytes)
	}
}

// heapBytes returns the bytes of live objects.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"intercambio.csv", "koperasi.csv"} {
		f.Add(example(f, name).Data)
	}
	f.Add([]byte("centre,name,region\ncentre,a,r\nseat,name,centre,share\nseat,a-1,a,1000000\n"))
	f.Add([]byte("\xef\xbb\xbfseat,share,name,centre\r\nseat,\"1000000\",a,b\r\n#x\r\n,,\r\n\"unclosed"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file := table.File{Name: "fuzz", Data: data}
		tab, faults := table.Parse(1, []table.File{file})
		if (tab == nil) != (len(faults) > 0) {
			t.Fatalf("table %v with faults %v", tab, faults)
		}
		if tab == nil {
			_, again := table.Parse(1, []table.File{file})
			if fmt.Sprint(again) != fmt.Sprint(faults) {
				t.Fatalf("faults %v, then %v", faults, again)
			}
			return
		}
		head, parts := tab.Split()
		loaded, faults := table.Load(head, parts)
		if len(faults) > 0 || len(table.Diff(tab, loaded)) > 0 {
			t.Fatalf("split and loaded: %v", faults)
		}
	})
}

func FuzzParseHead(f *testing.F) {
	head, _ := parse(f, 3, example(f, "koperasi.csv")).Split()
	f.Add(head.Encode())
	f.Add([]byte("head,revision\nhead,1\npart,sum,size\npart,00,-1\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := table.ParseHead(data)
		if err != nil {
			return
		}
		again, err := table.ParseHead(h.Encode())
		if err != nil || len(again.Parts) != len(h.Parts) || again.Revision != h.Revision {
			t.Fatalf("%v: %v became %v", err, h, again)
		}
	})
}

func TestDiff(t *testing.T) {
	tests := []struct{ name, from, to, want string }{
		{"nothing", "loja,1,3000,60000", "loja,1,3000,60000", ""},
		{"rate and burst", "loja,1,3000,60000", "loja,1,4000,50000", "customer loja: rate 3000 → 4000, burst 60000 → 50000"},
		{"key withdrawn", "key,loja,sha256:3d3447e2", "#key,loja,sha256:3d3447e2", "key of loja sha256:3d3447e2a506… is removed"},
		{"last key", "key,loja,sha256:3d3447e2", "#key,loja,sha256:3d3447e2", "customer loja: its last key is withdrawn"},
		{"burst", "loja,1,3000,60000", "loja,1,3000,41000", "its burst of 41000 tokens is less than the largest request of 42000"},
		{"shares", "sierra-a,111112\nseat,sierra-a-2,sierra-a,111111", "sierra-a,111111\nseat,sierra-a-2,sierra-a,111112", "share: sierra-a-2 grows while sierra-a-1 shrinks"},
		{"home", "1h,sierra-a", "1h,sierra-b", "route confirm: the seats that run calls with a key change"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			file := example(t, "intercambio.csv")
			from, to := parse(t, 1, file), parse(t, 2, edit(t, file, tt.from, tt.to))
			var all []string
			for _, c := range table.Diff(from, to) {
				all = append(all, c.String())
			}
			all = append(all, table.Warnings(from, to)...)
			got := strings.Join(all, "\n")
			if !strings.Contains(got, tt.want) || (tt.want == "") != (got == "") {
				t.Errorf("got:\n%s\nwant %q", got, tt.want)
			}
		})
	}
}

func TestNewKey(t *testing.T) {
	is := is.New(t)
	key, sum, err := table.NewKey(strings.NewReader(strings.Repeat("x", 24)))
	is.NoErr(err)
	is.True(strings.HasPrefix(key, "wk_"))
	is.Equal(table.KeySum(key), sum)
	_, _, err = table.NewKey(strings.NewReader("short"))
	is.True(err != nil)
}
