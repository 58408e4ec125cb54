package once_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/once"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
	"wasabidock.dev/dock/tick"
)

// awaitTable has no table until one is set. All its dials fail.
type awaitTable struct {
	*tick.Fake
	mu    sync.Mutex
	table once.View
	armed chan struct{} // receives one value for each timer
}

func (a *awaitTable) View() (once.View, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table, a.table != nil
}

func (a *awaitTable) set(v once.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table = v
}

func (a *awaitTable) After(d time.Duration) tick.Timer {
	t := a.Fake.After(d)
	a.armed <- struct{}{}
	return t
}

func (a *awaitTable) Once(ident.Instance) (peerpbconnect.OnceServiceClient, error) {
	return nil, errLost
}

// TestQuietUntilThereIsATable guards against warnings while a process waits for
// its first table. After that, it logs that it reaches no backup.
func TestQuietUntilThereIsATable(t *testing.T) {
	is := is.New(t)
	a := &awaitTable{Fake: tick.NewFake(time.Hour), armed: make(chan struct{})}
	var out bytes.Buffer
	s := once.New(once.Config{
		Self: ident.Node{Instance: "a1", Incarnation: 1}, Table: a, Dialer: a, Clock: a, Log: zerolog.New(&out),
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := s.Start(ctx)
	const rounds = 4
	for range rounds {
		<-a.armed
		is.Equal(out.Len(), 0)
		a.Advance(time.Second)
	}
	<-a.armed
	a.set(&view{revision: 1, seats: seatsOf("a", "a1", "a2"), route: once.Route{Name: "confirm"}})
	a.Advance(time.Second)
	<-a.armed
	is.Equal(bytes.Count(out.Bytes(), []byte("\n")), 1)
	cancel()
	<-done
}
