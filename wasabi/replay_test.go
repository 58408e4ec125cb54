package main

import (
	"bytes"
	"context"
	"flag"
	"testing"

	"github.com/matryer/is"
)

func TestReplayPrintsTheSameTwice(t *testing.T) {
	is := is.New(t)
	var out [2]bytes.Buffer
	for i := range out {
		args := []string{"-loads", "0.5,1", "-policies", "home", "-json", "../replay/testdata/koperasi.csv"}
		is.NoErr(replayCommand(&out[i], flag.NewFlagSet("replay", flag.ContinueOnError)).ParseAndRun(context.Background(), args))
	}
	is.True(bytes.Contains(out[0].Bytes(), []byte(`"policy": "home"`)))
	is.True(bytes.Equal(out[0].Bytes(), out[1].Bytes()))
}

func TestReplayRefusesBadLoads(t *testing.T) {
	is := is.New(t)
	args := []string{"-loads", "0", "../replay/testdata/koperasi.csv"}
	is.True(replayCommand(&bytes.Buffer{}, flag.NewFlagSet("replay", flag.ContinueOnError)).ParseAndRun(context.Background(), args) != nil)
}
