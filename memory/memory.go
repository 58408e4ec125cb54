// Package memory bounds the memory that a process keeps for others: requests, responses and what is read of either.
//
// # Usage
//
//	b := memory.NewBudget(60 << 20)
//	a := b.Account() // of one request or response
//	defer a.Free()
//	body, err := a.ReadAll(r, size, 4<<20) // ErrFull if others need the memory
//
// # Who is refused
//
// All accounts share one budget. An account over SmallBytes may not use the last quarter of it, so that a few large
// requests or responses, or endless ones, do not keep those of usual size from being served.
//
// # Concurrency
//
// A Budget is safe for concurrent use, an Account is not.
package memory

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	// SmallBytes is the size up to which an account may use the whole budget.
	SmallBytes = 64 << 10
	// largeShare is the share of the budget that larger accounts may use.
	largeShare = 0.75
	// minReadBytes is the first size of the buffer of ReadAll if the size is not known.
	minReadBytes = 512
)

// Errors of Account.ReadAll.
var (
	ErrFull    = errors.New("this instance has no memory left for it")
	ErrTooLong = errors.New("it exceeds its size limit")
)

// Budget is the memory that all accounts share. A nil Budget has no bound.
type Budget struct {
	max     atomic.Int64
	used    atomic.Int64
	refused atomic.Int64
}

// NewBudget returns a Budget of max bytes.
func NewBudget(max int64) *Budget {
	b := &Budget{}
	b.SetMax(max)
	return b
}

// SetMax changes the size of the budget. Accounts keep what they have.
func (b *Budget) SetMax(max int64) { b.max.Store(max) }

// Used returns the bytes of all accounts.
func (b *Budget) Used() int64 { return b.used.Load() }

// Refused returns how often there was no memory left since the start.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// Account returns an empty account. The caller must free it.
func (b *Budget) Account() *Account { return &Account{b: b} }

// Account is the memory that is kept for one request or response.
type Account struct {
	b *Budget
	n int64
}

// Grow adds n bytes. It returns false and adds nothing if there is no memory left.
func (a *Account) Grow(n int64) bool {
	if a.b == nil {
		return true
	}
	limit := a.b.max.Load()
	if a.n+n > SmallBytes {
		limit = int64(largeShare * float64(limit))
	}
	if a.b.used.Add(n) > limit {
		a.b.used.Add(-n)
		a.b.refused.Add(1)
		return false
	}
	a.n += n
	return true
}

// Shrink takes n bytes away that Grow has added.
func (a *Account) Shrink(n int64) {
	if a.b == nil {
		return
	}
	n = min(n, a.n)
	a.n -= n
	a.b.used.Add(-n)
}

// Size returns the bytes of the account.
func (a *Account) Size() int64 { return a.n }

// Free takes all bytes away.
func (a *Account) Free() { a.Shrink(a.n) }

// ReadAll reads r to its end and adds the memory of the result. size is the expected length, or negative if it is not known.
// The error is ErrTooLong if there are more than max bytes, and ErrFull if there is no memory left. After an error the
// account is as before.
func (a *Account) ReadAll(r io.Reader, size, max int64) ([]byte, error) {
	before := a.n
	b, err := a.readAll(r, size, max)
	if err != nil {
		a.Shrink(a.n - before)
		return nil, err
	}
	return b, nil
}

func (a *Account) readAll(r io.Reader, size, max int64) ([]byte, error) {
	if size > max {
		return nil, ErrTooLong
	}
	if size < 0 {
		size = minReadBytes
	}
	size++ // for the read that finds the end
	if !a.Grow(size) {
		return nil, ErrFull
	}
	buf := make([]byte, 0, size)
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > max:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		}
		if buf, err = a.Extend(buf, 1); err != nil {
			return nil, err
		}
	}
}

// Extend returns buf with room for at least n more bytes. Its memory grows by doubling, and while it is copied both
// buffers count.
func (a *Account) Extend(buf []byte, n int) ([]byte, error) {
	if cap(buf)-len(buf) >= n {
		return buf, nil
	}
	size := max(2*cap(buf), len(buf)+n)
	if !a.Grow(int64(size)) {
		return nil, ErrFull
	}
	grown := make([]byte, len(buf), size)
	copy(grown, buf)
	a.Shrink(int64(cap(buf)))
	return grown, nil
}
