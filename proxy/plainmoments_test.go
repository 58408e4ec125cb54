package proxy_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/route"
)

// plainMoments are the moments of the response of a plain server.
func plainMoments() []moment {
	return []moment{
		{fake.SilentAfterEvent, 0}, {fake.SilentAfterHead, 0}, {fake.SilentInBody, 0}, {fake.SilentInOpenBody, 0}, {fake.SilentInEnd, 0},
	}
}

// otherPlainServers are the kinds of other servers of a plain service.
func otherPlainServers() []otherServer {
	return []otherServer{
		{name: "none", absent: true},
		{name: "free", sound: true, set: withFault(fake.NoFault)},
		{name: "silent", sound: true, set: func(s *fake.Server, x fake.Silence) { s.SetSilence(x) }},
		{name: "rejecting", set: withFault(fake.Shed)},
		{name: "failing", set: withFault(fake.InternalError)},
		{name: "resetting", set: withFault(fake.Reset)},
		{name: "mute", set: withFault(fake.Hang)},
		{name: "breaking off", set: withFault(fake.TruncatedBody)},
		{name: "without a seal", set: withFault(fake.Unsealed)},
		{name: "with a body without end", set: withFault(fake.Endless)},
		{name: "draining", sound: true, set: func(s *fake.Server, _ fake.Silence) { s.SetDraining(true) }},
		{name: "pausing", set: func(s *fake.Server, _ fake.Silence) { s.SetRetryAfter("0.4") }},
		{name: "gone", set: func(s *fake.Server, _ fake.Silence) { s.Close() }},
	}
}

// plainSilenceCases returns the table of all plain routes, moments, lengths and other servers.
func plainSilenceCases() []silenceCase {
	var all []silenceCase
	for _, path := range []string{"/file/1", "/read/1"} {
		for _, m := range plainMoments() {
			for _, d := range []time.Duration{1200 * time.Millisecond, 1900 * time.Millisecond} {
				for _, o := range otherPlainServers() {
					all = append(all, silenceCase{path, m, d, o, way{}})
				}
			}
		}
	}
	return all
}

// TestSilenceAtAnyMomentLosesNoPlainResponse guards against a plain request without an answer, or one that ran twice, because its sound server was silent for a second.
func TestSilenceAtAnyMomentLosesNoPlainResponse(t *testing.T) {
	is := is.New(t)
	all := plainSilenceCases()
	cases{
		len(all), maxCases, func(i int) string { return all[i].String() },
		func(i int, t *testing.T, h *harness) error { return all[i].runPlain(t, h) },
	}.check(t)
	is.Equal(len(all), 2*5*2*len(otherPlainServers()))
}

// runPlain sends the request and returns an error unless its caller got the whole answer of a sound server.
func (c silenceCase) runPlain(t *testing.T, h *harness) error {
	h.live.SetTable(route.NewTable(changeSpec()))
	silence := fake.Silence{Call: fake.RunCall, Moment: c.silent.at, For: c.length, Times: 1}
	h.addServer(t, "sound", fake.Plain)
	h.servers["sound"].SetSilence(silence)
	added := make(chan struct{})
	go func() {
		defer close(added)
		eventually(t, "the server is silent", func() bool { return h.servers["sound"].Silences() == 1 })
		if c.other.absent {
			return
		}
		h.addServer(t, "other", fake.Plain)
		c.other.set(h.servers["other"], silence)
	}()
	got := h.send(t, http.MethodPost, c.path, "body", withHeader("Wasabidock-Deadline-Ms", "4900"))
	<-added
	byOther := got.body == fake.Answer("other", "a1") && c.path == "/read/1" && c.other.sound
	switch {
	case got.err != nil || got.status != http.StatusOK:
		return fmt.Errorf("status %d, body %q, %w", got.status, got.body, got.err)
	case got.body != fake.Answer("sound", "a1") && !byOther:
		return fmt.Errorf("body %q", got.body)
	case c.path == "/file/1" && h.runCount() != 1:
		return fmt.Errorf("%d runs", h.runCount())
	default:
		return nil
	}
}
