package flow_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/stand"
)

// otherEngines is what the other prefill and decode engines do while the first ones are silent.
type otherEngines struct {
	name   string
	faults []stand.Fault
	dead   bool
}

// manyCalls is more calls than a request makes.
const manyCalls = 1000

func otherEngineKinds() []otherEngines {
	failing := func(kind string, paths ...string) []stand.Fault {
		var list []stand.Fault
		for _, p := range paths {
			list = append(list, stand.Fault{Kind: kind, Path: p, N: manyCalls})
		}
		return list
	}
	work := []string{engine.PathReserve, engine.PathPrefill, engine.PathImport, engine.PathStream}
	return []otherEngines{
		{name: "free"},
		{name: "draining", faults: []stand.Fault{{Kind: stand.FaultDrain}}},
		{name: "full", faults: failing(stand.FaultRefuse, engine.PathReserve, engine.PathPrefill)},
		{name: "failing", faults: failing(stand.FaultStatus, work...)},
		{name: "failing after the reservation", faults: failing(stand.FaultStatus, work[1:]...)},
		{name: "resetting", faults: failing(stand.FaultBefore, work...)},
		{name: "resetting after the reservation", faults: failing(stand.FaultBefore, work[1:]...)},
		{name: "resetting streams", faults: failing(stand.FaultBefore, engine.PathStream)},
		{name: "mute", faults: []stand.Fault{{Kind: stand.FaultPause, DelayMS: time.Minute.Milliseconds()}}},
		{name: "dead", dead: true},
	}
}

// silenceCase is a request whose sound engines send nothing for a time, once.
type silenceCase struct {
	at     phase
	length time.Duration
	life   time.Duration // of an exported KV cache
	other  otherEngines
}

// silenceCases returns the table of all phases, lengths, lives of KV caches and other engines.
func silenceCases() []silenceCase {
	var all []silenceCase
	for _, at := range []phase{beforeReserve, afterReserve, duringPrefill, afterPrefill, duringImport, afterImport, midStream, lastToken} {
		for _, d := range []time.Duration{1300 * time.Millisecond, 2600 * time.Millisecond} {
			for _, life := range []time.Duration{900 * time.Millisecond, 10 * time.Second} {
				for _, o := range otherEngineKinds() {
					all = append(all, silenceCase{at, d, life, o})
				}
			}
		}
	}
	return all
}

// maxCases is the number of cases that run at the same time. They spend their time waiting.
const maxCases = 20

// TestSilenceAtAnyMomentLosesNoRequest guards against a request that fails because its sound engines were silent for a second or two, whatever the others do.
func TestSilenceAtAnyMomentLosesNoRequest(t *testing.T) {
	is := is.New(t)
	cases := silenceCases()
	is.Equal(len(cases), 8*2*2*len(otherEngineKinds()))
	var ends sync.WaitGroup
	slots := make(chan struct{}, maxCases)
	for _, c := range cases {
		slots <- struct{}{}
		ends.Go(func() {
			defer func() { <-slots }()
			t.Run(fmt.Sprint(c.at, "/", c.length, "/KV cache ", c.life, "/", c.other.name), c.run)
		})
	}
	ends.Wait()
}

func (c silenceCase) run(t *testing.T) {
	w := newClusterWith(t, func(cfg *stand.EngineConfig) { cfg.KVLife = c.life })
	w.client = engine.New(engine.Config{Clock: w.timer, Directory: w}) // with the defaults
	t.Cleanup(w.client.Close)
	for _, s := range []ident.Server{"p2", "d2"} {
		c.other.set(w.engines[s])
	}
	h := &faultInjector{EngineClient: w.client, timer: w.timer, at: c.at, counter: w.engines["p1"].Counts, do: func() {
		for _, s := range []ident.Server{"p1", "d1"} {
			w.engines[s].Inject(stand.Fault{Kind: stand.FaultPause, DelayMS: c.length.Milliseconds()})
		}
	}}
	req := request(strings.Repeat("a long letter of the family ", 100))
	total := int64(len(strings.Fields(wantAnswer(req))))
	sink := &textSink{t: t, after: func(n int64) error {
		switch n {
		case 5:
			h.fire(midStream)
		case total:
			h.fire(lastToken)
		}
		return nil
	}}
	res, err := w.newRunner(h, w.keeper).Run(context.Background(), req, sink)
	if err != nil || sink.text.String() != wantAnswer(req) {
		t.Errorf("%d tokens, result %+v, error %v", sink.next, res, err)
	}
	if h.do != nil {
		t.Error("the engines were not silent")
	}
}

// set makes an engine one of the kind.
func (o otherEngines) set(e *stand.Engine) {
	for _, f := range o.faults {
		e.Inject(f)
	}
	if o.dead {
		e.Kill()
	}
}
