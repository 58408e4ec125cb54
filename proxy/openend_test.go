package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/platform/fake"
)

// TestResetBesideWriteIsNoEnd guards against half of an early response that is passed on as a whole one after its connection was reset.
func TestResetBesideWriteIsNoEnd(t *testing.T) {
	const bodyBytes = 8 << 20
	plain := map[string]fake.Role{"s1": fake.Plain, "s2": fake.Plain}
	model := map[string]fake.Role{"s1": fake.Decode, "s2": fake.Decode}
	tests := []struct {
		name   string
		path   string
		roles  map[string]fake.Role
		fault  fake.Fault
		status int  // of a whole response, or 0 for one that is visibly cut
		whole  bool // the body is that of a server
		ends   int64
	}{
		{name: "mutating", path: "/file/1", roles: plain, fault: fake.EarlyReset, status: 502, ends: 1},
		{name: "idempotent", path: "/read/1", roles: plain, fault: fake.EarlyReset, status: 502, ends: 2},
		{name: "stream", path: "/once/1", roles: model, fault: fake.EarlyReset, ends: 1},
		{name: "resumable stream", path: "/again/1", roles: model, fault: fake.EarlyReset, ends: 2},
		{name: "mutating, sound", path: "/file/1", roles: plain, fault: fake.EarlyEnd, status: 200, whole: true},
		{name: "stream, sound", path: "/once/1", roles: model, fault: fake.EarlyEnd, status: 200, whole: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, tt.roles)
			h.allowBodies(bodyBytes)
			for _, s := range h.servers {
				s.SetFault(tt.fault)
			}
			var change []func(*http.Request)
			if tt.roles["s1"] == fake.Decode {
				change = append(change, withTokenCounts)
			}
			got := h.send(t, http.MethodPost, tt.path, strings.Repeat("b", bodyBytes), change...)
			is.Equal(h.counter(`open_ended_responses_total{end="reset"}`), tt.ends)
			if tt.status == 0 {
				is.True(got.err != nil)
				return
			}
			is.NoErr(got.err)
			is.Equal(got.status, tt.status)
			if !tt.whole {
				return
			}
			is.True(got.body == fake.Answer("s1", "a1") || got.body == fake.Answer("s2", "a1") || got.body == eventText(1, 4))
		})
	}
}

// TestServerThatIsBackConfirmsNothing guards against a part of an open-ended response that counts as whole although its server has ended.
func TestServerThatIsBackConfirmsNothing(t *testing.T) {
	tests := []struct {
		path string
		role fake.Role
		at   fake.CrashPoint
		gone bool // the machine does not answer
	}{
		{"/file/1", fake.Plain, fake.AfterOpenHead, false},
		{"/file/1", fake.Plain, fake.InsideOpenBody, false},
		{"/file/1", fake.Plain, fake.InsideOpenBody, true},
		{"/once/1", fake.Decode, fake.AfterOpenHead, false},
		{"/once/1", fake.Decode, fake.InsideOpenBody, false},
		{"/once/1", fake.Decode, fake.InsideOpenBody, true},
		{"/again/1", fake.Decode, fake.InsideOpenBody, false},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.path, " ", tt.at, ", gone ", tt.gone), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, map[string]fake.Role{"s1": tt.role})
			s := h.servers["s1"]
			var gate sync.Once
			part := fake.FatalPart{ID: "bad", At: tt.at}
			if tt.gone {
				part.Down = time.Minute
				part.OnCrash = func() { gate.Do(func() { holdAddr(t, s) }) }
			}
			s.AddFatalPart(part)
			change := []func(*http.Request){withHeader("Wasabidock-Prompt-Prefix", "bad:1,own:1")}
			if tt.role == fake.Decode {
				change = []func(*http.Request){withParts("bad")}
			}
			got := h.send(t, http.MethodPost, tt.path, "b", change...)
			is.True(got.err != nil || got.status == 502)
			is.Equal(h.counter(`open_ended_responses_total{end="whole"}`), int64(0))
		})
	}
}

// holdAddr listens at the address of a server that is about to crash, as soon as it is free, and answers nobody.
func holdAddr(t *testing.T, s *fake.Server) {
	go func() {
		for range 1000 {
			if l, err := net.Listen("tcp", s.ListenAddr()); err == nil {
				t.Cleanup(func() { _ = l.Close() })
				return
			}
			time.Sleep(100 * time.Microsecond)
		}
	}()
}
