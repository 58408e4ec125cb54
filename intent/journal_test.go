package intent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/tick"
)

// TestVerdicts asks about a key after each history that its entry can have.
func TestVerdicts(t *testing.T) {
	id := intent.NewID("sur", "confirm", "k")
	sum := intent.NewFingerprint("POST", "/confirm", []byte("pupil 7"))
	other := intent.NewFingerprint("POST", "/confirm", []byte("pupil 8"))
	answer := intent.Response{Status: 201, Body: []byte("ok")}
	open := intent.Entry{ID: id, Fingerprint: sum, TTL: keep}
	done := intent.Entry{ID: id, Fingerprint: sum, TTL: keep, Response: &answer}
	begin := func(j *intent.Journal) { j.Begin(0, id, sum, keep) }
	end := func(j *intent.Journal) { j.Finish(id, answer) }
	lose := func(j *intent.Journal) { j.MarkUnknown(id) }
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
		sum   intent.Fingerprint
		want  intent.Decision
	}{
		{"nothing", nil, 0, sum, intent.Run},
		{"on its way", []func(*intent.Journal){begin}, 0, sum, intent.Join},
		{"on its way for longer than its age", []func(*intent.Journal){begin, expire(2 * keep)}, 2 * keep, sum, intent.Join},
		{"on its way, another call", []func(*intent.Journal){begin}, 0, other, intent.KeyReused},
		{"finished", []func(*intent.Journal){begin, end}, keep - 1, sum, intent.Replay},
		{"finished, another call", []func(*intent.Journal){begin, end}, 0, other, intent.KeyReused},
		{"finished, expiry before its age", []func(*intent.Journal){begin, end, expire(keep - 1)}, keep - 1, sum, intent.Replay},
		{"finished, age over", []func(*intent.Journal){begin, end}, keep, sum, intent.Run},
		{"finished and forgotten", []func(*intent.Journal){begin, end, expire(keep)}, 0, other, intent.Run},
		{"lost", []func(*intent.Journal){begin, lose}, keep - 1, sum, intent.OutcomeUnknown},
		{"lost, another call", []func(*intent.Journal){begin, lose}, 0, other, intent.OutcomeUnknown},
		{"lost, age over", []func(*intent.Journal){begin, lose}, keep, sum, intent.Run},
		{"dropped", []func(*intent.Journal){begin, drop}, 0, other, intent.Run},
		{"predecessor's, open", []func(*intent.Journal){merge(open)}, 0, sum, intent.OutcomeUnknown},
		{"predecessor's, finished", []func(*intent.Journal){merge(done)}, 0, sum, intent.Replay},
		{"predecessor's, open at one buddy", []func(*intent.Journal){merge(open), merge(done)}, 0, sum, intent.Replay},
		{"predecessor's, open at the other buddy", []func(*intent.Journal){merge(done), merge(open)}, 0, sum, intent.Replay},
		{"own call on its way goes before a predecessor's", []func(*intent.Journal){begin, merge(done)}, 0, sum, intent.Join},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			j := intent.NewJournal(intent.Config{MaxEntries: 2, MaxBytes: 1 << 20, MaxBodyBytes: 16})
			for _, step := range tt.steps {
				step(j)
			}
			got, _ := j.Begin(tt.now, id, tt.sum, keep)
			is.Equal(got, tt.want)
			is.Equal(j.Len(), int64(1)) // the entry that was there or the one that Begin made
			j.Drop(id)
			is.Equal(j.Bytes(), int64(0))
		})
	}
}
