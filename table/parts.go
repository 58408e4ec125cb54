package table

import (
	"bytes"
	"crypto/sha256"
	"encoding/csv"
	"encoding/hex"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

const (
	// HeadName is the name of the value that lists the parts of the table.
	HeadName = "table/head"
	// MaxPartBytes is the largest size of a part.
	MaxPartBytes = 32 << 10
	// splitBytes is the size above which rows are spread over two parts.
	splitBytes = 16 << 10
	// maxParts bounds the parts of one table.
	maxParts = 1024
	partName = "table/part/"
)

// Head names the parts of one revision.
type Head struct {
	Revision uint64
	Parts    []Part
}

// Part names one published part by its SHA-256 sum.
type Part struct {
	Sum  [32]byte
	Size int
}

// Name returns the name of the value that holds the part.
func (p Part) Name() string { return partName + hex.EncodeToString(p.Sum[:]) }

// PartSum returns the sum by which a part or a head is known.
func PartSum(data []byte) [32]byte { return sha256.Sum256(data) }

// Encode returns the published form of the head.
func (h Head) Encode() []byte {
	var b bytes.Buffer
	b.WriteString("head,revision\nhead," + strconv.FormatUint(h.Revision, 10) + "\npart,sum,size\n")
	for _, p := range h.Parts {
		b.WriteString("part," + hex.EncodeToString(p.Sum[:]) + "," + strconv.Itoa(p.Size) + "\n")
	}
	return b.Bytes()
}

// ErrHead reports a value that is not a head.
var ErrHead = errors.New("not the head of a table")

// ParseHead is the inverse of Encode. It returns ErrHead for anything else.
func ParseHead(data []byte) (Head, error) {
	r := csv.NewReader(bytes.NewReader(data))
	r.FieldsPerRecord = -1
	var h Head
	for line := 1; ; line++ {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err == nil {
			err = h.add(line, record)
		}
		if err != nil {
			return Head{}, errors.Wrapf(ErrHead, "row %d: %v", line, err)
		}
	}
	if h.Revision == 0 || len(h.Parts) == 0 {
		return Head{}, errors.Wrap(ErrHead, "no revision or no parts")
	}
	return h, nil
}

const (
	headRow       = 2
	firstPartLine = 4
)

func (h *Head) add(line int, record []string) (err error) {
	switch {
	case line == headRow && len(record) == 2 && record[0] == "head":
		h.Revision, err = strconv.ParseUint(record[1], 10, 64)
		return err
	case line < firstPartLine:
		return nil
	case len(record) != 3 || record[0] != "part" || len(h.Parts) == maxParts:
		return errors.New("unexpected row")
	}
	sum, err := hex.DecodeString(record[1])
	if err != nil || len(sum) != sha256.Size {
		return errors.New("bad sum")
	}
	size, err := strconv.Atoi(record[2])
	if err != nil || size < 0 || size > MaxPartBytes {
		return errors.New("bad size")
	}
	h.Parts = append(h.Parts, Part{Sum: [32]byte(sum), Size: size})
	return nil
}

// Split returns the head and the parts of the table in the order of the head.
// Rows are assigned to parts by a hash of their identity, so that an edited
// row changes one part, which may fall into two if it grows too large.
func (t *Table) Split() (Head, [][]byte) {
	var all []hashedRow
	for _, k := range kinds {
		for _, r := range t.rows[k.name] {
			all = append(all, hashedRow{r, xxhash.Sum64String(k.name + "\x00" + r.id())})
		}
	}
	parts := split(all, 0)
	h := Head{Revision: t.revision}
	for _, p := range parts {
		h.Parts = append(h.Parts, Part{Sum: sha256.Sum256(p), Size: len(p)})
	}
	return h, parts
}

type hashedRow struct {
	row
	hash uint64
}

const hashBits = 64

// split encodes rows in one part, or in two or more by the hash bits from
// depth on if one would be too large.
func split(rows []hashedRow, depth int) [][]byte {
	if len(rows) == 0 && depth > 0 {
		return nil
	}
	data := encode(rows)
	if len(data) <= splitBytes || depth == hashBits {
		return [][]byte{data}
	}
	var halves [2][]hashedRow
	for _, r := range rows {
		bit := r.hash >> (hashBits - 1 - depth) & 1
		halves[bit] = append(halves[bit], r)
	}
	return append(split(halves[0], depth+1), split(halves[1], depth+1)...)
}

// encode writes rows, which are in canonical order, with a header for each
// kind.
func encode(rows []hashedRow) []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	var last *kind
	for _, r := range rows {
		if r.kind != last {
			write(w, r.kind.name, r.kind.columns)
			last = r.kind
		}
		write(w, r.kind.name, r.cells)
	}
	w.Flush()
	return b.Bytes()
}

// write writes one record to a buffer, which cannot fail.
func write(w *csv.Writer, first string, rest []string) {
	_ = w.Write(append([]string{first}, rest...))
}

// Load checks the sums of the parts, which are in the order of the head, and
// reads the table from them.
func Load(h Head, parts [][]byte) (*Table, []Fault) {
	if len(parts) != len(h.Parts) {
		return nil, []Fault{{File: HeadName, Reason: "has " + strconv.Itoa(len(h.Parts)) + " parts, got " + strconv.Itoa(len(parts))}}
	}
	files := make([]File, len(parts))
	for i, p := range h.Parts {
		files[i] = File{Name: p.Name(), Data: parts[i]}
		if sha256.Sum256(parts[i]) != p.Sum {
			return nil, []Fault{{File: p.Name(), Reason: "does not have its sum"}}
		}
	}
	return Parse(h.Revision, files)
}
