package intent

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"wasabidock.dev/dock/ident"
)

// ID identifies a keyed call across all instances.
type ID [sha256.Size]byte

// Fingerprint is the SHA-256 of the method, path and body of a keyed call.
type Fingerprint [sha256.Size]byte

// NewID returns the identifier of the call that the customer made to the route with the key.
func NewID(customer ident.Customer, route ident.Route, key string) ID {
	return ID(digest([]byte(customer), []byte(route), []byte(key)))
}

// NewFingerprint returns the fingerprint of a call.
func NewFingerprint(method, path string, body []byte) Fingerprint {
	return Fingerprint(digest([]byte(method), []byte(path), body))
}

// digest hashes each part after its length. Moving a byte from one part to the next therefore
// changes the result.
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

// Member is an instance of the published configuration.
type Member struct {
	Instance ident.Instance
	Centre   ident.Centre
}

// Home returns the only instance on which the call may run. It is chosen by rendezvous hashing among
// the members in centre. If centre is empty, the data centre is chosen by the same hash. The result
// depends on the published members alone and never on which of them are alive. It is false if there
// is no member to choose.
func Home(members []Member, centre ident.Centre, id ID) (ident.Instance, bool) {
	if centre == "" {
		centre = homeCentre(members, id)
	}
	var (
		best  ident.Instance
		score uint64
		found bool
	)
	for _, s := range members {
		if s.Centre != centre {
			continue
		}
		if n := weight(string(s.Instance), id); !found || n > score {
			best, score, found = s.Instance, n, true
		}
	}
	return best, found
}

func homeCentre(members []Member, id ID) ident.Centre {
	var (
		best  ident.Centre
		score uint64
	)
	for _, s := range members {
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

// maxBackups is the number of instances that hold replicas of an instance's journal.
const maxBackups = 2

// Backups returns the instances that hold replicas of the journal of owner: the next ones of its data
// centre in the order of members, then the next ones of any data centre. It returns nil if owner is
// not a member.
func Backups(members []Member, owner ident.Instance) []ident.Instance {
	at := -1
	for i, s := range members {
		if s.Instance == owner {
			at = i
		}
	}
	if at < 0 {
		return nil
	}
	var near, far []ident.Instance
	for i := 1; i < len(members); i++ {
		s := members[(at+i)%len(members)]
		if s.Centre == members[at].Centre {
			near = append(near, s.Instance)
		} else {
			far = append(far, s.Instance)
		}
	}
	near = append(near, far...)
	return near[:min(maxBackups, len(near))]
}
