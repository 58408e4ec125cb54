package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"wasabidock.dev/dock/platform"
	"wasabidock.dev/dock/platform/fake"
)

// config is the published configuration in these tests.
const config = `{"version":%d,"routes":[
	{"name":"file","host":"h.example","pathPrefix":"/file/","kind":"mutating","timeoutMs":2000,"sloMs":400,"service":"app","maxAttempts":1},
	{"name":"ask","host":"h.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":5000,"sloMs":900,"service":"llm","maxAttempts":2,"sticky":true,"resumable":true,"gapTargetMs":300}],
	"services":[{"name":"app","maxConns":10},
	{"name":"llm","maxConns":10,"engine":{"slots":8,"kvTokens":10000,"handleTtlS":0.5,"holdMs":2000}}],
	"limits":{"maxBodyBytes":10000},
	"tenants":[{"name":"sur","apiKeys":["%s"],"plainTokens":200,"ratePerS":1000000,"burst":1000000}]}`

// syncBuffer is a buffer for the log of a daemon. It may be used concurrently.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// testDaemon is a daemon that runs in the test process.
type testDaemon struct {
	front, ready string
	settings     string
	log          syncBuffer
	hooks        []zerolog.Hook
	stop         func()
	done         chan error
}

// startDaemon runs a daemon with a settings file like the platform's.
func startDaemon(t *testing.T, name, store string, seeds ...string) *testDaemon {
	t.Helper()
	return startDaemonWith(t, name, store, 4*time.Second, seeds...)
}

// startDaemonWith is startDaemon with the time from the begin of the stop to the end of the process.
func startDaemonWith(t *testing.T, name, store string, grace time.Duration, seeds ...string) *testDaemon {
	t.Helper()
	return startDaemonIn(t, fmt.Sprintf("bounds.graceS=%g\n", grace.Seconds()), name, store, seeds...)
}

// startDaemonIn is startDaemon with more lines of the settings file.
func startDaemonIn(t *testing.T, more, name, store string, seeds ...string) *testDaemon {
	t.Helper()
	d := &testDaemon{}
	d.start(t, more, name, store, seeds...)
	return d
}

// start runs the daemon. More is added to its settings file.
func (d *testDaemon) start(t *testing.T, more, name, store string, seeds ...string) {
	t.Helper()
	d.front, d.ready, d.done = fake.FreeAddr(), fake.FreeAddr(), make(chan error, 1)
	peers := fake.FreeAddr()
	if len(seeds) == 0 {
		seeds = []string{peers}
	}
	_, port, err := net.SplitHostPort(fake.FreeAddr())
	if err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf("node=%s\nzone=a\nzones.a=r\nip=127.0.0.1\nlisten.front=%s\nlisten.ready=%s\n"+
		"listen.control=%s\nportRange=%s,%s\nseeds=%s\nplatform.address=%s\n%s",
		name, d.front, d.ready, peers, port, port, strings.Join(seeds, ","), store, more)
	path := filepath.Join(t.TempDir(), "settings.conf")
	d.settings = path
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	set := readSettings(t, path)
	stop := make(chan struct{})
	d.stop = sync.OnceFunc(func() { close(stop) })
	go func() { d.done <- runApp(context.Background(), flags{logLevel: "info"}, set, &d.log, stop, d.hooks...) }()
	t.Cleanup(func() {
		d.stop()
		if err := <-d.done; err != nil {
			t.Error(err)
		}
	})
}

func readSettings(t *testing.T, path string) *platform.Settings {
	t.Helper()
	set, err := platform.ReadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func (d *testDaemon) isReady() bool {
	resp, err := http.Get("http://" + d.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *testDaemon) ask(t *testing.T, key, path string, model bool) (int, string, error) {
	t.Helper()
	resp, err := d.send(t, key, path, model)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// send sends a request and returns the response, whose body the caller must close.
func (d *testDaemon) send(t *testing.T, key, path string, model bool) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+d.front+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set(platform.AttemptHeader, "a1")
	r.Header.Set("Authorization", "Token "+key)
	if model {
		r.Header.Set("Wasabidock-Token-Count", "100,50")
	}
	return http.DefaultTransport.RoundTrip(r)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met in time: " + what)
		}
	}
}

// startServers runs a store and one backend server of each role.
func startServers(t *testing.T) (*fake.Store, map[string]*fake.Server) {
	t.Helper()
	st := fake.NewStore()
	t.Cleanup(st.Close)
	servers := make(map[string]*fake.Server)
	for id, role := range map[string]fake.Role{"app1": fake.Plain, "p1": fake.Prefill, "d1": fake.Decode} {
		s := fake.NewServer(id, role)
		s.Register()
		t.Cleanup(s.Close)
		servers[id] = s
		service := "llm"
		if role == fake.Plain {
			service = "app"
		}
		st.Put("servers/"+id, s.Entry(service, "a"))
	}
	return st, servers
}

