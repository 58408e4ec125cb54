package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelReplica is a replica of the model service. It writes what it does to standard output.
type modelReplica struct {
	id, addr, stage string
	events          int           // events of a stream
	pause           time.Duration // between events
	perToken        time.Duration // to read a token of a prompt
	unframed        bool          // streams have no length and end with their connection

	mu      sync.Mutex
	serial  int
	handles map[string]string // requests by the handles of their prompts
	free    time.Time         // when the prompts that have come so far are read
}

// runReplica runs a replica until the process is killed.
func runReplica(args []string) int {
	r := &modelReplica{handles: make(map[string]string)}
	f := flag.NewFlagSet("replica", flag.ContinueOnError)
	f.StringVar(&r.id, "id", "", "ID")
	f.StringVar(&r.addr, "addr", "", "address")
	f.StringVar(&r.stage, "stage", "decode", "stage")
	f.IntVar(&r.events, "events", 68, "events of a stream")
	f.DurationVar(&r.pause, "pause", 30*time.Millisecond, "time between events")
	f.DurationVar(&r.perToken, "per-token", 30*time.Microsecond, "time to read a token")
	f.BoolVar(&r.unframed, "unframed", false, "streams have no length")
	if f.Parse(args) != nil {
		return exitFailed
	}
	ln, err := net.Listen("tcp", r.addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return exitFailed
		}
		go r.serve(c)
	}
}

func (r *modelReplica) say(format string, args ...any) {
	fmt.Printf("replica %s: %s\n", r.id, fmt.Sprintf(format, args...))
}

func (r *modelReplica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for br := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !r.answer(c, req, body) {
			return
		}
	}
}

// answer answers a request and reports whether its connection is kept.
func (r *modelReplica) answer(c net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get(attemptHeader)
	switch {
	case req.URL.Path == "/api/hold-take":
		var want struct{ Tokens, TTLMs int }
		_ = json.Unmarshal(body, &want)
		r.mu.Lock()
		r.serial++
		hold := fmt.Sprintf("h%s%d", r.id, r.serial)
		r.mu.Unlock()
		r.say("sets memory aside for %d tokens", want.Tokens)
		reply(c, 200, "", "Content-Type: application/json", fmt.Sprintf(`{"hold":%q}`, hold))
	case strings.HasPrefix(req.URL.Path, "/api/"):
		reply(c, 200, "", "Content-Type: application/json", "{}")
	case req.Header.Get(expectHeader) != r.id:
		reply(c, 421, id, "Wasabidock-Replica-Id: "+r.id, "")
	case (req.Header.Get(stageHeader) == "prefill") != (r.stage == "prefill"):
		reply(c, 421, id, "Wasabidock-Replica-Id: "+r.id, "")
	case r.stage == "prefill":
		r.readPrompt(c, req, id)
	default:
		r.say("reached by %s", id)
		return r.stream(c, req, id)
	}
	return true
}

func reply(c net.Conn, status int, id, field, body string) {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\nContent-Length: %d\r\n", status, http.StatusText(status), field, len(body))
	if id != "" {
		head += attemptHeader + ": " + id + "\r\n"
	}
	_, _ = io.WriteString(c, head+"\r\n"+body) // the caller may have disconnected
}

func promptTokens(req *http.Request) int {
	in, _, _ := strings.Cut(req.Header.Get("Wasabidock-Token-Count"), ",")
	n, _ := strconv.Atoi(in)
	return n
}

// readPrompt reads a prompt after those that came before.
func (r *modelReplica) readPrompt(c net.Conn, req *http.Request, id string) {
	tokens := promptTokens(req)
	r.say("gets the prompt of %s", id)
	r.mu.Lock()
	if now := time.Now(); r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(time.Duration(tokens) * r.perToken)
	done := r.free
	r.mu.Unlock()
	time.Sleep(time.Until(done))
	r.mu.Lock()
	r.serial++
	handle := fmt.Sprintf("%s%06d", strings.TrimPrefix(r.id, "i-"), r.serial)
	r.handles[handle] = id
	r.mu.Unlock()
	r.say("has read the prompt of %s", id)
	reply(c, 200, id, "Content-Type: application/json", fmt.Sprintf(`{"kvHandle":%q,"tokens":%d,"version":1}`, handle, tokens))
}

