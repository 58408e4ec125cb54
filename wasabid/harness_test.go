package main_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"wasabidock.dev/dock/engine"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/place"
	"wasabidock.dev/dock/plat"
	"wasabidock.dev/dock/stand"
	"wasabidock.dev/dock/table"
	"wasabidock.dev/dock/tick"
)

// hangLimit ends a test that hangs; no verdict depends on it otherwise.
const hangLimit = 60 * time.Second

// trusted is what callers trust; the tests that use TLS set it.
var trusted *tls.Config

// fleet is a number of daemons, each a process, on the stand-ins of one test.
type fleet struct {
	t        *testing.T
	bin      string
	timer    tick.Clock
	platform *stand.Platform
	url      string
	engines  map[string]*stand.Engine
	plain    *stand.Plain
	addrs    map[string]string
	procs    map[string]*proc
	centres  []string
	seats    int
	flags    []string // added to those of each daemon
	scheme   string   // of the callers' addresses
}

// proc is one daemon.
type proc struct {
	name    string
	cmd     *exec.Cmd
	callers string
	peers   string
	admin   string
	done    chan struct{}

	mu  sync.Mutex // guards log
	log bytes.Buffer
}

// newFleet builds the daemon and starts the stand-ins. Customers have keys
// "wk_TEST-<name>".
func newFleet(t *testing.T, centres []string, seats int) *fleet {
	t.Helper()
	f := &fleet{
		t:       t,
		bin:     filepath.Join(t.TempDir(), "wasabid"),
		timer:   tick.NewReal(),
		engines: make(map[string]*stand.Engine),
		addrs:   make(map[string]string),
		procs:   make(map[string]*proc),
		centres: centres,
		seats:   seats,
		scheme:  "http://",
	}
	if out, err := exec.Command("go", "build", "-o", f.bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	f.platform = stand.NewPlatform(stand.PlatformConfig{Timer: f.timer, Budget: 2000, Lag: 500 * time.Millisecond})
	f.url = f.serve(f.platform)
	f.plain = stand.NewPlain(stand.PlainConfig{Name: "app", Timer: f.timer})
	f.addrs["app"] = strings.TrimPrefix(f.serve(f.plain), "http://")
	for _, c := range centres {
		for _, role := range []string{stand.RolePrefill, stand.RoleDecode} {
			f.addEngine(c+"-"+role, role)
		}
	}
	f.platform.Put(plat.ServersName, []byte("[]"))
	return f
}

func (f *fleet) addEngine(name, role string) {
	e := stand.NewEngine(stand.EngineConfig{
		Server:       ident.Server(name),
		Role:         role,
		Models:       []engine.LoadedModel{{Model: "dossier"}},
		Build:        "1",
		Timer:        f.timer,
		Places:       20,
		PrefillToken: 20 * time.Microsecond,
		TokenTime:    2 * time.Millisecond,
		Pieces:       func(p string) []uint64 { return place.BlockHashes(p, 1000) },
	})
	f.t.Cleanup(e.Close)
	f.engines[name] = e
	f.addrs[name] = strings.TrimPrefix(f.serve(e), "http://")
}

func (f *fleet) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	f.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.URL
}

// publish publishes a table with the customers' rows and keys under revision.
func (f *fleet) publish(revision uint64, customers, keys []string) {
	f.t.Helper()
	rows := []string{
		"class,name,first_token,token_gap,queue,cross,priority",
		"class,interactive,1200ms,77ms,5s,no,10",
		"class,patient,60s,200ms,60s,no,1",
		"model,name,class,piece_tokens,max_prompt,max_output",
		"model,dossier,interactive,1000,40000,100000",
		"centre,name,region",
	}
	for _, c := range f.centres {
		rows = append(rows, "centre,"+c+",r1")
	}
	rows = append(rows, "seat,name,centre,share")
	n := int64(len(f.centres) * f.seats)
	left := table.ShareUnit
	for _, name := range f.names() {
		share := table.ShareUnit / n
		if left -= share; left < share {
			share += left
		}
		rows = append(rows, fmt.Sprintf("seat,%s,%s,%d", name, centreOf(name), share))
	}
	rows = append(rows, "customer,name,weight,rate,burst")
	for _, c := range customers {
		rows = append(rows, "customer,"+c)
	}
	rows = append(rows, "key,customer,hash")
	for _, k := range keys {
		rows = append(rows, "key,"+k+","+table.FormatSum(table.KeySum("wk_TEST-"+k)))
	}
	rows = append(rows, "server,name,centre,kind,role,model,service,address,places,rate,link")
	for name := range f.engines {
		rows = append(rows, fmt.Sprintf("server,%s,%s,engine,%s,dossier,,%s,20,50000,1250000000", name, centreOf(name), name[strings.LastIndex(name, "-")+1:], f.addrs[name]))
	}
	rows = append(rows,
		"server,app,"+f.centres[0]+",service,,,app,"+f.addrs["app"]+",,,",
		"route,name,prefix,service,open,idempotent,timeout,body_limit,key_age,home,status",
		"route,confirm,/confirm,app,no,no,10s,65536,10s,,/status")
	t, faults := table.Parse(revision, []table.File{{Name: "test", Data: []byte(strings.Join(rows, "\n") + "\n")}})
	for _, x := range faults {
		f.t.Error(x)
	}
	if t == nil {
		f.t.Fatal("table refused")
	}
	head, parts := t.Split()
	for i, p := range head.Parts {
		f.platform.Put(p.Name(), parts[i])
	}
	f.platform.Put(table.HeadName, head.Encode())
}

