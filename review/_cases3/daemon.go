package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The bounds of a small deployment that a case uses, as its site's sheet names them.
const (
	contactMs     = 4000
	graceS        = 8
	drainMs       = 3000
	configApplyMs = 3000
)

// daemon is a process of the router, started with the command of the deploy file.
type daemon struct {
	name  string
	ip    string
	zone  string
	front string
	ready string
	log   *record
	cmd   *exec.Cmd
	ended chan struct{}
	conf  string
	out   *os.File
}

// zones are the data centres of the deployment and their regions.
var zones = [][2]string{{"sierra-a", "sierra"}, {"sierra-b", "sierra"}, {"costa-a", "costa"}}

// newDaemon writes the settings of a daemon. Ports are the same on all machines, which differ in their loopback address.
func newDaemon(log *record, dir, name, ip, zone, storeAddr string, seeds []string, ports [4]int) (*daemon, error) {
	d := &daemon{name: name, ip: ip, zone: zone, log: log, front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
	region := ""
	var b strings.Builder
	for _, z := range zones {
		if z[0] == zone {
			region = z[1]
		}
		fmt.Fprintf(&b, "zones.%s=%s\n", z[0], z[1])
	}
	fmt.Fprintf(&b, `node=%s
role=entry
class=edge
serves=edge,control
ip=%s
zone=%s
region=%s
listen.front=%s
listen.ready=%s
listen.control=%s:%d
portRange=%d,%d
seeds=%s
bootstrap=true
countsAsLoss=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=134
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
bounds.contactMs=%d
bounds.ackMs=5000
bounds.catchUpS=4
bounds.drainMs=%d
bounds.graceS=%d
bounds.lossSlackMs=200
bounds.configApplyMs=%d
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
bounds.reuseWindowS=7.3
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
`, name, ip, zone, region, d.front, d.ready, ip, ports[2], ports[3], ports[3]+15, strings.Join(seeds, ","), contactMs, drainMs, graceS, configApplyMs, storeAddr)
	d.conf = filepath.Join(dir, name+".conf")
	return d, os.WriteFile(d.conf, []byte(b.String()), 0o600)
}

// start starts the process.
func (d *daemon) start() error {
	out, err := os.OpenFile(strings.TrimSuffix(d.conf, ".conf")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.out = out
	d.cmd = exec.Command("target/entry", "-measures", "9464")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "WASABIDOCK_CONFIG=" + d.conf}
	d.cmd.Stdout, d.cmd.Stderr = out, out
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.log.add("%s: started", d.name)
	ended := make(chan struct{})
	d.ended = ended
	cmd := d.cmd
	go func() {
		_ = cmd.Wait()
		d.log.add("%s: ended: %v", d.name, cmd.ProcessState)
		_ = out.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.log.add("%s: %v is sent", d.name, s)
	_ = d.cmd.Process.Signal(s) // fails only if it has ended
}

// stop ends the process at once.
func (d *daemon) stop() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGCONT)
	_ = d.cmd.Process.Kill()
	<-d.ended
}

// isReady asks as the balancer does.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + d.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until the daemon is ready.
func (d *daemon) waitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.isReady() {
			d.log.add("%s: ready", d.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", d.name, within)
}

// freePorts returns n ports that are free at all loopback addresses of the case.
func freePorts(n int, ips ...string) ([]int, error) {
	var out []int
	for p := 21000 + os.Getpid()%6000; p < 32000 && len(out) < n; p++ {
		free := true
		for _, ip := range ips {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				free = false
				break
			}
			_ = u.Close()
		}
		if free {
			out = append(out, p)
		}
	}
	if len(out) < n {
		return nil, fmt.Errorf("no %d free ports", n)
	}
	return out, nil
}
