package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"wasabidock.dev/dock/platform/fake"
)

const (
	// grace is the time from SIGTERM to SIGKILL.
	grace = 4 * time.Second
	// noticeTime is the time from SIGTERM from which a daemon without requests may end.
	noticeTime = 2500 * time.Millisecond
	// startTime bounds the start of a fleet.
	startTime = 20 * time.Second
	readyPoll = 20 * time.Millisecond
	// slowTime is how long a prompt is read at a slow server, less than the router waits for.
	slowTime = 250 * time.Millisecond
	askTime  = 500 * time.Millisecond
	// unreadyLines is the number of lines that are shown of the log of a daemon that does not become ready.
	unreadyLines = 5
)

// daemon is one seat of the router's daemons, with the process in it.
type daemon struct {
	name, front, readyAt, peers string
	bin, settings, log          string
	store                       *proxy // between the daemon and the store

	mu      sync.Mutex // guards the fields below
	cmd     *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	started int
	logged  int64 // bytes of the log at the start of the process
}

// server is a backend server behind a proxy.
type server struct {
	*fake.Server
	proxy     *proxy
	service   string
	centre    string
	evacuated atomic.Int64 // since when its data centre is evacuated, in Unix nanoseconds, 0 if it is not
	away      atomic.Bool  // it has departed
	leaves    atomic.Bool  // it says that it leaves
}

// fleet is the system under test and what it talks to.
type fleet struct {
	daemons []*daemon
	servers []*server
	store   *fake.Store
	rec     *record
	proxies int
	memory  atomic.Int64  // of a daemon, in bytes
	routes  int           // routes of the configuration that no call uses
	done    chan struct{} // a proxy has ended

	mu      sync.Mutex // guards the fields below
	version int64
	dead    []string // keys withdrawn
	tuned   tuned    // timeouts and limits of the configuration
	allowed allowed  // allowed regions of the configuration
	writes  *writes
}

// roles of the backend servers, in the order in which a plan counts them.
var roles = []fake.Role{fake.Plain, fake.Plain, fake.Plain, fake.Prefill, fake.Prefill, fake.Decode, fake.Decode, fake.Decode}

// newFleet starts the stand-ins and n daemons, and waits until these are
// ready. The configuration has the given number of routes that no call uses. The caller ends ctx and then calls wait.
func newFleet(ctx context.Context, bin, dir string, n, routes int, rec *record) (*fleet, error) {
	f := &fleet{store: fake.NewStore(), rec: rec, routes: routes, done: make(chan struct{}, n+len(roles)), version: 1, writes: newWrites()}
	f.memory.Store(processMemory)
	for _, c := range customers() {
		rec.customers[c.Name] = c
	}
	f.publish()
	for i, role := range roles {
		if err := f.addServer(ctx, i, role); err != nil {
			return f, err
		}
	}
	for i := range n {
		if err := f.addDaemon(ctx, bin, dir, i); err != nil {
			return f, err
		}
	}
	for _, d := range f.daemons {
		if err := d.start(); err != nil {
			return f, err
		}
	}
	for end := time.Now().Add(startTime); ; time.Sleep(readyPoll) {
		if f.allReady() {
			return f, nil
		}
		if time.Now().After(end) {
			return f, errors.Errorf("the daemons did not become ready:%s", f.unready())
		}
	}
}

func (f *fleet) proxy(ctx context.Context, to string) (*proxy, error) {
	p, err := newProxy(ctx, to, f.done)
	if err == nil {
		f.proxies++
	}
	return p, err
}

func (f *fleet) addServer(ctx context.Context, i int, role fake.Role) error {
	s := &server{service: fake.ModelService, centre: centreOf(i)}
	if role == fake.Plain {
		s.service = fake.PlainService
	}
	s.Server = fake.NewServerAt(fmt.Sprintf("%s-%d", s.service, i), role, fake.FreeAddr())
	f.servers = append(f.servers, s)
	p, err := f.proxy(ctx, s.ListenAddr())
	if err != nil {
		return err
	}
	s.proxy = p
	s.SetPublicAddr(p.addr())
	s.Register()
	s.SetPace(streamEvents, streamPause)
	s.SetNamed(true)
	s.SetSlowDelay(slowTime)
	f.register(s)
	return nil
}

