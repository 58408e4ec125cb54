package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"text/template"
	"time"

	_ "embed"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/stand"
	"wasabidock.dev/dock/table"
	"wasabidock.dev/dock/tick"
)

// The parameters of the stand-ins.
const (
	pieceTokens  = 1000
	cachePieces  = 200
	linkRate     = 1_250_000_000 // bytes per second
	kvTokenBytes = 64 << 10
	prefillToken = 100 * time.Microsecond
	tokenTime    = 10 * time.Millisecond
	loadTime     = 500 * time.Millisecond
	reportEvery  = 500 * time.Millisecond
	eventDelay   = 300 * time.Millisecond
	eventGap     = 50
	readBudget   = 2000 // calls per second
	listLag      = 500 * time.Millisecond
)

//go:embed demo.csv
var demoTable string

// world holds the stand-ins and their HTTP servers.
type world struct {
	timer    tick.Clock
	platform *stand.Platform
	servers  []*http.Server
	engines  []*stand.Engine
	link     *stand.Link
	store    *stand.Store
	ends     chan error
}

func serveCommand() *ffcli.Command {
	fs := flag.NewFlagSet("standin serve", flag.ContinueOnError)
	tableFile := fs.String("table", "", "`file` of the table, with {{addr \"SERVER\"}} for addresses; if empty, the demo table")
	revision := fs.Uint64("revision", 1, "`revision` under which the table is published")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "standin serve [flags]",
		ShortHelp:  "Runs the stand-ins on free loopback ports until it receives a signal.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			return serve(ctx, *tableFile, *revision)
		},
	}
}

func serve(ctx context.Context, tableFile string, revision uint64) error {
	text := demoTable
	if tableFile != "" {
		data, err := os.ReadFile(tableFile)
		if err != nil {
			return errors.Wrap(err, "read the table")
		}
		text = string(data)
	}
	timer := tick.NewReal()
	w := &world{
		timer:    timer,
		platform: stand.NewPlatform(stand.PlatformConfig{Timer: timer, Budget: readBudget, Lag: listLag}),
		link:     stand.NewLink(linkRate),
		store:    stand.NewStore(timer, loadTime),
		ends:     make(chan error, 1),
	}
	defer w.close()
	t, err := w.publish(text, revision)
	if err != nil {
		return err
	}
	w.platform.Put("servers", []byte("[]"))
	w.platform.Put("instances", []byte("[]"))
	url, err := w.listen(w.platform)
	if err != nil {
		return err
	}
	fmt.Printf("platform http://%s\n", url)
	for _, s := range t.Servers() {
		fmt.Printf("server %s http://%s\n", s.Name, s.Address)
	}
	fmt.Println("ready")
	select {
	case <-ctx.Done():
		return nil
	case err := <-w.ends:
		return err
	}
}

// publish starts the backend servers of the table, inserts their addresses into the
// table and publishes it.
func (w *world) publish(text string, revision uint64) (*table.Table, error) {
	addrs := make(map[string]*lateHandler)
	var failed error
	tmpl, err := template.New("table").Funcs(template.FuncMap{"addr": func(name string) string {
		h := &lateHandler{}
		addr, err := w.listen(h)
		if err != nil {
			failed = err
		}
		addrs[name] = h
		return addr
	}}).Parse(text)
	if err != nil {
		return nil, errors.Wrap(err, "read the table")
	}
	var b bytes.Buffer
	if err := tmpl.Execute(&b, nil); err != nil {
		return nil, errors.Wrap(err, "insert the addresses into the table")
	}
	if failed != nil {
		return nil, failed
	}
	t, faults := table.Parse(revision, []table.File{{Name: "table", Data: b.Bytes()}})
	if len(faults) > 0 {
		lines := make([]string, 0, len(faults))
		for _, f := range faults {
			lines = append(lines, f.String())
		}
		return nil, errors.Errorf("table: %s", strings.Join(lines, "; "))
	}
	for _, s := range t.Servers() {
		if h := addrs[string(s.Name)]; h != nil {
			h.set(w.backend(s))
		}
	}
	head, parts := t.Split()
	for i, p := range head.Parts {
		w.platform.Put(p.Name(), parts[i])
	}
	w.platform.Put(table.HeadName, head.Encode())
	return t, nil
}

func (w *world) backend(s table.Server) http.Handler {
	if s.Kind == table.Service {
		return stand.NewPlain(stand.PlainConfig{Name: string(s.Name), Timer: w.timer})
	}
	e := stand.NewEngine(stand.EngineConfig{
		Server:       s.Name,
		Role:         string(s.Role),
		Models:       []engine.LoadedModel{{Model: s.Model}},
		Build:        "1",
		Timer:        w.timer,
		Places:       s.Places,
		Fencing:      s.Fenced,
		Store:        w.store,
		PrefillToken: prefillToken,
		TokenTime:    tokenTime,
		KVTokenBytes: kvTokenBytes,
		Link:         w.link,
		Pieces:       func(p string) []uint64 { return place.BlockHashes(p, pieceTokens) },
		CachePieces:  cachePieces,
		ReportEvery:  reportEvery,
		EventDelay:   eventDelay,
		EventGap:     eventGap,
	})
	w.engines = append(w.engines, e)
	return e
}

// listen serves h on a free loopback port and returns its address.
func (w *world) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	w.servers = append(w.servers, srv)
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			select {
			case w.ends <- err:
			default:
			}
		}
	}()
	return l.Addr().String(), nil
}

func (w *world) close() {
	for _, e := range w.engines {
		e.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// instanceOf splits NAME=CENTRE=ADDRESS.
func instanceOf(s string) (name ident.Instance, centre ident.Centre, addr string, ok bool) {
	p := strings.SplitN(s, "=", 3)
	if len(p) != 3 {
		return "", "", "", false
	}
	return ident.Instance(p[0]), ident.Centre(p[1]), p[2], true
}
