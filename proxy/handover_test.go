package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
	"wasabidock.dev/dock/route"
)

// pauseAfterEvent2 is a silence of a sound server that is longer than the time after which another place is looked for.
var pauseAfterEvent2 = fake.Silence{Call: fake.RunCall, Event: 2, For: 1500 * time.Millisecond, Times: 1}

// TestSuccessorIsUsedAfterLastPlacement guards against a stream that is cut although another server has taken it, because no placement is left.
func TestSuccessorIsUsedAfterLastPlacement(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, nil)
	for _, name := range []string{"full1", "full2", "full3", "full4"} {
		h.addServer(t, name, fake.Decode)
		h.servers[name].SetFault(fake.Shed)
	}
	h.addServer(t, "silent", fake.Decode)
	h.servers["silent"].SetSilence(pauseAfterEvent2)
	h.addServer(t, "other", fake.Decode)
	got := h.send(t, http.MethodPost, "/thrice/1", "prompt", withTokenCounts, withHeader("Wasabidock-Deadline-Ms", "4000"))
	is.NoErr(got.err)
	is.Equal(got.body, eventText(1, 4))
}

// TestSearchTriesAllServers guards against a stream that is cut because the search for another place asks the same full server again and again.
func TestSearchTriesAllServers(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, nil)
	for _, name := range []string{"silent", "full", "idle"} {
		h.addServer(t, name, fake.Decode)
	}
	h.servers["silent"].SetFault(fake.Stall)
	h.servers["full"].SetFault(fake.NoMemory)
	got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts)
	is.NoErr(got.err)
	is.Equal(got.body, eventText(1, 4))
}

// TestLateSearchEjectsNoServer guards against a sound server that is ejected because a search has no time left to ask it.
func TestLateSearchEjectsNoServer(t *testing.T) {
	for _, ttl := range []time.Duration{time.Second, 0} {
		t.Run(fmt.Sprint("reservations of ", ttl), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, nil)
			spec := testSpec()
			spec.Version, spec.Revision, spec.Services[1].Engine.ReservationTTL = 2, 2, ttl
			for _, r := range spec.Routes {
				r.Timeout = 5 * time.Second
			}
			h.live.SetTable(route.NewTable(spec))
			h.addServer(t, "silent", fake.Decode)
			h.occupy(t, time.Second)
			h.servers["silent"].SetPace(4, time.Millisecond)
			h.servers["silent"].SetSilence(fake.Silence{Call: fake.RunCall, For: 1600 * time.Millisecond, Times: 1})
			added := make(chan struct{})
			go func() {
				defer close(added)
				eventually(t, "the server is silent", func() bool { return h.servers["silent"].Silences() == 1 })
				h.addServer(t, "other", fake.Decode)
			}()
			got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts, withHeader("Wasabidock-Deadline-Ms", "4500"))
			<-added
			is.NoErr(got.err)
			is.Equal(got.body, eventText(1, 4))
			s, _ := h.live.Fleet().Server("other")
			is.True(h.health.Usable(s.Key(), h.clock.Now()))
		})
	}
}

// TestSearchWithoutPlacePaysNothing guards against retries that are taken from the budget for streams that stay where they are.
func TestSearchWithoutPlacePaysNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"full": fake.Decode})
	h.servers["full"].SetFault(fake.NoMemory)
	h.addServer(t, "silent", fake.Decode)
	h.servers["silent"].SetSilence(pauseAfterEvent2)
	got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts, withHeader("Wasabidock-Deadline-Ms", "4000"))
	is.NoErr(got.err)
	is.Equal(h.runCount(), 1)
	is.Equal(h.budget.spent, 0)
}

// TestSilentReservationsOfManyRequestsEjectNoServer guards against a sound server that is ejected because several requests met one silence.
func TestSilentReservationsOfManyRequestsEjectNoServer(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"d1": fake.Decode, "d2": fake.Decode})
	for _, s := range h.servers {
		s.SetSilence(fake.Silence{Call: fake.ReservationCall, For: 700 * time.Millisecond, Times: 3})
	}
	var ends sync.WaitGroup
	for n := range 6 {
		ends.Go(func() {
			got := h.send(t, http.MethodPost, "/once/1", "prompt", withTokenCounts, withHeader("Wasabidock-Attempt-Id", fmt.Sprint("a", n)))
			if got.err != nil || got.status != http.StatusOK {
				t.Errorf("request %d: status %d, %v", n, got.status, got.err)
			}
		})
	}
	time.Sleep(650 * time.Millisecond)
	for _, s := range h.live.Fleet().All() {
		is.True(h.health.Usable(s.Key(), h.clock.Now()))
	}
	ends.Wait()
}

// TestSilentReservationKeepsKVCache guards against a second prefill of a prompt whose KV cache no server can have fetched.
func TestSilentReservationKeepsKVCache(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"p": fake.Prefill})
	h.addServer(t, "full", fake.Decode)
	h.servers["full"].SetFault(fake.Shed)
	h.addServer(t, "silent", fake.Decode)
	h.servers["silent"].SetSilence(fake.Silence{Call: fake.ReservationCall, For: 1500 * time.Millisecond, Times: 1})
	h.addServer(t, "other", fake.Decode)
	got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts, withHeader("Wasabidock-Deadline-Ms", "4000"))
	is.NoErr(got.err)
	is.Equal(got.body, eventText(1, 4))
	is.Equal(len(h.servers["p"].Arrivals()), 1)
	is.Equal(h.budget.spent, 1) // the rejection by the full server
}

// slowAddr returns an address at which connections are not accepted, as its backlog is full.
func slowAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprint("127.0.0.1:", sa.(*syscall.SockaddrInet4).Port)
	for range 4 {
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	return addr
}

// TestEndedSearchEjectsNoServer guards against a server that is ejected because the search that connects to it ends.
func TestEndedSearchEjectsNoServer(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, map[string]fake.Role{"silent": fake.Decode})
	h.servers["silent"].SetSilence(fake.Silence{Call: fake.RunCall, Event: 2, For: 1060 * time.Millisecond, Times: 1})
	addr, added := slowAddr(t), make(chan struct{})
	go func() {
		defer close(added)
		eventually(t, "the server is silent", func() bool { return h.servers["silent"].Silences() == 1 })
		old := h.live.Fleet()
		h.live.SetFleet(route.NewFleet(old.Revision()+1, append(old.All(), &route.Server{
			ID: "far", Service: "model", Addr: addr, Centre: "a", Region: "r", Stage: route.StageDecode, Slots: 8,
		})))
	}()
	got := h.send(t, http.MethodPost, "/again/1", "prompt", withTokenCounts)
	is.NoErr(got.err)
	is.Equal(got.body, eventText(1, 4))
	<-added
	s, _ := h.live.Fleet().Server("far")
	is.True(h.health.Usable(s.Key(), h.clock.Now()))
	is.Equal(len(h.health.Reports(h.clock.Now())), 0)
}
