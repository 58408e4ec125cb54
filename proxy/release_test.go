package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/route"
)

// TestPlaceOfStreamWithoutKeyIsReleased guards against servers that seem full for good, because streams were cut for a withdrawn key after they had waited for a place.
func TestPlaceOfStreamWithoutKeyIsReleased(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"other": fake.Decode})
	h.occupy(t, time.Second)
	h.servers["other"].SetPace(4, time.Millisecond)
	h.addServer(t, "broken", fake.Decode)
	h.servers["broken"].SetFault(fake.TruncatedEvent)
	time.AfterFunc(400*time.Millisecond, func() {
		spec := testSpec()
		spec.Version, spec.Revision, spec.Customers[0].Keys = 2, 2, nil
		h.live.SetTable(route.NewTable(spec))
	})
	got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts, withHeader("Wasabidock-Deadline-Ms", "5000"))
	is.True(got.err != nil) // its key was withdrawn
	eventually(t, "the requests have ended", func() bool { return h.drain.Active() == 0 })
	spec := testSpec()
	spec.Version, spec.Revision = 3, 3
	h.live.SetTable(route.NewTable(spec))
	other, _ := h.live.Fleet().Server("other")
	h.live.SetFleet(route.NewFleet(h.live.Fleet().Revision()+1, []*route.Server{other}))
	got = h.send(t, http.MethodPost, "/again/1", "large", withTokenCounts, largePrompt, withHeader("Wasabidock-Attempt-Id", "a2"))
	is.NoErr(got.err)
	is.Equal(got.status, 200)
}
