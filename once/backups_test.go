package once_test

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/intent"
	"wasabidock.dev/dock/peerpb"
)

// TestBackupsOfEarlierTable guards against a key running twice: it runs while the
// table names other backups for its home, and the home is lost after the earlier
// backups are named again. These lack the key and must not report it as new.
func TestBackupsOfEarlierTable(t *testing.T) {
	tests := []struct {
		name string
		lose func(w *world, back *view) // replaces the process in a1
	}{
		{"home lost at once", func(w *world, back *view) {
			w.setView(back)
			w.restart("a1")
		}},
		{"home lost a round later", func(w *world, back *view) {
			w.setView(back)
			w.sync()
			w.restart("a1")
		}},
		{"home lost before, and replaced at the earlier table", func(w *world, back *view) {
			w.kill(w.at("a1"))
			p := w.start("a1")
			w.mu.Lock()
			p.own = back
			w.mu.Unlock()
			_ = p.svc.Sync(ctx)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			back := *w.view
			wide := back
			wide.revision, back.revision = 2, 3
			wide.seats = append(seatsOf("a", "a1", "a4", "a5", "a2", "a3"), seatsOf("b", "b1", "b2")...)
			key := keyAtBoth(&back, &wide, "a1")
			w.start("a4")
			w.start("a5")
			w.setView(&wide)
			w.sync()
			w.clock.Advance(2 * keep)
			w.sync()
			_, err := w.call("a2", "r1", key)
			is.NoErr(err)
			settled(w)
			tt.lose(w, &back)
			_, _ = w.call("a1", "r2", key)
			settled(w)
			is.Equal(w.ran(key), 1)
		})
	}
}

// keyAtBoth returns a key whose home is the seat in both tables.
func keyAtBoth(v, u *view, seat ident.Instance) string {
	for i := 0; ; i++ {
		key := "key-" + strconv.Itoa(i)
		id := intent.NewID("sur", "confirm", key)
		one, _ := intent.Home(v.seats, v.route.Centre, id)
		other, _ := intent.Home(u.seats, u.route.Centre, id)
		if one == seat && other == seat {
			return key
		}
	}
}

// setView puts a table in force at all processes.
func (w *world) setView(v *view) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.view = v
}

// TestFetchIsAbortedWhenInvalidated changes the backups of the asker's seat
// between two pages of a fetch.
func TestFetchIsAbortedWhenInvalidated(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	owner := &peerpb.Node{Instance: "a1", Incarnation: 77}
	h := w.at("a2").svc.Handler()
	res, err := h.Fetch(ctx, &peerpb.FetchRequest{Owner: owner})
	is.NoErr(err)
	is.True(!res.GetSuperseded())
	next := *w.view
	next.revision, next.seats = 2, append(seatsOf("a", "a1", "a4", "a5", "a2", "a3"), seatsOf("b", "b1", "b2")...)
	w.setView(&next)
	_ = w.at("a2").svc.Sync(ctx)
	_, err = h.Fetch(ctx, &peerpb.FetchRequest{Owner: owner, Page: 1})
	is.True(err != nil) // the asker must start again; it is not superseded
}
