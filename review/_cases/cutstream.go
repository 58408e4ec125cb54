package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"
)

const (
	cutEvents  = 68
	cutStreams = 12
	cutDaemons = 3 // ten where one of them freezes
	freezeTime = 3200 * time.Millisecond
	crashAfter = 200 * time.Millisecond // after the begin of the freeze
	downTime   = 2 * time.Second
)

// freezeVariant replaces the loss of a replica's machine by a crash during a freeze of the daemon.
var freezeVariant = os.Getenv("VARIANT") == "freeze"

// runCutStream ends a replica in the middle of streams without a length. Its machine is gone with it, so that
// nothing answers new connections. With freezeVariant, the replica is down for downTime instead, while the daemon is
// frozen.
func runCutStream(b *bed, trouble bool) (result, error) {
	var replicas []*proc
	var paths []*path
	for i := range 7 {
		addr, err := freeAddr(b.ip(110 + i))
		if err != nil {
			return result{}, err
		}
		p := &proc{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), addr: addr, stage: "decode", args: []string{"-unframed", "-events", fmt.Sprint(cutEvents)}}
		if !freezeVariant {
			path, err := newPath(b.ip(120+i), addr)
			if err != nil {
				return result{}, err
			}
			paths, p.public = append(paths, path), path.addr
		}
		if err := b.startReplica(p); err != nil {
			return result{}, err
		}
		replicas = append(replicas, p)
	}
	n := cutDaemons
	if freezeVariant {
		n = 10
	}
	if err := b.start(n, 284); err != nil {
		return result{}, err
	}
	d := b.daemons[0]
	ids := make([]string, cutStreams)
	for i := range ids {
		ids[i] = newID()
	}
	got := make(chan int, len(ids))
	begun := make(chan struct{}, len(ids))
	results := make([]streamed, len(ids))
	for i, id := range ids {
		go func() {
			results[i] = callStream(context.Background(), d.front, id, 3200, 160, func(n int) {
				if n == 10 {
					begun <- struct{}{}
				}
			})
			got <- i
		}()
	}
	for range ids {
		select {
		case <-begun:
		case i := <-got:
			return result{}, fmt.Errorf("%w: request %s ended early: %+v", errSetup, ids[i], results[i])
		}
	}
	victim := 0
	for i, p := range replicas {
		if len(b.rec.arrivalsAt(p.id)) > len(b.rec.arrivalsAt(replicas[victim].id)) {
			victim = i
		}
	}
	switch {
	case trouble && freezeVariant:
		if err := b.freezeAndCrash(d, replicas[victim:victim+1]); err != nil {
			return result{}, err
		}
	case trouble:
		b.rec.add("replica %s and its machine are lost", replicas[victim].id)
		paths[victim].silence()
		_ = replicas[victim].cmd.Process.Kill()
	}
	short, whole, failed := 0, 0, 0
	for range ids {
		i := <-got
		r := results[i]
		switch {
		case !r.complete || r.status != 200:
			failed++
			b.rec.add("client: %s got status %d, %d events, not complete: %v", ids[i], r.status, r.events, r.err)
		case r.events < cutEvents:
			short++
			b.rec.add("client: %s got 200, seal %q, a stream that ends as complete after event %d of %d: ORDER", ids[i], r.seal, r.events, cutEvents)
		default:
			whole++
			b.rec.add("client: %s got all %d events", ids[i], r.events)
		}
	}
	sum := fmt.Sprintf("%d streams: %d whole, %d ended as complete before their last event, %d broken off", len(ids), whole, short, failed)
	if !trouble && whole != len(ids) {
		return result{}, fmt.Errorf("%w: without trouble: %s", errSetup, sum)
	}
	return result{broken: short > 0, summary: sum}, nil
}

// freezeAndCrash freezes a daemon for freezeTime. The replicas crash meanwhile and start again after downTime.
func (b *bed) freezeAndCrash(d *daemon, replicas []*proc) error {
	_ = d.cmd.Process.Signal(syscall.SIGSTOP)
	b.rec.add("%s freezes", d.name)
	time.Sleep(crashAfter)
	for _, p := range replicas {
		b.rec.add("replica %s crashes", p.id)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
	time.Sleep(downTime)
	for _, p := range replicas {
		if err := b.startReplica(p); err != nil {
			return err
		}
	}
	time.Sleep(freezeTime - crashAfter - downTime)
	b.rec.add("%s wakes", d.name)
	return d.cmd.Process.Signal(syscall.SIGCONT)
}
