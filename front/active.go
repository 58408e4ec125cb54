package front

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// errWithdrawn is the cause of the end of requests whose key was withdrawn.
var errWithdrawn = errors.New("front: the key was withdrawn")

const activeShards = 16

// active holds the requests on their way by the sum of their key.
type active struct {
	count  atomic.Int64
	shards [activeShards]activeShard
}

type activeShard struct {
	mu   sync.Mutex // guards keys
	keys map[[32]byte]map[*exchange]context.CancelCauseFunc
}

func (a *active) shard(sum [32]byte) *activeShard { return &a.shards[sum[0]%activeShards] }

// add registers a request that came with the key.
func (a *active) add(x *exchange, cancel context.CancelCauseFunc) {
	s := a.shard(x.sum)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil {
		s.keys = make(map[[32]byte]map[*exchange]context.CancelCauseFunc)
	}
	of, ok := s.keys[x.sum]
	if !ok {
		of = make(map[*exchange]context.CancelCauseFunc)
		s.keys[x.sum] = of
	}
	of[x] = cancel
}

func (a *active) remove(x *exchange) {
	s := a.shard(x.sum)
	s.mu.Lock()
	defer s.mu.Unlock()
	of := s.keys[x.sum]
	delete(of, x)
	if len(of) == 0 {
		delete(s.keys, x.sum)
	}
}

// withdraw ends the requests whose key is no longer valid and returns how many
// there were.
func (a *active) withdraw(valid func(sum [32]byte) bool) int {
	n := 0
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for sum, of := range s.keys {
			if valid(sum) {
				continue
			}
			for _, cancel := range of {
				cancel(errWithdrawn)
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}