func (f *fleet) addDaemon(ctx context.Context, bin, dir string, i int) error {
	p, err := f.proxy(ctx, f.store.Addr())
	if err != nil {
		return err
	}
	d := &daemon{
		name: fmt.Sprintf("%s-%d", centreOf(i), i), front: fake.FreeAddr(), readyAt: fake.FreeAddr(), peers: fake.FreeAddr(), bin: bin, store: p,
	}
	set := fake.Settings{
		Instance: d.name, ListenAddr: d.front, ReadyAddr: d.readyAt, PeerAddr: d.peers, DatagramPort: fake.FreePort(),
		StoreAddr: p.addr(), Grace: grace, RetryRatio: repeatRatio, RetryExtra: repeatExtra,
		Centre: centreOf(i), Centres: centreRegions, Evacuation: evacTime, ColdExcess: coldExcess, ColdSlack: coldSlack,
	}
	set.Seeds = []string{set.PeerAddr}
	if i > 0 {
		set.Seeds = []string{f.daemons[0].peers}
	}
	d.settings, d.log = filepath.Join(dir, d.name+".conf"), filepath.Join(dir, d.name+".log")
	f.daemons = append(f.daemons, d)
	if err := os.WriteFile(d.settings, []byte(set.Text()), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	return nil
}

// wait ends all that the fleet started. Its context has ended.
func (f *fleet) wait() {
	for _, d := range f.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		d.await()
	}
	for range f.proxies {
		<-f.done
	}
	for _, s := range f.servers {
		s.Close()
	}
	f.store.Close()
}

func (f *fleet) allReady() bool {
	for _, d := range f.daemons {
		if !d.ready() {
			return false
		}
	}
	return true
}

// unready returns the names of the daemons that are not ready, with the last lines of their logs.
func (f *fleet) unready() string {
	var b strings.Builder
	for _, d := range f.daemons {
		if !d.ready() {
			fmt.Fprintf(&b, "\n%s: %s", d.name, d.tail(unreadyLines))
		}
	}
	return b.String()
}

// anyReady returns the index of a daemon that takes connections, the given one
// if none does.
func (f *fleet) anyReady(rnd *rand.Rand, otherwise int) int {
	for _, i := range rnd.Perm(len(f.daemons)) {
		if f.daemons[i].ready() {
			return i
		}
	}
	return otherwise
}

// publish writes the configuration, of the next version.
func (f *fleet) publish(withdrawn ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead = append(f.dead, withdrawn...)
	f.put()
	for _, k := range withdrawn {
		f.rec.note(&f.rec.withdrawn, k)
	}
}

// tune writes the configuration with other timeouts and limits.
func (f *fleet) tune(t tuned) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tuned = t
	f.put()
}

// put writes the configuration, of the next version. The caller must hold f.mu.
func (f *fleet) put() {
	f.version++
	cfg := fake.Config{Version: f.version, Customers: customers(), Timeout: f.tuned.timeout, Idle: f.tuned.idle, MaxBody: f.tuned.maxBody,
		Regions: f.allowed.routes, ColdTime: coldTime, ColdRate: coldRate, ExtraRoutes: f.routes}
	for i, c := range cfg.Customers {
		cfg.Customers[i].Keys = without(c.Keys, f.dead)
		if c.Name != floodName {
			cfg.Customers[i].Regions = f.allowed.customer
		}
	}
	f.rec.setTimeout(cmp.Or(f.tuned.timeout, fake.RouteTimeout))
	f.rec.changed(f.allowed)
	f.write("op/config", cfg.JSON())
}

// start starts a process in the seat. The one before has ended.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "daemon")
	}
	info, err := out.Stat()
	if err != nil {
		return errors.Wrap(err, "daemon")
	}
	cmd := exec.Command(d.bin, "-settings", d.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "daemon")
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()  // the state tells how it ended
		_ = out.Close() // lines are written by the process itself
		close(ended)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd, d.ended = cmd, ended
	d.started++
	d.logged = info.Size()
	return nil
}

// listened reports whether the process in the seat has said that it listens.
func (d *daemon) listened() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, err := os.ReadFile(d.log)
	return err != nil || bytes.Contains(b[d.logged:], []byte("entry: started"))
}

// starts returns how often the seat had a fresh process.
func (d *daemon) starts() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

// signal sends a signal to the process in the seat, if it runs.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil && d.cmd.ProcessState == nil {
		_ = d.cmd.Process.Signal(s) // it may have ended meanwhile
	}
}

// await waits for the end of the process and returns its exit code.
func (d *daemon) await() int {
	d.mu.Lock()
	cmd, ended := d.cmd, d.ended
	d.mu.Unlock()
	if cmd == nil {
		return 0
	}
	<-ended
	return cmd.ProcessState.ExitCode()
}

// ready reports whether the daemon says that it takes connections.
func (d *daemon) ready() bool {
	c := http.Client{Timeout: askTime, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + d.readyAt + fake.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// tail returns the last lines of the daemon's log.
func (d *daemon) tail(lines int) string {
	b, err := os.ReadFile(d.log)
	if err != nil {
		return err.Error()
	}
	all := bytes.Split(bytes.TrimSpace(b), []byte("\n"))
	return string(bytes.Join(all[max(0, len(all)-lines):], []byte("\n")))
}