// TestDaemonServes guards against a daemon that answers 401 or 404 before it has a configuration,
// that still accepts a withdrawn key, or that logs keys.
func TestDaemonServes(t *testing.T) {
	is := is.New(t)
	st, servers := startServers(t)
	d := startDaemon(t, "a-1", st.Addr())
	time.Sleep(300 * time.Millisecond)
	is.True(!d.isReady()) // no configuration is published
	status, _, err := d.ask(t, "k1", "/file/1", false)
	is.NoErr(err)
	is.Equal(status, 503) // not 401 or 404: keys and routes are not known yet
	st.Put("op/config", fmt.Appendf(nil, config, 1, "k1"))
	eventually(t, "ready", d.isReady)

	status, body, err := d.ask(t, "k1", "/file/1", false)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, fake.Answer("app1", "a1"))
	status, body, err = d.ask(t, "k1", "/ask/1", true)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, fake.Event(1)+fake.Event(2)+fake.Event(3)+fake.Event(4))
	is.True(servers["d1"].Runs()[0].Header.Get("Wasabidock-Kv-Source") != "")

	// The withdrawal of a key and a new key take effect.
	st.Put("op/config", fmt.Appendf(nil, config, 5, "k2"))
	eventually(t, "the key is withdrawn", func() bool {
		status, _, _ := d.ask(t, "k1", "/file/1", false)
		return status == 401
	})
	status, _, err = d.ask(t, "k2", "/file/1", false)
	is.NoErr(err)
	is.Equal(status, 200)
	log := d.log.String()
	for _, secret := range []string{"k1", "k2"} {
		is.True(!strings.Contains(log, `"`+secret+`"`)) // keys are not logged
	}
	is.True(strings.Contains(log, `"decision":true`))
}

// TestConfigurationReachesDaemonWithoutStore guards against a daemon that has no configuration, or a
// stale one, because its store rejects all reads. The daemon must receive changes from a peer.
func TestConfigurationReachesDaemonWithoutStore(t *testing.T) {
	st, _ := startServers(t)
	refusing := fake.NewStore()
	t.Cleanup(refusing.Close)
	refusing.SetStatus(503)
	st.Put("op/config", fmt.Appendf(nil, config, 1, "k1"))
	first := startDaemon(t, "a-1", st.Addr())
	eventually(t, "the first daemon is ready", first.isReady)
	// The store of the second daemon rejects every read.
	second := startDaemon(t, "a-2", refusing.Addr(), peerAddr(t, first))
	eventually(t, "the second daemon is ready", second.isReady)
	st.Put("op/config", fmt.Appendf(nil, config, 2, "k2"))
	eventually(t, "the second daemon rejects the withdrawn key", func() bool {
		status, _, _ := second.ask(t, "k1", "/file/1", false)
		return status == 401
	})
}

// peerAddr returns the address at which a daemon serves its peers. The address is read from the log
// line of the daemon's start.
func peerAddr(t *testing.T, d *testDaemon) string {
	t.Helper()
	var addr string
	eventually(t, "the start is logged", func() bool {
		_, rest, ok := strings.Cut(d.log.String(), `"peers":"`)
		addr, _, _ = strings.Cut(rest, `"`)
		return ok
	})
	return addr
}

// TestStopFinishesRequests guards against a stopping daemon that cuts off a running stream, or that
// rejects new requests before the load balancer has seen that it is not ready.
func TestStopFinishesRequests(t *testing.T) {
	is := is.New(t)
	st, servers := startServers(t)
	st.Put("op/config", fmt.Appendf(nil, config, 1, "k1"))
	d := startDaemon(t, "a-1", st.Addr())
	eventually(t, "ready", d.isReady)
	servers["d1"].SetPace(20, 50*time.Millisecond)
	type result struct {
		status int
		body   string
		err    error
	}
	out := make(chan result, 1)
	go func() {
		status, body, err := d.ask(t, "k1", "/ask/1", true)
		out <- result{status, body, err}
	}()
	eventually(t, "the stream is running", func() bool { return len(servers["d1"].Runs()) == 1 })
	d.stop()
	eventually(t, "the daemon is not ready", func() bool { return !d.isReady() })
	status, _, err := d.ask(t, "k1", "/file/1", false)
	is.NoErr(err)
	is.Equal(status, 200) // the load balancer may not have noticed yet
	g := <-out
	is.NoErr(g.err)
	is.Equal(strings.Count(g.body, "id: "), 20) // the stream is complete
}

func TestFlags(t *testing.T) {
	tests := []struct {
		name    string
		args    []string
		env     string
		want    string
		wantErr bool
	}{
		{name: "default", want: defaultSettings},
		{name: "platform's variable", env: "/x", want: "/x"},
		{name: "flag", args: []string{"-settings", "/y"}, env: "/x", want: "/y"},
		{name: "port", args: []string{"-measures", "9464"}, want: defaultSettings},
		{name: "no port", args: []string{"-measures", "what"}, wantErr: true},
		{name: "unknown", args: []string{"-what"}, wantErr: true},
		{name: "argument", args: []string{"what"}, wantErr: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv(platform.SettingsEnv, tt.env)
			f, err := parseFlags(tt.args, io.Discard)
			is.Equal(err != nil, tt.wantErr)
			is.Equal(f.settings, tt.want)
		})
	}
}