// names returns the seats, "<centre>-<number>".
func (f *fleet) names() []string {
	var list []string
	for _, c := range f.centres {
		for i := range f.seats {
			list = append(list, fmt.Sprintf("%s-%d", c, i+1))
		}
	}
	return list
}

// centreOf returns the data centre in the name of a seat or engine.
func centreOf(name string) string {
	centre, _, _ := strings.Cut(name, "-")
	return centre
}

// startAll starts a daemon in each seat and waits until all are ready.
func (f *fleet) startAll() {
	f.t.Helper()
	for _, name := range f.names() {
		f.start(name)
	}
	f.list()
	for _, name := range f.names() {
		f.await(name+" ready", f.procs[name].ready)
	}
}

// start starts a daemon in a seat and waits until it listens.
func (f *fleet) start(name string) *proc {
	f.t.Helper()
	p := &proc{name: name, done: make(chan struct{})}
	p.cmd = exec.Command(f.bin, append([]string{
		"-instance", name, "-centre", centreOf(name), "-platform", f.url,
		"-listen", "127.0.0.1:0", "-peer-listen", "127.0.0.1:0", "-admin-listen", "127.0.0.1:0", "-drain-notice", "500ms",
	}, f.flags...)...)
	r, w, err := os.Pipe()
	if err != nil {
		f.t.Fatal(err)
	}
	p.cmd.Stderr = w
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	_ = w.Close()
	go p.read(r)
	f.t.Cleanup(func() { p.kill() })
	f.procs[name] = p
	f.await(name+" listening", func() bool { return p.parse(f.scheme) })
	return p
}

func (p *proc) read(r io.ReadCloser) {
	defer close(p.done)
	defer func() { _ = r.Close() }()
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		p.mu.Lock()
		p.log.Write(sc.Bytes())
		p.log.WriteByte('\n')
		p.mu.Unlock()
	}
}

func (p *proc) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// parse finds the daemon's addresses in its log.
func (p *proc) parse(scheme string) bool {
	for _, line := range strings.Split(p.text(), "\n") {
		var l struct{ Callers, Peers, Admin, Message string }
		if json.Unmarshal([]byte(line), &l) == nil && l.Message == "app: listening" {
			p.callers, p.peers, p.admin = scheme+l.Callers, l.Peers, "http://"+l.Admin
			return true
		}
	}
	return false
}

func (p *proc) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(p.admin + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// kill ends the process at once and waits for its end.
func (p *proc) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	<-p.done
}

// list publishes the list of instances.
func (f *fleet) list() {
	var items []plat.Instance
	for name, p := range f.procs {
		items = append(items, plat.Instance{Instance: ident.Instance(name), Centre: ident.Centre(centreOf(name)), Address: p.peers, State: "live"})
	}
	data, err := json.Marshal(items)
	if err != nil {
		f.t.Fatal(err)
	}
	f.platform.Put(plat.InstancesName, data)
}

// await waits until ok and returns how long that took.
func (f *fleet) await(what string, ok func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > hangLimit {
			f.t.Fatalf("%s: not within %v", what, hangLimit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// revision returns the revision that a daemon logged last as in force.
func (p *proc) revision() uint64 {
	var last uint64
	for _, line := range strings.Split(p.text(), "\n") {
		var l struct {
			Revision uint64
			Message  string
		}
		if json.Unmarshal([]byte(line), &l) == nil && l.Message == "app: table in force" {
			last = l.Revision
		}
	}
	return last
}

// chat sends a request for n output tokens and returns the status and body.
func chat(ctx context.Context, p *proc, key string, n int, stream bool) (int, string, error) {
	return chatIn(ctx, p, "interactive", key, n, stream)
}

// chatIn is chat in a latency class.
func chatIn(ctx context.Context, p *proc, class, key string, n int, stream bool) (int, string, error) {
	body := fmt.Sprintf(`{"model":"dossier","class":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"[output=%d] letter"}]}`, class, n, stream, n)
	return post(ctx, p.callers+"/v1/chat/completions", key, "", body)
}

func post(ctx context.Context, url, key, idempotency, body string) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer wk_TEST-"+key)
	if idempotency != "" {
		req.Header.Set("Idempotency-Key", idempotency)
	}
	c := http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		TLSClientConfig:   trusted,
		DialContext:       (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
	}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// holds returns what the engines hold.
func (f *fleet) holds() int {
	n := 0
	for _, e := range f.engines {
		n += e.Counts().Holds
	}
	return n
}
