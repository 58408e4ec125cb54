package spread

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// Version names one published table: its revision and the SHA-256 sum of its
// head. The zero value comes before all others.
type Version struct {
	Revision uint64
	Sum      [sha256.Size]byte
}

// After reports whether v replaces o.
func (v Version) After(o Version) bool {
	if v.Revision != o.Revision {
		return v.Revision > o.Revision
	}
	return bytes.Compare(v.Sum[:], o.Sum[:]) > 0
}

const shownSumBytes = 4

// String returns the revision and the start of the sum.
func (v Version) String() string {
	return strconv.FormatUint(v.Revision, 10) + "-" + hex.EncodeToString(v.Sum[:shownSumBytes])
}
