package table

import (
	"encoding/hex"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// row is one row of a file with its cells in the canonical order of its kind.
type row struct {
	kind  *kind
	file  int // index of the file
	line  int
	cells []string
}

// id returns the cells that identify the row within its kind.
func (r row) id() string {
	if r.kind.ids == 1 {
		return r.cells[0]
	}
	return strings.Join(r.cells[:r.kind.ids], ",")
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const nameRule = "must be a name of at most 63 letters, digits, dots, dashes and underscores that starts with a letter or digit"

// cells decodes the cells of one row and keeps a fault for each bad one.
type cells struct {
	row row
	c   *checker
}

func (d cells) fault(column, reason string) { d.c.fault(d.row, column, reason) }

func (d cells) text(column string) string {
	for i, name := range d.row.kind.columns {
		if name == column {
			return d.row.cells[i]
		}
	}
	return ""
}

// name decodes a required name.
func (d cells) name(column string) string {
	s := d.text(column)
	if !namePattern.MatchString(s) {
		d.fault(column, quote(s)+" "+nameRule)
	}
	return s
}

// maybe decodes a name that may be empty.
func (d cells) maybe(column string) string {
	if d.text(column) == "" {
		return ""
	}
	return d.name(column)
}

// count decodes a whole number between low and high.
func (d cells) count(column string, low, high int64) int64 {
	s := d.text(column)
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < low || n > high {
		d.fault(column, quote(s)+" must be a whole number from "+strconv.FormatInt(low, 10)+" to "+strconv.FormatInt(high, 10))
		return 0
	}
	return n
}

// span decodes a duration between low and high, for example 300ms.
func (d cells) span(column string, low, high time.Duration) time.Duration {
	s := d.text(column)
	v, err := time.ParseDuration(s)
	if err != nil || v < low || v > high {
		d.fault(column, quote(s)+" must be a duration from "+low.String()+" to "+high.String()+", for example 300ms or 5s")
		return 0
	}
	return v
}

// maybeCount decodes a whole number; an empty cell stands for missing.
func (d cells) maybeCount(column string, low, high, missing int64) int64 {
	if d.text(column) == "" {
		return missing
	}
	return d.count(column, low, high)
}

// maybeSpan decodes a duration; an empty cell stands for missing.
func (d cells) maybeSpan(column string, low, high, missing time.Duration) time.Duration {
	if d.text(column) == "" {
		return missing
	}
	return d.span(column, low, high)
}

// flag decodes yes or no.
func (d cells) flag(column string) bool {
	s := strings.ToLower(d.text(column))
	switch s {
	case "yes", "true":
		return true
	case "no", "false":
	default:
		d.fault(column, quote(s)+" must be yes or no")
	}
	return false
}

// address decodes host:port with an IP number.
func (d cells) address(column string) string {
	s := d.text(column)
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		d.fault(column, quote(s)+" must be an IP number and a port, for example 10.0.0.7:8000")
		return s
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		d.fault(column, quote(s)+" has a port that is not from 1 to 65535")
	}
	return s
}

const sumPrefix = "sha256:"

// sum decodes the SHA-256 sum of a key. The faults never show the cell, which
// may hold a key by mistake.
func (d cells) sum(column string) (sum [32]byte) {
	h, ok := strings.CutPrefix(d.text(column), sumPrefix)
	if !ok {
		d.fault(column, "must be the hash of a key in the form sha256:<64 hex digits>, as wasabi key prints it; never write a key itself")
		return sum
	}
	b, err := hex.DecodeString(h)
	if err != nil || len(b) != len(sum) || h != strings.ToLower(h) {
		d.fault(column, "must have 64 lower-case hex digits after sha256:")
		return sum
	}
	copy(sum[:], b)
	return sum
}

const quotedBytes = 40

// quote shows a cell in a fault, cut to a bounded length.
func quote(s string) string {
	if len(s) > quotedBytes {
		s = s[:quotedBytes] + "…"
	}
	return strconv.Quote(s)
}
