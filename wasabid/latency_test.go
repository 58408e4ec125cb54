package main_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/flow"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

const (
	latencyRate    = 300 // streams a second
	latencyWindow  = 5 * time.Second
	latencyTokens  = 8
	latencyDecodes = 12
	latencyLimit   = 5 * time.Second // of one stream
	histogramMax   = 10_000_000      // µs
	histogramDigit = 3
	callerConns    = 1024 // idle connections of the caller
)

// timing is what one stream took from its first call on.
type timing struct {
	first, total time.Duration
}

// latencies are the timings of many streams.
type latencies struct {
	mu           sync.Mutex // guards everything below
	first, total *hdrhistogram.Histogram
	failed       []string
}

func newLatencies() *latencies {
	return &latencies{
		first: hdrhistogram.New(1, histogramMax, histogramDigit),
		total: hdrhistogram.New(1, histogramMax, histogramDigit),
	}
}

func (l *latencies) add(t timing, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		err = l.first.RecordValue(t.first.Microseconds())
	}
	if err == nil {
		err = l.total.RecordValue(t.total.Microseconds())
	}
	if err != nil {
		l.failed = append(l.failed, err.Error())
	}
}

// row writes the percentiles in milliseconds.
func (l *latencies) row(w io.Writer, name string) {
	_, _ = fmt.Fprintf(w, "%-8s", name)
	for _, h := range []*hdrhistogram.Histogram{l.first, l.total} {
		for _, q := range []float64{50, 99} {
			_, _ = fmt.Fprintf(w, " %10.2f", float64(h.ValueAtQuantile(q))/1e3)
		}
	}
	_, _ = fmt.Fprintf(w, " %8d %8d\n", l.total.TotalCount(), len(l.failed))
}

// less writes the differences of the percentiles.
func (l *latencies) less(w io.Writer, o *latencies) {
	_, _ = fmt.Fprintf(w, "%-8s", "added")
	for _, p := range [][2]*hdrhistogram.Histogram{{l.first, o.first}, {l.total, o.total}} {
		for _, q := range []float64{50, 99} {
			_, _ = fmt.Fprintf(w, " %10.2f", float64(p[0].ValueAtQuantile(q)-p[1].ValueAtQuantile(q))/1e3)
		}
	}
	_, _ = fmt.Fprintln(w)
}

// TestSlopesLatency measures what one daemon adds to the latency of streams
// over the loopback, against the same steps called at the engines directly.
// Each round measures both, and the order changes from round to round. The
// verdict is on whole answers only, never on time.
func TestSlopesLatency(t *testing.T) {
	wantSlopes(t)
	is := is.New(t)
	f := newFleet(t, []string{"east"}, 1)
	decodes := []ident.Server{"east-decode"}
	for i := 1; i < latencyDecodes; i++ {
		name := fmt.Sprintf("east-x%d-decode", i)
		f.addEngine(name, "decode")
		decodes = append(decodes, ident.Server(name))
	}
	f.publish(1, []string{"calm,1,100000000,400000000"}, []string{"calm"})
	f.startAll()
	p := f.procs["east-1"]
	f.await("first charge", func() bool {
		s, _, err := chat(t.Context(), p, "calm", 1, false)
		return err == nil && s == http.StatusOK
	})
	d := newDirect(f, decodes)
	defer d.client.Close()
	v := newViaDaemon(p)
	defer v.client.CloseIdleConnections()

	direct, daemon := newLatencies(), newLatencies()
	for round := range 2 {
		ways := []func(){
			func() { offer(t.Context(), direct, d.stream) },
			func() { offer(t.Context(), daemon, v.stream) },
		}
		ways[round%2]()
		ways[1-round%2]()
	}
	fmt.Printf("%d streams/s of %d tokens, ms\n%-8s %10s %10s %10s %10s %8s %8s\n", latencyRate, latencyTokens,
		"", "first p50", "first p99", "total p50", "total p99", "whole", "failed")
	direct.row(os.Stdout, "direct")
	daemon.row(os.Stdout, "daemon")
	daemon.less(os.Stdout, direct)
	for _, l := range []*latencies{direct, daemon} {
		is.Equal(l.failed, nil) // every stream is whole
		is.True(l.total.TotalCount() > 0)
	}
}

// offer starts streams at the rate for a window and waits for their ends.
func offer(ctx context.Context, l *latencies, stream func(context.Context, int) (timing, error)) {
	ticks := time.NewTicker(time.Second / latencyRate)
	defer ticks.Stop()
	var wg sync.WaitGroup
	for i := range int(latencyWindow.Seconds() * latencyRate) {
		<-ticks.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			limited, cancel := context.WithTimeout(ctx, latencyLimit)
			defer cancel()
			l.add(stream(limited, i))
		}()
	}
	wg.Wait()
}

