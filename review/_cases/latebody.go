package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	lateClients = 4
	lateWork    = 100 * time.Millisecond
	lateUpload  = 1500 * time.Millisecond
	lateBody    = 64_000
	// The clients begin to send between firstSent and lastSent after SIGTERM.
	firstSent = 5540 * time.Millisecond
	lastSent  = 5690 * time.Millisecond
	// streamPause is the time between the events of the stream that is under way.
	streamPause = 150 * time.Millisecond
)

// runLateBody stops a daemon with SIGTERM while a stream is under way, and sends requests whose bodies take a while on
// connections that were kept.
func runLateBody(b *bed, trouble bool) (result, error) {
	var replicas []*soundReplica
	for i := range 3 {
		id := fmt.Sprintf("i-%08x", 0x7f3a91c0+i)
		r, err := newSoundReplica(b.ip(110+i), id)
		if err != nil {
			return result{}, err
		}
		r.work = lateWork
		replicas = append(replicas, r)
		b.store.put("servers/"+id, entry(plainService, r.addr, "", "ready", 6, time.Now().UnixMilli()))
	}
	addr, err := freeAddr(b.ip(120))
	if err != nil {
		return result{}, err
	}
	if err := b.startReplica(&proc{id: "i-02d9e6b4", addr: addr, stage: "decode", args: []string{"-events", "68", "-pause", streamPause.String()}}); err != nil {
		return result{}, err
	}
	if err := b.start(3, 284); err != nil {
		return result{}, err
	}
	d := b.daemons[0]
	t := &tally{answered: make(map[int]int)}
	var clients sync.WaitGroup
	kept := make([]*keptClient, lateClients)
	for i := range kept {
		kept[i] = &keptClient{addr: d.front}
		if err := kept[i].connect(); err != nil {
			return result{}, err
		}
		if status, err := kept[i].call(newID(), usualBody, 0); err != nil || status != http.StatusOK {
			return result{}, fmt.Errorf("%w: first request: status %d", errSetup, status)
		}
	}
	begun := make(chan struct{}, 1)
	stream := newID()
	go func() {
		s := callStream(context.Background(), d.front, stream, 200, 160, func(n int) {
			if n == 1 {
				begun <- struct{}{}
			}
		})
		b.rec.add("client: stream %s got status %d, %d events, complete %v", stream, s.status, s.events, s.complete)
	}()
	select {
	case <-begun:
	case <-time.After(5 * time.Second):
		return result{}, fmt.Errorf("%w: the stream did not begin", errSetup)
	}
	start := time.Now()
	if trouble {
		_ = d.cmd.Process.Signal(syscall.SIGTERM)
		b.rec.add("%s gets SIGTERM", d.name)
	}
	for i, k := range kept {
		clients.Go(func() {
			defer func() { _ = k.c.Close() }()
			at := firstSent + time.Duration(i)*(lastSent-firstSent)/time.Duration(lateClients-1)
			time.Sleep(time.Until(start.Add(at)))
			id := newID()
			status, err := k.call(id, lateBody, lateUpload)
			b.rec.add("client: %s, begun %.3f s after SIGTERM, ended %.3f s after it: status %d, error %v", id, at.Seconds(), time.Since(start).Seconds(), status, err)
			t.count(b, replicas, "late", id, status, err)
		})
	}
	clients.Wait()
	if trouble {
		_, _ = d.cmd.Process.Wait()
		b.rec.add("%s has ended %.3f s after SIGTERM", d.name, time.Since(start).Seconds())
	}
	sum := fmt.Sprintf("%d requests on kept connections: answered by status %v; without an answer: %d that a replica got whole, %d others", lateClients, t.answered, t.passed, t.closed)
	if !trouble && t.answered[http.StatusOK] != lateClients {
		return result{}, fmt.Errorf("%w: without trouble: %s", errSetup, sum)
	}
	return result{broken: t.passed > 0, summary: sum}, nil
}
