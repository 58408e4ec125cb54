package table_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/table"
)

// testKeyPrefix and the name of a customer make the key of that customer in
// the example tables. These keys are for tests only and open nothing.
const testKeyPrefix = "wk_TEST-ONLY-"

func example(t testing.TB, name string) table.File {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return table.File{Name: name, Data: data}
}

func parse(t testing.TB, revision uint64, files ...table.File) *table.Table {
	t.Helper()
	tab, faults := table.Parse(revision, files)
	for _, f := range faults {
		t.Error(f)
	}
	if tab == nil {
		t.Fatal("table refused")
	}
	return tab
}

func edit(t testing.TB, f table.File, from, to string) table.File {
	t.Helper()
	if strings.Count(string(f.Data), from) != 1 {
		t.Fatalf("%q is there %d times, want once", from, strings.Count(string(f.Data), from))
	}
	return table.File{Name: f.Name, Data: []byte(strings.Replace(string(f.Data), from, to, 1))}
}

func TestExamples(t *testing.T) {
	tests := []struct {
		name, file, customer, model, path, route string
		seats, engines                           int
	}{
		{"intercambio", "intercambio.csv", "quito", "dossier", "/placements/7", "status", 9, 20},
		{"koperasi", "koperasi.csv", "lasem", "opinion", "/filings/new", "file", 8, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tab := parse(t, 7, example(t, tt.file))
			is.Equal(tab.Revision(), uint64(7))
			is.Equal(len(tab.Seats()), tt.seats)
			is.Equal(len(tab.Customers()), 5)
			engines := 0
			for _, c := range tab.Centres() {
				engines += len(tab.ServersOf(c.Name, ident.Model(tt.model)))
			}
			is.Equal(engines, tt.engines)
			owner, ok := tab.KeyOwner(table.KeySum(testKeyPrefix + tt.customer))
			is.True(ok)
			is.Equal(owner, ident.Customer(tt.customer))
			_, ok = tab.KeyOwner(table.KeySum(testKeyPrefix + "nobody"))
			is.True(!ok)
			route, ok := tab.RouteFor(tt.path)
			is.True(ok)
			is.Equal(route.Name, ident.Route(tt.route))
			_, ok = tab.RouteFor(tt.path[:4])
			is.True(!ok)
		})
	}
}

func TestFaults(t *testing.T) {
	tests := []struct{ name, from, to, want string }{
		{"shares", "sierra-a,111112", "sierra-a,111113", "intercambio.csv:10: share: the shares of all seats must add up to 1000000, they add up to 1000001"},
		{"no number", "sierra-a,111112", "sierra-a,lots", `intercambio.csv:10: share: seat "sierra-a-1": "lots" must be a whole number from 0 to 1000000`},
		{"duplicate", "loja,1,3000,60000", "cuenca,1,3000,60000", `customer "cuenca": is there already in row 27 of intercambio.csv`},
		{"unknown owner", "key,manta,", "key,mata,", `intercambio.csv:35: customer: key of "mata": "mata" is no customer of the table`},
		{"key in the clear", "sha256:800147c629e0", "wk_800147c629e0", "must be the hash of a key"},
		{"unknown kind", "customer,loja", "custom,loja", `intercambio.csv:28: "custom" is no kind of row`},
		{"unknown column", "weight,rate,burst", "weight,speed,burst", "the header of customer lacks this column"},
		{"extra cell", "loja,1,3000,60000", "loja,1,3000,60000,9", "has more cells than its header in row 24"},
		{"bad quote", "customer,loja,1", `customer,lo"ja,1`, "is not CSV"},
		{"own path", "status,/placements,", "status,/v1/models,", "is answered by the router itself"},
		{"same prefix", "status,/placements,", "status,/about,", `"/about" is the prefix of route "about" too`},
		{"no servers", "status,/placements,app", "status,/placements,apps", `"apps" is no service of any server`},
		{"address", "10.1.1.1:8000", "engine.example:8000", "must be an IP number and a port"},
		{"class", "first_token,token_gap", "token_gap,first_token", ""},
		{"duration", "30s,1048576", "30,1048576", "must be a duration from 1ms to 1h0m0s"},
		{"key age", "1048576,1h,sierra-a", "1048576,,sierra-a", "must be a duration from 1s to 24h0m0s"},
		{"home", "1h,sierra-a", "1h,sierra-c", `"sierra-c" is no data centre of the table`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, faults := table.Parse(1, []table.File{edit(t, example(t, "intercambio.csv"), tt.from, tt.to)})
			var all []string
			for _, f := range faults {
				all = append(all, f.String())
			}
			got := strings.Join(all, "\n")
			if !strings.Contains(got, tt.want) || (tt.want == "") != (got == "") {
				t.Errorf("faults:\n%s\nwant %q", got, tt.want)
			}
			if strings.Contains(got, "wk_8001") {
				t.Errorf("a fault shows a key: %s", got)
			}
		})
	}
}
