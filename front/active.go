package front

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// errWithdrawn is the cancellation cause of requests whose API key was withdrawn.
var errWithdrawn = errors.New("front: the API key was withdrawn")

const activeShards = 16

// activeRequests counts the requests in progress and indexes the authenticated
// ones by the SHA-256 of their API key.
type activeRequests struct {
	count  atomic.Int64
	shards [activeShards]activeShard
}

type activeShard struct {
	mu   sync.Mutex // guards keys
	keys map[[32]byte]map[*exchange]context.CancelCauseFunc
}

func (a *activeRequests) shard(sum [32]byte) *activeShard { return &a.shards[sum[0]%activeShards] }

// add registers a request under the hash of its API key.
func (a *activeRequests) add(x *exchange, cancel context.CancelCauseFunc) {
	s := a.shard(x.sum)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil {
		s.keys = make(map[[32]byte]map[*exchange]context.CancelCauseFunc)
	}
	requests, ok := s.keys[x.sum]
	if !ok {
		requests = make(map[*exchange]context.CancelCauseFunc)
		s.keys[x.sum] = requests
	}
	requests[x] = cancel
}

func (a *activeRequests) remove(x *exchange) {
	s := a.shard(x.sum)
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := s.keys[x.sum]
	delete(requests, x)
	if len(requests) == 0 {
		delete(s.keys, x.sum)
	}
}

// cancelWithdrawn cancels the requests whose API key is no longer valid and
// returns their number.
func (a *activeRequests) cancelWithdrawn(valid func(sum [32]byte) bool) int {
	n := 0
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for sum, requests := range s.keys {
			if valid(sum) {
				continue
			}
			for _, cancel := range requests {
				cancel(errWithdrawn)
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}
