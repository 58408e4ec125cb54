package permit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/tick"
)

const server = uint64(7)

func at(ms int) tick.Instant { return tick.Instant(ms) * time.Millisecond }

// limited returns a statement of a rate, and unlimited one of no limit. Sent and received are in
// milliseconds.
func limited(rate float64, sent, received int) Statement {
	return Statement{Rate: rate, Limited: true, Sent: at(sent), Received: at(received)}
}

func unlimited(sent, received int) Statement {
	return Statement{Sent: at(sent), Received: at(received)}
}

func TestRecord(t *testing.T) {
	tests := []struct {
		name  string
		list  []Statement
		want  Change // of the last statement
		rate  float64
		limit bool
	}{
		{"never named", []Statement{unlimited(0, 10)}, Unchanged, 0, false},
		{"named", []Statement{limited(2.5, 0, 10)}, Named, 2.5, true},
		{"named again", []Statement{limited(2.5, 0, 10), limited(2.5, 20, 30)}, Unchanged, 2.5, true},
		{"changed", []Statement{limited(2.5, 0, 10), limited(4, 20, 30)}, Altered, 4, true},
		{"lifted", []Statement{limited(2.5, 0, 10), unlimited(20, 30)}, Lifted, 0, false},
		{"older response without a limit arrives later", []Statement{limited(2.5, 5, 10), unlimited(0, 30)}, Unchanged, 2.5, true},
		{"older response with another limit arrives later", []Statement{limited(2.5, 5, 10), limited(9, 0, 30)}, Unchanged, 2.5, true},
		{"older response with the lifted limit arrives later", []Statement{limited(2.5, 0, 10), unlimited(20, 30), limited(2.5, 15, 40)}, Unchanged, 0, false},
		{"named again after it was lifted", []Statement{limited(2.5, 0, 10), unlimited(20, 30), limited(1, 40, 50)}, Named, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLimits()
			var got Change
			for _, s := range tt.list {
				got = l.Record(server, s)
			}
			is.Equal(got, tt.want)
			s, ok := l.Of(server)
			is.Equal(ok, tt.limit)
			is.Equal(s.Rate, tt.rate)
		})
	}
}

func TestPruneKeepsLimitOfServerThatIsBrieflyUnlisted(t *testing.T) {
	is := is.New(t)
	l := NewLimits()
	l.Record(server, limited(2.5, 0, 10))
	l.Record(server+1, limited(2.5, 0, 10))
	isListed := func(h uint64) bool { return h == server }
	l.Prune(isListed, unlistedExpiry)
	_, unlisted := l.Of(server + 1)
	is.True(unlisted)
	l.Prune(isListed, 2*unlistedExpiry)
	_, listed := l.Of(server)
	is.True(listed)
	_, unlisted = l.Of(server + 1)
	is.True(!unlisted)
}

// TestReportsOfPeers guards against the delayed report of a peer that raises or lifts a limit.
func TestReportsOfPeers(t *testing.T) {
	tests := []struct {
		name  string
		own   []Statement
		peer  Statement
		claim bool // the peer states the limit in a claim
		rate  float64
		limit bool
	}{
		{"first", nil, limited(2, 0, 10), false, 2, true},
		{"lower", []Statement{limited(2, 0, 10)}, limited(1, 20, 30), false, 1, true},
		{"higher", []Statement{limited(2, 0, 10)}, limited(5, 20, 30), false, 2, true},
		{"higher, in a claim", []Statement{limited(2, 0, 10)}, limited(5, 20, 30), true, 5, true},
		{"older and lower", []Statement{limited(2, 20, 30)}, limited(1, 0, 10), false, 2, true},
		{"older, in a claim", []Statement{limited(2, 20, 30)}, limited(5, 0, 10), true, 2, true},
		{"older than the end of the limit", []Statement{limited(2, 0, 10), unlimited(20, 30)}, limited(2, 5, 25), false, 0, false},
		{"newer than the end of the limit", []Statement{limited(2, 0, 10), unlimited(20, 30)}, limited(2, 40, 50), false, 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLimits()
			for _, s := range tt.own {
				l.Record(server, s)
			}
			if tt.claim {
				l.RecordClaim(Report{server, tt.peer})
			} else {
				l.RecordPeer(Report{server, tt.peer})
			}
			s, ok := l.Of(server)
			is.Equal(ok, tt.limit)
			is.Equal(s.Rate, tt.rate)
		})
	}
}

// TestReportsOmitWhatPeersReported guards against a limit that peers repeat to each other without end.
func TestReportsOmitWhatPeersReported(t *testing.T) {
	is := is.New(t)
	l := NewLimits()
	l.RecordPeer(Report{server, limited(2, 0, 10)})
	is.Equal(len(l.Reports()), 0)
	l.Record(server, limited(2, 20, 30))
	is.Equal(l.Reports(), []Report{{server, limited(2, 20, 30)}})
	l.Record(server, unlimited(40, 50))
	is.Equal(len(l.Reports()), 0)
}
