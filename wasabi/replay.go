package main

import (
	"context"
	"flag"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"wasabidock.dev/dock/replay"
)

// replaySettings are the flags of the replay command.
type replaySettings struct {
	loads    string
	policies string
	seed     uint64
	json     bool
	plot     string
	shape    string
	lag      time.Duration
}

// replay returns the command that feeds a recorded trace through the placement
// decisions and prints what the customers get.
func (a *app) replay() *ffcli.Command { return replayCommand(a.out, a.flags("wasabi replay")) }

func replayCommand(out io.Writer, fs *flag.FlagSet) *ffcli.Command {
	var s replaySettings
	fs.StringVar(&s.loads, "loads", "0.5,0.9,1,1.5,2,3", "multiples of the recorded load")
	fs.StringVar(&s.policies, "policies", "", "policies to run, all by default")
	fs.Uint64Var(&s.seed, "seed", 1, "seed of the run, or of the trace with -shape")
	fs.BoolVar(&s.json, "json", false, "print JSON in place of tables")
	fs.StringVar(&s.plot, "plot", "", "file for a plot of goodput and waste as SVG")
	fs.StringVar(&s.shape, "shape", "", "print a trace of this shape and end")
	fs.DurationVar(&s.lag, "lag", 0, "age of the load reports, 250ms by default")
	return &ffcli.Command{
		Name:       "replay",
		ShortUsage: "wasabi replay [flags] TRACE",
		ShortHelp:  "replay a recorded trace through the placement decisions",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if s.shape != "" {
				return writeShape(out, s.shape, s.seed)
			}
			if len(args) != 1 {
				return usageError("replay takes one trace")
			}
			return runReplay(out, args[0], &s)
		},
	}
}

func writeShape(out io.Writer, name string, seed uint64) error {
	shape, err := replay.ShapeOf(name)
	if err != nil {
		return err
	}
	return replay.Generate(shape, seed).Write(out)
}

func runReplay(out io.Writer, file string, s *replaySettings) error {
	f, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "open trace")
	}
	defer func() { _ = f.Close() }()
	t, err := replay.Read(f)
	if err != nil {
		return err
	}
	loads, err := numbers(s.loads)
	if err != nil {
		return err
	}
	chosen, err := policies(s.policies)
	if err != nil {
		return err
	}
	var set []replay.Result
	for _, p := range chosen {
		for _, l := range loads {
			set = append(set, replay.Run(t, replay.Options{Load: l, Policy: p, Seed: s.seed, ReportLag: s.lag}))
		}
	}
	if s.plot != "" {
		if err := writePlot(s.plot, set); err != nil {
			return err
		}
	}
	if s.json {
		return replay.WriteJSON(out, set)
	}
	return replay.WriteTable(out, set)
}

func writePlot(file string, set []replay.Result) error {
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "create plot")
	}
	if err := replay.WritePlot(f, set); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return errors.Wrap(err, "close plot")
	}
	return nil
}

func policies(list string) ([]replay.Policy, error) {
	known := replay.Policies()
	if list == "" {
		return known, nil
	}
	var out []replay.Policy
	for _, n := range strings.Split(list, ",") {
		p := replay.Policy(n)
		if !slices.Contains(known, p) {
			return nil, usageError("policy %q is not one of %v", n, known)
		}
		out = append(out, p)
	}
	return out, nil
}

func numbers(list string) ([]float64, error) {
	var out []float64
	for _, n := range strings.Split(list, ",") {
		f, err := strconv.ParseFloat(n, 64)
		if err != nil || f <= 0 {
			return nil, usageError("load %q is not a positive number", n)
		}
		out = append(out, f)
	}
	return out, nil
}
