package gossip

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/route"
)

func packed(t *testing.T, raw []byte) []byte {
	t.Helper()
	b, err := (&packer{}).pack(Published{Raw: raw})
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(b)
}

func TestUnpack(t *testing.T) {
	whole := packed(t, []byte(configOf(100)))
	tests := []struct {
		name   string
		packed []byte
		want   int // bytes, 0 for an error
		err    error
	}{
		{name: "whole", packed: whole, want: len(configOf(100))},
		{name: "largest", packed: packed(t, make([]byte, maxConfigBytes)), want: maxConfigBytes},
		{name: "too large", packed: packed(t, make([]byte, maxConfigBytes+1)), err: errConfigTooLong},
		{name: "truncated", packed: whole[:len(whole)/2]},
		{name: "no configuration", packed: []byte("\xff\xff\xff")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			raw, err := unpack(tt.packed)
			is.Equal(err == nil, tt.want > 0)
			is.Equal(len(raw), tt.want)
			is.True(tt.err == nil || errors.Is(err, tt.err))
		})
	}
}

// TestConfigurationForOlderPeer guards against a peer of an older process that gets a form which it does not read, and against
// the compressed form of an earlier version.
func TestConfigurationForOlderPeer(t *testing.T) {
	is := is.New(t)
	a := start(t, "a")
	for position := int64(1); position <= 2; position++ {
		raw := strings.Repeat("x", int(position))
		a.store.ApplyConfig(Published{Raw: []byte(raw), Stamp: route.Stamp{Position: position}, Age: time.Duration(position) * time.Second})
		resp, err := a.Exchange(t.Context(), &peerpb.ExchangeRequest{Want: true})
		is.NoErr(err)
		is.Equal(string(resp.GetConfig()), raw)
		is.Equal(len(resp.GetPackedConfig()), 0)
		resp, err = a.Exchange(t.Context(), &peerpb.ExchangeRequest{Want: true, Unpacks: true})
		is.NoErr(err)
		is.Equal(len(resp.GetConfig()), 0)
		b := &fakeStore{table: route.Stamp{}}
		receiver := New(Config{Self: Member{Instance: "b"}, Store: b, Clock: a.cfg.Clock})
		is.NoErr(receiver.applyConfig(resp, "a"))
		is.Equal(b.config, raw)
		is.Equal(b.table.Position, position)
		is.Equal(b.age, time.Duration(position)*time.Second)
		is.Equal(b.from, "a")
	}
}
