package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	memoryMb      = 134 // limits.memoryMb of the site
	memoryWork    = 60 * time.Millisecond
	usualBody     = 600
	usualClients  = 12
	usualPause    = 400 * time.Millisecond // between two requests of a usual client
	longBody      = 4_000_000              // bytes of a long request, within maxBodyBytes
	uploadTime    = 1500 * time.Millisecond
	uploadChunk   = 16 << 10
	memoryPoll    = 5 * time.Millisecond
	memoryRounds  = 3
	roundTime     = 6 * time.Second
	restartDelay  = time.Second
	loadedDaemons = 2
)

// longClients is the number of clients that send a long request at once.
var longClients = envInt("CLIENTS", 24)

// soundReplica is a replica of the plain service. It reads each request whole, works, and answers.
type soundReplica struct {
	id    string
	addr  string
	slots chan struct{}
	work  time.Duration

	mu   sync.Mutex
	runs map[string]bool // by request that has arrived, whether it was run to its end
}

func newSoundReplica(ip, id string) (*soundReplica, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	r := &soundReplica{id: id, addr: ln.Addr().String(), slots: make(chan struct{}, 6), work: memoryWork, runs: make(map[string]bool)}
	go func() { _ = http.Serve(ln, r) }()
	return r, nil
}

// ServeHTTP implements http.Handler.
func (s *soundReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(attemptHeader)
	w.Header().Set(attemptHeader, id)
	if r.Header.Get(expectHeader) != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.mu.Lock()
	s.runs[id] = false
	s.mu.Unlock()
	s.slots <- struct{}{}
	time.Sleep(s.work)
	<-s.slots
	w.Header().Set(sealHeader, "seal-"+s.id)
	_, _ = io.WriteString(w, wholeAnswer(id)) // the caller may have disconnected
	s.mu.Lock()
	s.runs[id] = true
	s.mu.Unlock()
}

// arrived reports whether a request has reached the replica whole.
func (s *soundReplica) arrived(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.runs[id]
	return ok
}

// keptClient sends requests one after the other on a kept connection.
type keptClient struct {
	addr string
	c    net.Conn
	br   *bufio.Reader
}

func (k *keptClient) connect() error {
	c, err := net.DialTimeout("tcp", k.addr, time.Second)
	if err != nil {
		return err
	}
	k.c, k.br = c, bufio.NewReader(c)
	return nil
}

