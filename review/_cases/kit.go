package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The names of the stand-in deployment.
const (
	hostName     = "ficu95.example"
	plainService = "wuno96b"
	modelService = "huvo11a"
	tenantName   = "hule930"
	apiKey       = "i9n73hh2b9wu3fexd9dn"

	mutatingPrefix = "/puxa403/" // mutating, one attempt
	streamPrefix   = "/pufi791/" // streaming, must not run twice

	attemptHeader = "Wasabidock-Attempt-Id"
	sealHeader    = "Wasabidock-Server-Seal"
	expectHeader  = "Wasabidock-Expect-Instance"
	notRunHeader  = "Wasabidock-Not-Executed"
	stageHeader   = "Wasabidock-Stage"

	maxBodyBytes = 4194304
)

// settleTime is how long the daemons have to know each other.
const settleTime = 2500 * time.Millisecond

// errSetup reports that a case could not run.
var errSetup = errors.New("the case could not run")

// record writes what was sent, answered and run, with the time since the start of the case.
type record struct {
	mu       sync.Mutex
	f        *os.File
	start    time.Time
	arrivals map[string][]time.Duration // times at which requests reached a replica, by its ID
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, start: time.Now(), arrivals: make(map[string][]time.Duration)}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// now returns the time since the start of the case.
func (r *record) now() time.Duration { return time.Since(r.start) }

// arrived records that a request has reached a replica.
func (r *record) arrived(replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[replica] = append(r.arrivals[replica], time.Since(r.start))
}

func (r *record) arrivalsAt(replica string) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivals[replica]
}

// item is an item of the store.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	addr string
	ln   net.Listener

	mu      sync.Mutex
	items   map[string]item
	history []item
	rev     int64
	changed chan struct{}
}

func newStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), ln: ln, items: make(map[string]item), rev: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.serveKey)
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

