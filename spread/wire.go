package spread

import (
	"crypto/sha256"
	"time"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/roster"
)

func entryToWire(e roster.Entry) *peerpb.Node {
	return &peerpb.Node{
		Instance:    string(e.Node.Instance),
		Incarnation: e.Node.Incarnation,
		Address:     e.Address,
		State:       peerpb.State(e.State),
		Centre:      string(e.Centre),
		AgeMs:       e.Age.Milliseconds(),
		Revision:    e.Revision,
	}
}

func entryFromWire(n *peerpb.Node) roster.Entry {
	return roster.Entry{
		Node:    ident.Node{Instance: ident.Instance(n.GetInstance()), Incarnation: n.GetIncarnation()},
		Address: n.GetAddress(),
		Centre:  ident.Centre(n.GetCentre()),
		State:   roster.State(n.GetState()),
		Age:     time.Duration(n.GetAgeMs()) * time.Millisecond,

		Revision: n.GetRevision(),
	}
}

func entriesToWire(entries []roster.Entry) []*peerpb.Node {
	out := make([]*peerpb.Node, len(entries))
	for i, e := range entries {
		out[i] = entryToWire(e)
	}
	return out
}

func entriesFromWire(nodes []*peerpb.Node) []roster.Entry {
	out := make([]roster.Entry, len(nodes))
	for i, n := range nodes {
		out[i] = entryFromWire(n)
	}
	return out
}

func goneToWire(gone []roster.Gone) []*peerpb.Gone {
	out := make([]*peerpb.Gone, len(gone))
	for i, g := range gone {
		out[i] = &peerpb.Gone{Server: string(g.Server), AgeMs: g.Age.Milliseconds()}
	}
	return out
}

func goneFromWire(gone []*peerpb.Gone) []roster.Gone {
	out := make([]roster.Gone, len(gone))
	for i, g := range gone {
		out[i] = roster.Gone{Server: ident.Server(g.GetServer()), Age: time.Duration(g.GetAgeMs()) * time.Millisecond}
	}
	return out
}

// sumToWire returns the sum of the head, or nothing if there is no table.
func sumToWire(v Version) []byte {
	if v.Revision == 0 {
		return nil
	}
	return append([]byte(nil), v.Sum[:]...)
}

func versionFromWire(revision uint64, sum []byte) (Version, bool) {
	if revision == 0 || len(sum) != sha256.Size {
		return Version{}, false
	}
	return Version{Revision: revision, Sum: [sha256.Size]byte(sum)}, true
}
