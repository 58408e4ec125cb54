package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is one machine of the system with the process that runs on it.
type daemon struct {
	name, zone, front, ready string
	settings, log, root      string
	measures                 string
	oneCore                  bool // the process sees one core, as on a machine of the platform

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	termAt  time.Time     // of the SIGTERM to the process, zero for none
	starts  int
	misses  int // readiness checks in a row that were not answered with 200
	rotated bool
}

// processes are the processes that were started, so that none outlives this program.
var processes struct {
	mu   sync.Mutex
	list []*os.Process
	end  bool // no further process is started
}

// killAll ends all processes and prevents further ones.
func killAll() {
	processes.mu.Lock()
	defer processes.mu.Unlock()
	processes.end = true
	for _, p := range processes.list {
		_ = p.Kill() // fails only if the process has ended
	}
}

// firstPort and lastPort bound the ports of daemons. They lie below those that the kernel gives to outgoing connections, which could take
// a port before its daemon has started.
const (
	firstPort = 12000
	lastPort  = 32000
)

// freePort returns a loopback port that is free for TCP and UDP, and that it has not returned before.
func freePort() (int, error) {
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if given[port] {
			continue
		}
		l, err := net.Listen("tcp", addr(port))
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", addr(port))
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			given[port] = true
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free")
}

// given are the ports that freePort has returned.
var given = make(map[int]bool)

// newDaemons prepares n daemons in each zone. regions names the region of each zone. The files lie in dir, and root is the folder of the
// repository.
func newDaemons(root, dir, storeAddr string, zones, regions []string, n int, extra map[string]string) ([]*daemon, error) {
	var list []*daemon
	var seeds []string
	for i, z := range zones {
		for k := range n {
			var ports [5]int
			for p := range ports {
				var err error
				if ports[p], err = freePort(); err != nil {
					return nil, err
				}
			}
			d := &daemon{
				name: fmt.Sprintf("edge-%s-%d", z, k+1), zone: z, root: root, front: addr(ports[0]), ready: addr(ports[1]),
				measures: fmt.Sprint(ports[4]),
			}
			d.settings, d.log = filepath.Join(dir, d.name+".conf"), filepath.Join(dir, d.name+".log")
			if k == 0 && len(seeds) < 3 {
				seeds = append(seeds, addr(ports[2]))
			}
			values := []string{
				"node=" + d.name, "role=entry", "class=edge", "serves=edge,control", "ip=127.0.0.1", "zone=" + z, "region=" + regions[i],
				"listen.front=" + d.front, "listen.ready=" + d.ready, "listen.control=" + addr(ports[2]), fmt.Sprintf("portRange=%d,%d", ports[3], ports[3]),
				"bootstrap=true", "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=134", "limits.maxFds=4100", "discovery=platform", "entry=vip",
				"beatMs=1200", "bounds.contactMs=4000", "bounds.drainMs=3000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=3000",
				"bounds.budgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetExtra=58", "bounds.quotaWindowS=8", "bounds.quotaExcess=0.25",
				"bounds.quotaSlack=140000", "platform.address=" + storeAddr, "platform.form=read", "platform.readsPerS=2000", "platform.historyS=20",
			}
			for j, zz := range zones {
				values = append(values, "zones."+zz+"="+regions[j])
			}
			for k, v := range extra {
				values = append(values, k+"="+v)
			}
			if err := os.WriteFile(d.settings, []byte(strings.Join(values, "\n")+"\n"), 0o600); err != nil {
				return nil, err
			}
			list = append(list, d)
		}
	}
	for _, d := range list {
		f, err := os.OpenFile(d.settings, os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		_, err = f.WriteString("seeds=" + strings.Join(seeds, ",") + "\n")
		if err := f.Close(); err != nil {
			return nil, err
		}
		if err != nil {
			return nil, err
		}
	}
	return list, nil
}

func addr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has its own copy
	cmd := exec.Command(filepath.Join(d.root, "target/entry"), "-measures", d.measures)
	cmd.Dir, cmd.Stdout, cmd.Stderr = d.root, out, out
	cmd.Env = append(os.Environ(), "WASABIDOCK_CONFIG="+d.settings)
	if d.oneCore {
		cmd.Env = append(cmd.Env, "GOMAXPROCS=1")
	}
	processes.mu.Lock()
	defer processes.mu.Unlock()
	if processes.end {
		return fmt.Errorf("%s is not started, since the case ends", d.name)
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	processes.list = append(processes.list, cmd.Process)
	d.mu.Lock()
	defer d.mu.Unlock()
	ended := make(chan struct{})
	d.cmd, d.ended, d.termAt = cmd, ended, time.Time{}
	d.starts++
	go func() {
		_ = cmd.Wait() // the exit status is of no interest: the processes are stopped
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s == syscall.SIGTERM {
		d.termAt = time.Now()
	}
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s) // fails only if the process has ended
	}
}

// term returns the number of the present process and the time of the SIGTERM to it.
func (d *daemon) term() (start int, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.starts, d.termAt
}

// restart stops the process as the platform does and starts it again.
func (d *daemon) restart(grace time.Duration) (killed bool, err error) {
	d.signal(syscall.SIGTERM)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(grace):
		killed = true
		d.signal(syscall.SIGKILL)
		<-ended
	}
	time.Sleep(500 * time.Millisecond)
	return killed, d.start()
}

// stop ends the process at once.
func (d *daemon) stop() {
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// isReady asks the process whether it is ready.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + d.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// check does one readiness check of the platform: after two misses, the daemon is out of rotation until the next 200.
func (d *daemon) check() {
	ok := d.isReady()
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok {
		d.misses, d.rotated = 0, true
		return
	}
	if d.misses++; d.misses >= 2 {
		d.rotated = false
	}
}

func (d *daemon) inRotation() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rotated
}

// startAll starts the daemons and waits until all are ready.
func startAll(list []*daemon) error {
	for _, d := range list {
		if err := d.start(); err != nil {
			return err
		}
	}
	end := time.Now().Add(20 * time.Second)
	for _, d := range list {
		for !d.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		d.check()
	}
	return nil
}
