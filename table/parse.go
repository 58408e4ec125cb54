package table

import (
	"bytes"
	"encoding/csv"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// File is one CSV file or published part of a table.
type File struct {
	Name string
	Data []byte
}

// Fault is one reason why a table is refused.
type Fault struct {
	File   string
	Row    int    // line in the file, 0 for the whole file
	Column string // empty for the whole row
	Reason string
}

// String returns "file:row: column: reason".
func (f Fault) String() string {
	s := f.File
	if f.Row > 0 {
		s += ":" + strconv.Itoa(f.Row)
	}
	if f.Column != "" {
		s += ": " + f.Column
	}
	return s + ": " + f.Reason
}

// Parse reads and checks a table. If there are faults, the table is nil. The
// faults are in the order of files, rows and columns.
func Parse(revision uint64, files []File) (*Table, []Fault) {
	c := newChecker(files)
	for i := range files {
		c.read(i)
	}
	t := c.build(revision)
	if faults := c.sorted(); len(faults) > 0 {
		return nil, faults
	}
	return t, nil
}

// checker collects the rows and the faults of a table.
type checker struct {
	files  []File
	rows   map[string][]row // by kind
	faults []located
}

// located is a fault with its place in the order of faults.
type located struct {
	file, column int
	Fault
}

func newChecker(files []File) *checker {
	return &checker{files: files, rows: make(map[string][]row)}
}

func (c *checker) fault(r row, column, reason string) {
	position := -1
	if r.kind != nil {
		position = r.kind.position(column)
		if len(r.cells) > 0 {
			reason = r.kind.name + " " + quoteID(r) + ": " + reason
		}
	}
	c.faults = append(c.faults, located{r.file, position, Fault{c.files[r.file].Name, r.line, column, reason}})
}

// quoteID shows which row a fault is about. A key row is told by its
// customer, since its hash cell may hold a key by mistake.
func quoteID(r row) string {
	if r.kind.name == "key" {
		return "of " + quote(r.cells[r.kind.position("customer")])
	}
	return quote(r.id())
}

func (c *checker) sorted() []Fault {
	sort.SliceStable(c.faults, func(i, j int) bool {
		a, b := c.faults[i], c.faults[j]
		if a.file != b.file {
			return a.file < b.file
		}
		if a.Row != b.Row {
			return a.Row < b.Row
		}
		if a.column != b.column {
			return a.column < b.column
		}
		return a.Reason < b.Reason
	})
	out := make([]Fault, len(c.faults))
	for i, f := range c.faults {
		out[i] = f.Fault
	}
	return out
}

var byteOrderMark = []byte("\xef\xbb\xbf")

// read takes the rows of one file.
func (c *checker) read(file int) {
	data := bytes.TrimPrefix(c.files[file].Data, byteOrderMark)
	if len(data) > maxFileBytes {
		c.fault(row{file: file}, "", "is larger than "+strconv.Itoa(maxFileBytes)+" bytes")
		return
	}
	r := csv.NewReader(bytes.NewReader(data))
	r.FieldsPerRecord = -1
	r.ReuseRecord = true
	headers := make(map[string]header)
	for {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		var bad *csv.ParseError
		if errors.As(err, &bad) {
			c.fault(row{file: file, line: bad.Line}, "", "is not CSV: "+bad.Err.Error())
			continue
		}
		line, _ := r.FieldPos(0)
		c.record(file, line, record, headers)
	}
}

// header maps the cells of a row to the columns of its kind.
type header struct {
	line      int
	record    []string
	positions []int // by cell, -1 for a cell that has no column
}

func (c *checker) record(file, line int, record []string, headers map[string]header) {
	for i := range record {
		record[i] = strings.TrimSpace(record[i])
	}
	for len(record) > 0 && record[len(record)-1] == "" {
		record = record[:len(record)-1]
	}
	if len(record) == 0 || strings.HasPrefix(record[0], "#") {
		return
	}
	r := row{kind: kindOf(record[0]), file: file, line: line}
	if r.kind == nil {
		c.fault(r, "", quote(record[0])+" is no kind of row; the kinds are "+kindNames())
		return
	}
	h, ok := headers[r.kind.name]
	if !ok {
		headers[r.kind.name] = c.header(r, record)
		return
	}
	if same(h.record, record) {
		return
	}
	c.data(r, record, h)
}

func (c *checker) header(r row, record []string) header {
	h := header{line: r.line, record: append([]string(nil), record...)}
	seen := make(map[string]bool)
	for _, column := range record[1:] {
		position := r.kind.position(column)
		switch {
		case position < 0:
			c.fault(r, "", quote(column)+" is no column of "+r.kind.name+"; the columns are "+strings.Join(r.kind.columns, ", "))
		case seen[column]:
			c.fault(r, column, "the column appears twice in the header")
		}
		seen[column] = true
		h.positions = append(h.positions, position)
	}
	for _, column := range r.kind.columns {
		if r.kind.required(column) && !seen[column] {
			c.fault(r, column, "the header of "+r.kind.name+" lacks this column")
		}
	}
	return h
}

func (c *checker) data(r row, record []string, h header) {
	size := 0
	r.cells = make([]string, len(r.kind.columns))
	for i, cell := range record[1:] {
		size += len(cell)
		if i >= len(h.positions) {
			c.fault(r, "", "has more cells than its header in row "+strconv.Itoa(h.line))
			break
		}
		if p := h.positions[i]; p >= 0 {
			r.cells[p] = strings.Clone(cell)
		}
	}
	if size > maxRowBytes {
		c.fault(r, "", "is longer than "+strconv.Itoa(maxRowBytes)+" bytes")
	}
	if same(r.cells, r.kind.columns) {
		c.fault(r, "", "repeats the names of the columns")
	}
	c.rows[r.kind.name] = append(c.rows[r.kind.name], r)
}

func same(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func kindNames() string {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = k.name
	}
	return strings.Join(names, ", ")
}