func (s *store) write(it item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it.Rev, it.Created = s.rev, s.rev
	if it.Removed {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // all values are plain
	}
	s.write(item{Key: key, Value: b})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		Revision int64 `json:"storeRevision"`
	}{it, s.rev})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, q.Get("pathPrefix")) && k > q.Get("after") {
			list = append(list, it)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	writeJSON(w, map[string]any{"items": list, "morePages": false, "storeRevision": s.rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Rev > after && strings.HasPrefix(it.Key, q.Get("pathPrefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, map[string]any{"events": events, "storeRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller may have disconnected
}

// config returns the operator's configuration, with the figures of the published deployments.
func config() any {
	type fields = map[string]any
	return fields{
		"version": 7,
		"routes": []fields{
			{"name": "r-file", "host": hostName, "pathPrefix": mutatingPrefix, "kind": "mutating", "timeoutMs": 2500, "sloMs": 400,
				"priority": 2, "service": plainService, "maxAttempts": 1, "public": false, "sticky": false, "resumable": false},
			{"name": "r-check", "host": hostName, "pathPrefix": streamPrefix, "kind": "streaming", "timeoutMs": 14000, "sloMs": 900,
				"priority": 1, "service": modelService, "maxAttempts": 1, "public": false, "sticky": true, "resumable": false, "gapTargetMs": 300},
		},
		"services": []fields{
			{"name": plainService, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
			{"name": modelService, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "engine": fields{
				"slots": 64, "kvTokens": 42754, "tokenKvBytes": 18432, "linkMbps": 280000.0, "moves": true, "backups": true,
				"stride": 13, "most": 12, "handleTtlS": 0.5, "stageSwitchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0,
				"models": []fields{{"name": "m"}},
			}},
		},
		"limits":  fields{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []fields{{"name": tenantName, "apiKeys": []string{apiKey}, "priority": 1, "unit": "generate", "plainTokens": 200, "ratePerS": 0, "burst": 0}},
	}
}

// entry returns what a replica writes to the store.
func entry(service, addr, stage, state string, slots int, born int64) any {
	e := map[string]any{
		"service": service, "address": addr, "zone": "sierra-a", "version": "v1", "slots": slots, "state": state,
		"coldLeftMs": 0, "seq": 4, "born": born,
	}
	if stage != "" {
		e["stage"], e["models"] = stage, []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return e
}

// daemon is a process of the deploy file's role.
type daemon struct {
	name, ip, front, ready string
	conf                   string // path of the settings
	cmd                    *exec.Cmd
	log                    *os.File
	ended                  bool // the case has ended its process
}

// bed is a small deployment: the platform's store and the daemons.
type bed struct {
	rec     *record
	root    string // of the repository
	dir     string // for settings and logs
	net     string // first three bytes of the addresses
	store   *store
	daemons []*daemon
	procs   []*exec.Cmd // other processes
}

// newBed starts the store and prepares a temporary folder.
func newBed(root string, rec *record) (*bed, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bed{rec: rec, root: root, dir: dir}
	for range 50 {
		b.net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if portsFree(b.ip(1)) && portsFree(b.ip(2)) && portsFree(b.ip(3)) && portsFree(b.ip(10)) {
			break
		}
	}
	if b.store, err = newStore(b.ip(100)); err != nil {
		return b, err
	}
	b.store.put("op/config", config())
	return b, nil
}

func (b *bed) ip(n int) string { return b.net + strconv.Itoa(n) }

func portsFree(ip string) bool {
	for _, port := range []string{"8221", "8224", "8229", "9464"} {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// start starts n daemons with the command of the deploy file and waits until they are ready.
func (b *bed) start(n, memoryMb int) error {
	for i := 1; i <= n; i++ {
		ip := b.ip(i)
		d := &daemon{name: fmt.Sprintf("edge-sierra-a-%d", i), ip: ip, front: ip + ":8221", ready: ip + ":8224"}
		b.daemons = append(b.daemons, d)
		seeds := []string{}
		for j := 1; j <= n; j++ {
			seeds = append(seeds, b.ip(j)+":8229")
		}
		path := filepath.Join(b.dir, d.name+".conf")
		if err := os.WriteFile(path, []byte(settings(d, b.store.addr, seeds, memoryMb)), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(b.dir, d.name+".log"))
		if err != nil {
			return err
		}
		d.log = log
		d.conf = path
		if err := b.launch(d); err != nil {
			return err
		}
	}
	return b.awaitReady()
}

// launch starts the process of a daemon with the command of the deploy file.
func (b *bed) launch(d *daemon) error {
	d.cmd = exec.Command("target/entry", "-measures", "9464")
	d.cmd.Dir = b.root
	d.cmd.Env = []string{"WASABIDOCK_CONFIG=" + d.conf, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	b.rec.add("daemon %s starts, process %d, front %s", d.name, d.cmd.Process.Pid, d.front)
	return nil
}

// awaitReady waits until all daemons are ready and know each other.
func (b *bed) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if b.allReady() {
			time.Sleep(settleTime)
			b.rec.add("all daemons are ready")
			return nil
		}
	}
	return fmt.Errorf("%w: the daemons did not become ready", errSetup)
}

func (b *bed) allReady() bool {
	c := http.Client{Timeout: time.Second}
	for _, d := range b.daemons {
		resp, err := c.Get("http://" + d.ready + "/api/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// stop ends all processes that the case started, and removes the temporary folder.
func (b *bed) stop() {
	for _, d := range b.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
			_, _ = d.cmd.Process.Wait()
			_ = d.log.Close()
		}
	}
	for _, p := range b.procs {
		if p.Process != nil {
			_ = p.Process.Kill()
			_, _ = p.Process.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("kept:", b.dir)
	}
}

func settings(d *daemon, storeAddr string, seeds []string, memoryMb int) string {
	return fmt.Sprintf(`node=%s
role=entry
class=edge
serves=edge,control
ip=%s
zone=sierra-a
region=sierra
zones.sierra-a=sierra
zones.costa-a=costa
zones.sierra-b=sierra
listen.front=%s
listen.ready=%s
listen.control=%s:8229
portRange=7600,7615
seeds=%s
bootstrap=true
countsAsLoss=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=%d
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
beatMs=1200
contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,quota,platform
tolerate.machines=1
tolerate.zones=0
tolerate.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=4000
bounds.ackMs=5000
bounds.catchUpS=4
bounds.drainMs=3000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=3000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=6000
bounds.strictRevoke=false
bounds.revokeMs=5000
bounds.budgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetExtra=58
bounds.quotaWindowS=8
bounds.quotaExcess=0.25
bounds.quotaSlack=140000
bounds.recoveryS=12
bounds.transitMs=400
bounds.requireFence=false
bounds.leaseMs=3000
bounds.thawMs=300
platform.address=%s
platform.form=read
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.minTtlMs=1000
`, d.name, d.ip, d.front, d.ready, d.ip, strings.Join(seeds, ","), memoryMb, storeAddr)
}

// requestHead returns the head of a client's request without the framing of its body.
func requestHead(path, id string, deadlineMs int, extra ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nWasabidock-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		path, hostName, attemptHeader, id, deadlineMs, apiKey)
	for _, line := range extra {
		b.WriteString(line + "\r\n")
	}
	return b.Bytes()
}

// newID returns the ID of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// envInt returns the value of an environment variable, or def if it has none.
func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}
