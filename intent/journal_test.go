package intent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/tick"
)

// TestDecisions calls Begin after each history that an entry can have. It guards against a call that
// may have run being run again, and against a key staying blocked after its entry has expired.
func TestDecisions(t *testing.T) {
	id := intent.NewID("sur", "confirm", "k")
	fp := intent.NewFingerprint("POST", "/confirm", []byte("pupil 7"))
	other := intent.NewFingerprint("POST", "/confirm", []byte("pupil 8"))
	response := intent.Response{Status: 201, Body: []byte("ok")}
	open := intent.Entry{ID: id, Fingerprint: fp, TTL: ttl}
	done := intent.Entry{ID: id, Fingerprint: fp, TTL: ttl, Response: &response}
	begin := func(j *intent.Journal) { j.Begin(0, id, fp, ttl) }
	end := func(j *intent.Journal) { j.Finish(id, response) }
	markUnknown := func(j *intent.Journal) { j.MarkUnknown(id) }
	drop := func(j *intent.Journal) { j.Drop(id) }
	expire := func(now tick.Instant) func(*intent.Journal) {
		return func(j *intent.Journal) {
			for n := range intent.Shards {
				j.Expire(now, n)
			}
		}
	}
	merge := func(e intent.Entry) func(*intent.Journal) {
		return func(j *intent.Journal) { j.Merge(e) }
	}
	tests := []struct {
		name  string
		steps []func(*intent.Journal)
		now   time.Duration
		fp    intent.Fingerprint
		want  intent.Decision
	}{
		{"nothing", nil, 0, fp, intent.Run},
		{"in flight", []func(*intent.Journal){begin}, 0, fp, intent.Join},
		{"in flight for longer than its TTL", []func(*intent.Journal){begin, expire(2 * ttl)}, 2 * ttl, fp, intent.Join},
		{"in flight, another call", []func(*intent.Journal){begin}, 0, other, intent.KeyReused},
		{"finished", []func(*intent.Journal){begin, end}, ttl - 1, fp, intent.Replay},
		{"finished, another call", []func(*intent.Journal){begin, end}, 0, other, intent.KeyReused},
		{"finished, Expire before the TTL has passed", []func(*intent.Journal){begin, end, expire(ttl - 1)}, ttl - 1, fp, intent.Replay},
		{"finished, expired", []func(*intent.Journal){begin, end}, ttl, fp, intent.Run},
		{"finished, expired and removed", []func(*intent.Journal){begin, end, expire(ttl)}, 0, other, intent.Run},
		{"lost", []func(*intent.Journal){begin, markUnknown}, ttl - 1, fp, intent.OutcomeUnknown},
		{"outcome unknown, another call", []func(*intent.Journal){begin, markUnknown}, 0, other, intent.OutcomeUnknown},
		{"outcome unknown, expired", []func(*intent.Journal){begin, markUnknown}, ttl, fp, intent.Run},
		{"dropped", []func(*intent.Journal){begin, drop}, 0, other, intent.Run},
		{"earlier process, unfinished", []func(*intent.Journal){merge(open)}, 0, fp, intent.OutcomeUnknown},
		{"earlier process, finished", []func(*intent.Journal){merge(done)}, 0, fp, intent.Replay},
		{"earlier process, unfinished at one backup", []func(*intent.Journal){merge(open), merge(done)}, 0, fp, intent.Replay},
		{"earlier process, unfinished at the other backup", []func(*intent.Journal){merge(done), merge(open)}, 0, fp, intent.Replay},
		{"own call in flight takes precedence over an earlier process", []func(*intent.Journal){begin, merge(done)}, 0, fp, intent.Join},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			j := intent.NewJournal(intent.Config{MaxEntries: 2, MaxBytes: 1 << 20, MaxBodyBytes: 16})
			for _, step := range tt.steps {
				step(j)
			}
			got, _ := j.Begin(tt.now, id, tt.fp, ttl)
			is.Equal(got, tt.want)
			is.Equal(j.Len(), int64(1)) // the existing entry or the one that Begin added
			j.Drop(id)
			is.Equal(j.Bytes(), int64(0))
		})
	}
}