// direct takes the steps of a stream at the engines without a daemon.
type direct struct {
	client  *engine.Client
	timer   tick.Clock
	decodes []ident.Server

	mu     sync.Mutex // guards serial
	serial uint64
}

// addresses is a directory of the stand-ins.
type addresses map[string]string

// Address returns the address of a stand-in.
func (a addresses) Address(s ident.Server) (string, bool) {
	addr, ok := a[string(s)]
	return addr, ok
}

func newDirect(f *fleet, decodes []ident.Server) *direct {
	return &direct{
		client:  engine.New(engine.Config{Clock: f.timer, Directory: addresses(f.addrs)}),
		timer:   f.timer,
		decodes: decodes,
	}
}

func (d *direct) attempt() ident.Attempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serial++
	return ident.Attempt{Node: ident.Node{Instance: "direct", Incarnation: 1}, Serial: d.serial}
}

// stream runs the i-th stream: the decode engines take turns.
func (d *direct) stream(ctx context.Context, i int) (timing, error) {
	const hold = 10 * time.Second
	decode, place, cache := d.decodes[i%len(d.decodes)], d.attempt(), d.attempt()
	began := d.timer.Now()
	seat, err := d.client.Reserve(ctx, decode, flow.ReserveRequest{Attempt: place, Model: "dossier", TTL: hold, MaxOutput: latencyTokens})
	if err != nil {
		return timing{}, err
	}
	kv, err := d.client.Prefill(ctx, "east-prefill", flow.PrefillRequest{
		Attempt: cache, Model: "dossier", Prompt: fmt.Sprintf("user:\n[output=%d] letter\n\nassistant:\n", latencyTokens), TTL: hold, Decode: decode,
	})
	if err != nil {
		return timing{}, err
	}
	err = d.client.Import(ctx, decode, flow.ImportRequest{Attempt: place, Slot: seat.ID, KV: kv.Name, Source: "east-prefill"})
	if err != nil {
		return timing{}, err
	}
	t, err := d.read(ctx, decode, place, began)
	if err != nil {
		return timing{}, err
	}
	if _, err := d.client.Cancel(ctx, decode, place, 0); err != nil {
		return timing{}, err
	}
	_, err = d.client.Cancel(ctx, "east-prefill", cache, 0)
	return t, err
}

// read reads the output to its end.
func (d *direct) read(ctx context.Context, decode ident.Server, a ident.Attempt, began tick.Instant) (timing, error) {
	s, err := d.client.Stream(ctx, decode, a, 0)
	if err != nil {
		return timing{}, err
	}
	defer s.Close()
	var t timing
	for n := int64(0); ; n++ {
		ev, err := s.Next()
		if err != nil {
			return timing{}, err
		}
		if n == 0 {
			t.first = d.timer.Now() - began
		}
		if ev.End {
			t.total = d.timer.Now() - began
			if ev.Total != n || n != latencyTokens {
				return timing{}, errors.Errorf("%d tokens of %d", n, ev.Total)
			}
			return t, nil
		}
	}
}

// viaDaemon asks a daemon for streams, on connections that are kept.
type viaDaemon struct {
	client http.Client
	url    string
}

func newViaDaemon(p *proc) *viaDaemon {
	return &viaDaemon{
		client: http.Client{Transport: &http.Transport{MaxIdleConns: callerConns, MaxIdleConnsPerHost: callerConns}},
		url:    p.callers + "/v1/chat/completions",
	}
}

func (v *viaDaemon) stream(ctx context.Context, _ int) (timing, error) {
	body := fmt.Sprintf(`{"model":"dossier","max_tokens":%[1]d,"stream":true,"messages":[{"role":"user","content":"[output=%[1]d] letter"}]}`, latencyTokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, v.url, strings.NewReader(body))
	if err != nil {
		return timing{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer wk_TEST-calm")
	began := time.Now()
	resp, err := v.client.Do(req)
	if err != nil {
		return timing{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return timing{}, errors.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return readChunks(resp.Body, began)
}

// readChunks reads a streamed answer to its end.
func readChunks(r io.Reader, began time.Time) (timing, error) {
	var t timing
	tokens := 0
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		switch line := sc.Text(); {
		case line == "data: [DONE]":
			t.total = time.Since(began)
			if tokens != latencyTokens {
				return timing{}, errors.Errorf("%d tokens", tokens)
			}
			return t, nil
		case strings.Contains(line, `"content":`):
			if tokens++; tokens == 1 {
				t.first = time.Since(began)
			}
		}
	}
	return timing{}, errors.Wrap(io.ErrUnexpectedEOF, "stream without its end")
}
