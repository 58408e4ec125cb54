// Package spill decides to which server of a plain service a request goes, and with that when it leaves its data
// centre.
//
// A server in the own data centre is preferred as long as it is about as fast as the others. It gets fewer requests the
// slower it answers, so that those beyond what it bears go elsewhere, and come back when its last slow response is some
// seconds old.
//
// # Usage
//
//	speeds := spill.NewSpeeds()
//	speeds.Record(server.Key(), took, now)
//	c := spill.Candidate{InFlight: 1, Distance: spill.Near, Slowdown: speeds.Slowdown(server.Key(), usual, now)}
//	cost := c.Cost(rand.Float64()) // the candidate with the lowest cost gets the request
//
// # Concurrency
//
// Speeds may be used concurrently. The package reads no clock and does no I/O.
package spill

import (
	"math"
	"sync"
	"time"

	"wasabidock.dev/dock/tick"
)

// Distance is how far a server is from this instance.
type Distance uint8

// The distances.
const (
	Near   Distance = iota // in the same data centre
	Region                 // in another data centre of the region
	Remote                 // in another region
)

var distanceNames = [...]string{"near", "region", "remote"}

// String returns the name of the distance in metrics.
func (d Distance) String() string { return distanceNames[d] }

// Distances returns all distances.
func Distances() []Distance { return []Distance{Near, Region, Remote} }

// The penalties are in requests in flight at this instance: a server may have so many more than another one before it is
// as expensive. The instance alone has few, so that those of regionPenalty and of a slow server are of the same order.
const (
	regionPenalty = 0.5
	remotePenalty = 8
	coldPenalty   = 4
	// ejectedPenalty is larger than any load.
	ejectedPenalty = 1e6
	// maxSlowdown bounds the effect of single long responses.
	maxSlowdown = 4
)

// Candidate is a server that may get a request.
type Candidate struct {
	InFlight int // requests of this instance
	Distance Distance
	Slowdown float64 // its recent response time by that of the service, 1 if not known
	Cold     bool    // it warms up
	Ejected  bool    // it has failed of late, and is chosen last
}

// Cost returns the cost of sending the next request to the server. draw is a random number in [0, 1), which spreads the
// requests of instances that see the same.
func (c Candidate) Cost(draw float64) float64 {
	cost := float64(c.InFlight) + draw + max(min(c.Slowdown, maxSlowdown)-1, 0)
	switch c.Distance {
	case Near:
	case Region:
		cost += regionPenalty
	case Remote:
		cost += remotePenalty
	}
	if c.Cold {
		cost += coldPenalty
	}
	if c.Ejected {
		cost += ejectedPenalty
	}
	return cost
}

const (
	// sampleWeight is the weight of a new response time in the moving average of its server.
	sampleWeight = 0.3
	// forgetTime is the time constant with which a response time is forgotten. A server that is not
	// called any more is tried again after some seconds.
	forgetTime = 2 * time.Second
	// expiry is how long a response time is kept.
	expiry = time.Minute
)

// speed is the recent response time of a server.
type speed struct {
	mean time.Duration
	at   tick.Instant
}

// Speeds holds the recent response times of servers.
type Speeds struct {
	mu      sync.Mutex
	servers map[string]speed // by key
}

// NewSpeeds returns a Speeds without samples.
func NewSpeeds() *Speeds { return &Speeds{servers: make(map[string]speed)} }

// Record records the response time of a server.
func (s *Speeds) Record(key string, took time.Duration, now tick.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.servers[key]
	keep := (1 - sampleWeight) * remembered(now-v.at)
	if !ok {
		for k, o := range s.servers {
			if now-o.at > expiry {
				delete(s.servers, k)
			}
		}
		keep = 0
	}
	v.mean = took + time.Duration(keep*float64(v.mean-took))
	v.at = now
	s.servers[key] = v
}

// Slowdown returns the response time of a server divided by the usual one of its service. It tends to 1 as the last sample
// ages.
func (s *Speeds) Slowdown(key string, usual time.Duration, now tick.Instant) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.servers[key]
	if !ok || usual <= 0 {
		return 1
	}
	return 1 + remembered(now-v.at)*(float64(v.mean)/float64(usual)-1)
}

// remembered returns the weight of a response time of the given age.
func remembered(age time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / forgetTime.Seconds())
}
