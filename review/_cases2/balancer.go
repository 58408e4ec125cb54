package main

import (
	"math/rand/v2"
	"time"
)

// balancer forwards new connections to daemons as the platform does.
type balancer struct {
	daemons []*daemon
	zones   []string // in order of their distance from each other
}

// watch checks the readiness of each daemon once a second until stop is closed.
func (b *balancer) watch(stop <-chan struct{}) {
	for _, d := range b.daemons {
		go func() {
			t := time.NewTicker(time.Second)
			defer t.Stop()
			for {
				select {
				case <-stop:
					return
				case <-t.C:
					d.check()
				}
			}
		}()
	}
}

// pick returns the daemon for a new connection of a client of a zone: one in rotation, any of the zone if fewer than half of them are in
// rotation, and one of another zone if none is.
func (b *balancer) pick(zone string) *daemon {
	var own, ready, far []*daemon
	for _, d := range b.daemons {
		in := d.inRotation()
		switch {
		case d.zone == zone && in:
			own, ready = append(own, d), append(ready, d)
		case d.zone == zone:
			own = append(own, d)
		case in:
			far = append(far, d)
		}
	}
	switch {
	case len(ready) == 0 && len(far) > 0:
		return far[rand.IntN(len(far))]
	case 2*len(ready) < len(own) || len(ready) == 0:
		return own[rand.IntN(len(own))]
	default:
		return ready[rand.IntN(len(ready))]
	}
}
