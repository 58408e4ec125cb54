package memory_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"wasabidock.dev/dock/memory"
)

func TestReadAll(t *testing.T) {
	const budget = 4 << 20
	tests := []struct {
		name string
		used int64 // by another account
		in   int
		size int64
		max  int64
		err  error
	}{
		{name: "empty", size: 0, max: 10},
		{name: "known size", in: 1000, size: 1000, max: 1000},
		{name: "unknown size", in: 100_000, size: -1, max: 100_000},
		{name: "shorter than said", in: 10, size: 1000, max: 1000},
		{name: "longer than said", in: 2000, size: 1000, max: 2000},
		{name: "said to be too long", in: 1000, size: 1001, max: 1000, err: memory.ErrTooLong},
		{name: "too long", in: 1001, size: -1, max: 1000, err: memory.ErrTooLong},
		{name: "no memory", in: 4 << 20, size: -1, max: 8 << 20, err: memory.ErrFull},
		{name: "no memory for large ones", used: 7 << 19, in: 100_000, size: 100_000, max: 100_000, err: memory.ErrFull},
		{name: "small ones have some", used: 7 << 19, in: 10_000, size: -1, max: 100_000},
		{name: "no memory at all", used: budget, in: 10, size: 10, max: 100, err: memory.ErrFull},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := memory.NewBudget(budget)
			other, a := b.Account(), b.Account()
			for n := tt.used; n > 0; n -= 32 << 10 {
				o := b.Account() // a small one
				is.True(o.Grow(min(n, 32<<10)))
			}
			in := strings.Repeat("x", tt.in)
			got, err := a.ReadAll(iotest.HalfReader(strings.NewReader(in)), tt.size, tt.max)
			is.True(errors.Is(err, tt.err))
			if tt.err != nil {
				is.Equal(b.Used(), tt.used)
				return
			}
			is.Equal(string(got), in)
			is.Equal(a.Size(), int64(cap(got)))
			is.Equal(b.Used(), tt.used+a.Size())
			a.Free()
			a.Free()
			other.Free()
			is.Equal(b.Used(), tt.used)
		})
	}
}

func TestReadErrorFreesMemory(t *testing.T) {
	is := is.New(t)
	b := memory.NewBudget(1 << 20)
	a := b.Account()
	is.True(a.Grow(100))
	_, err := a.ReadAll(io.MultiReader(strings.NewReader("some"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, 1000)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(b.Used(), int64(100))
}

func TestNilBudgetHasNoBound(t *testing.T) {
	is := is.New(t)
	var b *memory.Budget
	a := b.Account()
	defer a.Free()
	got, err := a.ReadAll(strings.NewReader("body"), 4, 4)
	is.NoErr(err)
	is.Equal(string(got), "body")
}

func TestBudgetChanges(t *testing.T) {
	is := is.New(t)
	b := memory.NewBudget(100)
	a := b.Account()
	is.True(a.Grow(100))
	b.SetMax(50)
	is.True(!a.Grow(1))
	is.Equal(a.Size(), int64(100)) // it keeps what it has
	b.SetMax(200)
	is.True(a.Grow(100))
	is.True(!a.Grow(1))
}
