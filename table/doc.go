// Package table reads, checks, compares and splits the table that operators
// publish: customers, keys, weights, limits, seats, models, backend servers
// and routes.
//
// # Usage
//
//	t, faults := table.Parse(12, []table.File{{Name: "fleet.csv", Data: data}})
//	if len(faults) > 0 {
//		// t is nil; each fault names file, row, column and reason
//	}
//	head, parts := t.Split()           // what is published
//	same, faults := table.Load(head, parts) // what an instance takes
//
// # Form
//
// A table is any number of CSV files. The first cell of a row names its kind.
// The first row of a kind in a file is the header of that kind and names its
// columns in any order. Rows whose first cell starts with '#' are comments.
//
//	centre,name,region
//	centre,sierra-a,sierra
//	seat,name,centre,share
//	seat,sierra-a-1,sierra-a,1000000
//
// # Invariants
//
// A Table is immutable and has passed every check. Parse is deterministic: the
// same bytes give the same table or the same faults in the same order, so all
// instances decide alike. No key is part of a table, only SHA-256 sums of keys.
package table
