package intent

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"wasabidock.dev/dock/ident"
)

// ID identifies a keyed call across the fleet.
type ID [sha256.Size]byte

// Fingerprint is the SHA-256 of what a keyed call asks for.
type Fingerprint [sha256.Size]byte

// NewID returns the identifier of the call with key of customer at route.
func NewID(customer ident.Customer, route ident.Route, key string) ID {
	return ID(digest([]byte(customer), []byte(route), []byte(key)))
}

// NewFingerprint returns the sum of a call.
func NewFingerprint(method, path string, body []byte) Fingerprint {
	return Fingerprint(digest([]byte(method), []byte(path), body))
}

// digest hashes the parts with their lengths, so that moving a byte from one
// part to the next changes the sum.
func digest(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	var n [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write(p)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// Member is a seat of the table.
type Member struct {
	Instance ident.Instance
	Centre   ident.Centre
}

// Home returns the one seat where the call may run: the choice by weighted
// hash among the seats of centre, or, if centre is empty, among those of the
// data centre that the hash chooses. It depends on the published seats alone
// and never on which of them are alive.
func Home(seats []Member, centre ident.Centre, id ID) (ident.Instance, bool) {
	if centre == "" {
		centre = homeCentre(seats, id)
	}
	var (
		best  ident.Instance
		score uint64
		found bool
	)
	for _, s := range seats {
		if s.Centre != centre {
			continue
		}
		if n := weight(string(s.Instance), id); !found || n > score {
			best, score, found = s.Instance, n, true
		}
	}
	return best, found
}

func homeCentre(seats []Member, id ID) ident.Centre {
	var (
		best  ident.Centre
		score uint64
	)
	for _, s := range seats {
		if n := weight(string(s.Centre), id); best == "" || n > score {
			best, score = s.Centre, n
		}
	}
	return best
}

func weight(name string, id ID) uint64 {
	d := xxhash.New()
	_, _ = d.Write(id[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// maxBuddies is how many seats hold copies of a seat's journal.
const maxBuddies = 2

// Backups returns the seats that hold copies of the journal of owner: the next
// ones of its data centre in table order, then the next ones of any.
func Backups(seats []Member, owner ident.Instance) []ident.Instance {
	at := -1
	for i, s := range seats {
		if s.Instance == owner {
			at = i
		}
	}
	if at < 0 {
		return nil
	}
	var near, far []ident.Instance
	for i := 1; i < len(seats); i++ {
		s := seats[(at+i)%len(seats)]
		if s.Centre == seats[at].Centre {
			near = append(near, s.Instance)
		} else {
			far = append(far, s.Instance)
		}
	}
	near = append(near, far...)
	return near[:min(maxBuddies, len(near))]
}