// stream runs a request. It reports whether the connection is kept.
func (r *modelReplica) stream(c net.Conn, req *http.Request, id string) bool {
	if src := req.Header.Get("Wasabidock-Kv-Source"); src == "" {
		time.Sleep(2 * time.Duration(promptTokens(req)) * r.perToken)
	}
	r.say("runs %s", id)
	framing := "Transfer-Encoding: chunked"
	if r.unframed {
		framing = "Connection: close"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Type: text/event-stream\r\n%s\r\n\r\n", attemptHeader, id, sealHeader, r.id, framing)
	for i := 1; i <= r.events && err == nil; i++ {
		e := eventText(id, i)
		if r.unframed {
			_, err = io.WriteString(c, e)
		} else {
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		r.say("%s: event %d of %d", id, i, r.events)
		time.Sleep(r.pause)
	}
	if err != nil {
		r.say("%s: its caller has left: %v", id, err)
		return false
	}
	r.say("%s: ended in full", id)
	if r.unframed {
		return false
	}
	_, err = io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func eventText(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
}

// proc is a replica that runs as a process of its own.
type proc struct {
	id, addr, stage string
	public          string // address in the store, empty for addr
	args            []string
	cmd             *exec.Cmd
	born            int64
}

// startReplica starts a replica and enters it in the store.
func (b *bed) startReplica(p *proc) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	p.cmd = exec.Command(self, append([]string{"replica", "-id", p.id, "-addr", p.addr, "-stage", p.stage}, p.args...)...)
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		return err
	}
	b.procs = append(b.procs, p.cmd)
	go func() {
		for sc := bufio.NewScanner(out); sc.Scan(); {
			b.rec.add("%s", sc.Text())
			switch {
			case strings.Contains(sc.Text(), ": reached by "):
				b.rec.arrived(p.id)
			case strings.Contains(sc.Text(), ": gets the prompt of "):
				b.rec.arrived(p.id + " prompt")
			case strings.Contains(sc.Text(), ": sets memory aside"):
				b.rec.arrived(p.id + " hold")
			}
		}
	}()
	p.born = time.Now().UnixMilli()
	b.rec.add("replica %s starts at %s, process %d", p.id, p.addr, p.cmd.Process.Pid)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", p.addr); err == nil {
			_ = c.Close()
			public := p.public
			if public == "" {
				public = p.addr
			}
			b.store.put("servers/"+p.id, entry(modelService, public, p.stage, "ready", 64, p.born))
			return nil
		}
	}
	return fmt.Errorf("%w: replica %s does not listen", errSetup, p.id)
}

// freeAddr returns a free address at an IP address.
func freeAddr(ip string) (string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	addr := ln.Addr().String()
	return addr, ln.Close()
}

// patience is how long clients wait for the next event of a stream, four times the objective of 900 ms.
const patience = 3600 * time.Millisecond

// streamed is what a client has received of a stream.
type streamed struct {
	status   int
	seal     string
	events   int
	complete bool // the response ended as a whole one
	err      error
}

// callStream sends a stream request and reads the response to its end.
func callStream(ctx context.Context, addr, id string, tokens, maxOutput int, seen func(n int)) streamed {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return streamed{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(patience))
	body := strings.Repeat("x", 3000)
	head := requestHead(streamPrefix+"2f", id, 14000, "Wasabidock-Model: m", fmt.Sprintf("Wasabidock-Token-Count: %d,%d", tokens, maxOutput),
		fmt.Sprintf("Wasabidock-Prompt-Prefix: %s:%d", id, tokens), fmt.Sprintf("Content-Length: %d", len(body)), "")
	if _, err := io.WriteString(c, string(head)+body); err != nil {
		return streamed{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return streamed{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	s := streamed{status: resp.StatusCode, seal: resp.Header.Get(sealHeader)}
	for br := bufio.NewReader(resp.Body); ; {
		line, err := br.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			s.events++
			_ = c.SetDeadline(time.Now().Add(patience))
			if seen != nil {
				seen(s.events)
			}
		}
		if err != nil {
			s.complete = err == io.EOF
			s.err = err
			return s
		}
	}
}
