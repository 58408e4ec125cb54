package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	drainTime     = 3000 * time.Millisecond
	drainPrompts  = 20 // at most
	queuedPrompts = 14 // at the replica that reads them, after which no more are sent
	drainTokens   = 3200
	drainEvents   = 68
	drainPause    = 9 * time.Millisecond   // between events, 0.6 s for a stream
	usualPerToken = 30 * time.Microsecond  // 33.3333 tokens in a ms
	slowPerToken  = 3 * usualPerToken      // srv_slow, at most four times
	sendPause     = 46 * time.Millisecond  // between two clients: 21.8 a second, 2.1 times 10.4
	lingers       = 500 * time.Millisecond // a little longer than drainTime
)

// runDrain sends prompts at once while the replica that reads them is slow, and lets a replica that makes the tokens
// leave right after.
func runDrain(b *bed, trouble bool) (result, error) {
	perToken := usualPerToken
	if trouble {
		perToken = slowPerToken
	}
	var replicas []*proc
	for i := range 7 {
		stage := "decode"
		if i == 0 {
			stage = "prefill"
		}
		addr, err := freeAddr(b.ip(110 + i))
		if err != nil {
			return result{}, err
		}
		p := &proc{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), addr: addr, stage: stage,
			args: []string{"-events", fmt.Sprint(drainEvents), "-pause", drainPause.String(), "-per-token", perToken.String()}}
		if err := b.startReplica(p); err != nil {
			return result{}, err
		}
		replicas = append(replicas, p)
	}
	if err := b.start(3, 284); err != nil {
		return result{}, err
	}
	results := make([]streamed, drainPrompts)
	ids := make([]string, 0, drainPrompts)
	var clients sync.WaitGroup
	for i := 0; i < drainPrompts && len(b.rec.arrivalsAt(replicas[0].id+" prompt")) < queuedPrompts; i++ {
		id := newID()
		ids = append(ids, id)
		clients.Go(func() { results[i] = callStream(context.Background(), b.daemons[i%3].front, id, drainTokens, 160, nil) })
		time.Sleep(sendPause)
	}
	b.rec.add("%d prompts of %d tokens were sent, %v apart", len(ids), drainTokens, sendPause)
	leaver := b.lastHolder(replicas)
	b.store.put("servers/"+leaver.id, entry(modelService, leaver.addr, leaver.stage, "draining", 64, leaver.born))
	acknowledged := b.rec.now()
	b.rec.add("the store has accepted that replica %s is draining", leaver.id)
	time.Sleep(drainTime + lingers)
	_ = leaver.cmd.Process.Kill()
	b.rec.add("replica %s has left", leaver.id)
	clients.Wait()
	late := 0
	for _, a := range b.rec.arrivalsAt(leaver.id) {
		if a > acknowledged+drainTime {
			late++
		}
	}
	whole, cut, other, gone := 0, 0, 0, 0
	for i, r := range results[:len(ids)] {
		switch {
		case r.status == 200 && r.complete && r.events == drainEvents:
			whole++
		case errors.Is(r.err, os.ErrDeadlineExceeded) && r.events == 0:
			gone++
			b.rec.add("client: %s leaves, no event has come for %v", ids[i], patience)
		case r.status == 200:
			cut++
			b.rec.add("client: %s got 200 and %d of %d events, then the connection ended: %v", ids[i], r.events, drainEvents, r.err)
		default:
			other++
			b.rec.add("client: %s got status %d: %v", ids[i], r.status, r.err)
		}
	}
	sum := fmt.Sprintf("%d requests reached replica %s later than drainMs after the store had accepted that it leaves; of %d clients %d got all events, %d a part, %d a failure, %d left",
		late, leaver.id, len(ids), whole, cut, other, gone)
	if !trouble && late+cut > 0 {
		return result{}, fmt.Errorf("%w: without trouble: %s", errSetup, sum)
	}
	return result{broken: late > 0, summary: sum}, nil
}

// lastHolder returns the replica that has set memory aside last.
func (b *bed) lastHolder(replicas []*proc) *proc {
	var last *proc
	var at time.Duration
	for _, p := range replicas {
		if holds := b.rec.arrivalsAt(p.id + " hold"); len(holds) > 0 && holds[len(holds)-1] > at {
			last, at = p, holds[len(holds)-1]
		}
	}
	if last == nil {
		return replicas[len(replicas)-1]
	}
	return last
}
