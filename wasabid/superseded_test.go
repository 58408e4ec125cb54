package main_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSupersededProcessTakesTables withdraws a key while a process whose seat
// another one has taken still answers a caller with that key.
func TestSupersededProcessTakesTables(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	is := is.New(t)
	f := newFleet(t, []string{"east"}, 2)
	customers := []string{"calm,1,1000000,4000000", "other,1,1000000,4000000"}
	f.publish(1, customers, []string{"calm", "other"})
	f.startAll()
	old := f.procs["east-1"]
	f.await("first charge", func() bool {
		s, _, err := chat(t.Context(), old, "calm", 1, false)
		return err == nil && s == http.StatusOK
	})
	before := f.streams()
	got := make(chan string, 1)
	go func() {
		_, body, _ := chat(t.Context(), old, "calm", 15000, true)
		got <- body
	}()
	f.await("stream runs", func() bool { return f.streams() > before })
	f.start("east-1")
	f.list()
	f.await("earlier process drains", func() bool { return strings.Contains(old.text(), "app: draining") })
	is.True(strings.Contains(old.text(), "superseded"))
	f.publish(2, customers, []string{"other"})
	body := <-got
	is.True(strings.Contains(body, "key_withdrawn"))
	is.True(!strings.Contains(body, "[DONE]"))
	<-old.done
	is.Equal(old.revision(), uint64(2))
}