// call sends a request with a body in chunks, over about the given time, and returns the status of the answer.
func (k *keptClient) call(id string, size int, over time.Duration) (int, error) {
	_ = k.c.SetDeadline(time.Now().Add(4 * time.Second))
	framing := "Transfer-Encoding: chunked"
	if os.Getenv("FRAMING") == "length" {
		framing = "Content-Length: " + strconv.Itoa(size)
	}
	if _, err := k.c.Write(requestHead(mutatingPrefix+"2f", id, 2500, framing, "")); err != nil {
		return 0, err
	}
	chunk := bytes.Repeat([]byte("x"), uploadChunk)
	start := time.Now()
	for sent := 0; sent < size; {
		n := min(uploadChunk, size-sent)
		var b []byte
		if framing[0] == 'C' {
			b = chunk[:n]
		} else {
			b = fmt.Appendf(nil, "%x\r\n%s\r\n", n, chunk[:n])
		}
		if _, err := k.c.Write(b); err != nil {
			return 0, err
		}
		sent += n
		time.Sleep(time.Until(start.Add(time.Duration(float64(over) * float64(sent) / float64(size)))))
	}
	if framing[0] != 'C' {
		if _, err := io.WriteString(k.c, "0\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	resp, err := http.ReadResponse(k.br, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// tally counts the outcomes of requests that were sent on kept connections.
type tally struct {
	mu       sync.Mutex
	answered map[int]int
	passed   int // passed on to a replica, and their connection closed without an answer
	closed   int // their connection closed without an answer, not passed on
}

func (t *tally) count(b *bed, replicas []*soundReplica, what, id string, status int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.answered[status]++
		return
	}
	for _, r := range replicas {
		if r.arrived(id) {
			t.passed++
			b.rec.add("client: %s request %s was passed on to replica %s and its connection ended without an answer: %v", what, id, r.id, err)
			return
		}
	}
	t.closed++
	b.rec.add("client: %s request %s ended without an answer, not passed on: %v", what, id, err)
}

// runMemory lets many clients send long requests in chunks at once to each of two daemons, beside usual ones. The
// stand-in of the platform ends a process over its memory and starts it again.
func runMemory(b *bed, trouble bool) (result, error) {
	var replicas []*soundReplica
	for i := range 3 {
		id := fmt.Sprintf("i-%08x", 0x7f3a91c0+i)
		r, err := newSoundReplica(b.ip(110+i), id)
		if err != nil {
			return result{}, err
		}
		replicas = append(replicas, r)
		b.store.put("servers/"+id, entry(plainService, r.addr, "", "ready", 6, time.Now().UnixMilli()))
	}
	if err := b.start(3, memoryMb); err != nil {
		return result{}, err
	}
	t := &tally{answered: make(map[int]int)}
	size := usualBody
	if trouble {
		size = longBody
	}
	peaks, ends := make([]int, loadedDaemons), make([]int, loadedDaemons)
	for round := 1; round <= memoryRounds; round++ {
		b.rec.add("round %d: %d clients of each of %d daemons send a request of %d bytes, over %v", round, longClients, loadedDaemons, size, uploadTime)
		var loads sync.WaitGroup
		for i, d := range b.daemons[:loadedDaemons] {
			loads.Go(func() {
				peak, killed := b.load(d, size, replicas, t)
				peaks[i] = max(peaks[i], peak)
				if killed {
					ends[i]++
				}
			})
		}
		loads.Wait()
		for _, d := range b.daemons[:loadedDaemons] {
			if err := b.restartEnded(d); err != nil {
				return result{}, err
			}
		}
		if err := b.awaitReady(); err != nil {
			return result{}, err
		}
	}
	sum := fmt.Sprintf("peak memory %v MB, limit %d MB; processes ended for it %v times on %d of %d machines; answered by status %v; requests from kept connections without an answer: %d passed on to a replica, %d not",
		inMB(peaks), memoryMb, ends, loadedDaemons, len(b.daemons), t.answered, t.passed, t.closed)
	if !trouble && (ends[0]+ends[1] > 0 || t.passed+t.closed > 0) {
		return result{}, fmt.Errorf("%w: without trouble: %s", errSetup, sum)
	}
	return result{broken: t.passed > 3 && ends[0]+ends[1] > 0, summary: sum}, nil
}

func inMB(bytes []int) []int {
	mb := make([]int, len(bytes))
	for i, n := range bytes {
		mb[i] = n / 1_000_000
	}
	return mb
}

// load sends a round of requests to a daemon, and ends its process if that uses too much memory.
func (b *bed) load(d *daemon, size int, replicas []*soundReplica, t *tally) (peak int, killed bool) {
	ctx, cancel := context.WithCancel(context.Background())
	var watch, clients sync.WaitGroup
	watch.Go(func() { peak, killed = b.enforceMemory(ctx, d) })
	end := time.Now().Add(roundTime)
	for range usualClients {
		clients.Go(func() {
			k := &keptClient{addr: d.front}
			if k.connect() != nil {
				return
			}
			defer func() { _ = k.c.Close() }()
			for time.Sleep(rand.N(usualPause)); time.Now().Before(end); time.Sleep(usualPause) {
				id := newID()
				status, err := k.call(id, usualBody, 0)
				t.count(b, replicas, "usual", id, status, err)
				if err != nil {
					return
				}
			}
		})
	}
	time.Sleep(time.Second)
	for range longClients {
		clients.Go(func() {
			k := &keptClient{addr: d.front}
			if k.connect() != nil {
				return
			}
			defer func() { _ = k.c.Close() }()
			id := newID()
			status, err := k.call(id, usualBody, 0)
			t.count(b, replicas, "first", id, status, err)
			if err != nil || status != http.StatusOK {
				return
			}
			id = newID()
			status, err = k.call(id, size, uploadTime)
			t.count(b, replicas, "long", id, status, err)
		})
	}
	clients.Wait()
	cancel()
	watch.Wait()
	return peak, killed
}

// restartEnded starts the process of a daemon again if it was ended.
func (b *bed) restartEnded(d *daemon) error {
	if !d.ended {
		return nil
	}
	_, _ = d.cmd.Process.Wait()
	time.Sleep(restartDelay)
	d.ended = false
	return b.launch(d)
}

// enforceMemory ends the process of a daemon that uses more than memoryMb, as the platform does. It returns the most
// memory that was seen, in bytes, and whether the process was ended.
func (b *bed) enforceMemory(ctx context.Context, d *daemon) (peak int, killed bool) {
	path := fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid)
	for ctx.Err() == nil {
		n := residentBytes(path)
		peak = max(peak, n)
		if n > memoryMb<<20 {
			b.rec.add("platform: %s uses %d bytes, over memoryMb=%d (%d bytes): its process is killed", d.name, n, memoryMb, memoryMb<<20)
			if os.Getenv("NOKILL") == "" {
				d.ended = true
				_ = d.cmd.Process.Kill()
				return peak, true
			}
		}
		time.Sleep(memoryPoll)
	}
	return peak, false
}

// residentBytes returns the memory of a process without what its files hold.
func residentBytes(path string) int {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")))
			return kb << 10
		}
	}
	return 0
}
