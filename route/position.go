package route

// Positions order what the platform's store publishes. A position is a number that holds the era of the
// store and a revision within that era, and is ordered like the pair of them. The era rises each time
// the store is restored from a backup, after which revisions are assigned again. In era 0, a position is
// the revision.

// revisionBits is the number of bits of a position that hold the revision.
const revisionBits = 44

// The largest values that a position can hold.
const (
	MaxRevision = 1<<revisionBits - 1
	MaxEra      = 1 << 18
)

// Position returns the position of a revision of an era.
func Position(era, revision int64) int64 { return era<<revisionBits | revision }

// Era returns the era of a position.
func Era(position int64) int64 { return position >> revisionBits }

// Revision returns the revision of a position within its era.
func Revision(position int64) int64 { return position & MaxRevision }

// Stamp names a published configuration. The zero value is that of no configuration.
type Stamp struct {
	Version  int64 // of the operator, which only increases
	Position int64 // at which the store published it
}

// After reports whether s is the newer one of two configurations. Within an era the position decides. A
// store that was restored from a backup may publish an earlier configuration at a later position, so
// between two eras the operator's version decides first.
func (s Stamp) After(o Stamp) bool {
	if s.Position == 0 || o.Position == 0 {
		return s.Position > o.Position
	}
	if Era(s.Position) != Era(o.Position) && s.Version != o.Version {
		return s.Version > o.Version
	}
	return s.Position > o.Position
}
