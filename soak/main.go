// Soak plays faults on real daemons and checks from outside what the platform's
// pages promise: from what callers and backend servers see.
//
// # Usage
//
//	go build -o bin/ ./entry ./soak
//	bin/soak -entry bin/entry -seeds 50
//
// Each seed starts a fleet of daemons, a store and backend servers on the
// loopback, puts load on it, and carries a plan out: processes are stopped,
// paused, killed and started again by signals; connections are cut, delayed and
// reset by proxies; the store and the backend servers fail; keys are withdrawn; at
// last each daemon stands still once. Then all is mended, and the fleet must serve all sorts of calls again. The same seed gives the
// same plan. A broken promise is printed with a case of it, and the exit code
// is 1. At the end the silences of sound servers that requests met are printed,
// by the moment of the response and what other servers did. With -plant a fault
// stands between clients and daemons that must be found: then the exit code is 1
// if it is not.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3"

	"wasabidock.dev/dock/platform/fake"
)

// envPrefix begins the environment variables that stand for flags.
const envPrefix = "WASABI"

// largeRoutes is the number of routes that no call uses in a large configuration, about 300 KB.
const largeRoutes = 1400

// flags are the checked flags of the tool.
type flags struct {
	entry   string
	first   uint64
	seeds   uint64
	daemons int
	trouble time.Duration
	quiet   time.Duration
	gap     time.Duration
	plant   string
	dir     string
	verbose bool
}

func parseFlags(args []string, out io.Writer) (flags, error) {
	var f flags
	fs := flag.NewFlagSet("soak", flag.ContinueOnError)
	fs.SetOutput(out)
	fs.StringVar(&f.entry, "entry", "bin/entry", "`path` of the daemon's program")
	fs.Uint64Var(&f.first, "first", 1, "first seed")
	fs.Uint64Var(&f.seeds, "seeds", 1, "`number` of seeds")
	fs.IntVar(&f.daemons, "daemons", 3, "`number` of daemons")
	fs.DurationVar(&f.trouble, "trouble", 12*time.Second, "`time` of the trouble")
	fs.DurationVar(&f.quiet, "quiet", settleTime+3*time.Second, "`time` of load after it")
	fs.DurationVar(&f.gap, "gap", 500*time.Millisecond, "mean `time` between faults")
	fs.StringVar(&f.plant, "plant", "", "`name` of a fault that must be found")
	fs.StringVar(&f.dir, "dir", "", "`directory` for settings and logs, kept; by default a temporary one that is kept if a promise breaks")
	fs.BoolVar(&f.verbose, "v", false, "print the plans")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return flags{}, err
	}
	switch {
	case fs.NArg() > 0:
		return flags{}, errors.Errorf("unexpected argument %q", fs.Arg(0))
	case f.daemons < 1 || f.daemons > 100:
		return flags{}, errors.Errorf("daemons: %d is not from 1 to 100", f.daemons)
	case f.trouble <= 0 || f.gap <= 0:
		return flags{}, errors.New("trouble and gap: must be above 0")
	case f.quiet <= settleTime:
		return flags{}, errors.Errorf("quiet: must be above %v, the time to recover", settleTime)
	case f.plant != "" && plants[f.plant] == nil:
		return flags{}, errors.Errorf("plant: %q is not known", f.plant)
	}
	return f, nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := run(ctx, os.Args[1:], os.Stdout)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string, out io.Writer) int {
	f, err := parseFlags(args, out)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintln(out, "soak:", err) // nowhere else to say it
		return 2
	}
	code, met := 0, make(cells)
	defer func() { met.write(out) }()
	for seed := f.first; seed < f.first+f.seeds && ctx.Err() == nil; seed++ {
		broken, err := soak(ctx, f, seed, met, out)
		if err != nil {
			_, _ = fmt.Fprintf(out, "seed %d: %v\n", seed, err)
			return 1
		}
		if (f.plant == "") == (len(broken) > 0) {
			code = 1
		}
	}
	return code
}

// soak plays one seed and returns the promises that it broke.
func soak(ctx context.Context, f flags, seed uint64, met cells, out io.Writer) ([]string, error) {
	plan := append(newPlan(seed, shape{daemons: f.daemons, servers: len(roles), trouble: f.trouble, gap: f.gap}), freezes(f.daemons, f.trouble)...)
	if f.verbose {
		for _, s := range plan {
			_, _ = fmt.Fprintf(out, "  %v %s %d %s %v", s.at, s.act, s.target, s.fault, s.lasts)
			switch s.act {
			case second:
				_, _ = fmt.Fprintf(out, " %+v", s.second)
			case silence:
				_, _ = fmt.Fprintf(out, " %+v", s.quiet)
			case restrict, chill, evacuate, restore:
				_, _ = fmt.Fprintf(out, " %v", s.move)
			case tune:
				_, _ = fmt.Fprintf(out, " %+v", s.tuned)
			}
			_, _ = fmt.Fprintln(out)
		}
	}
	dir, err := workDir(f.dir, seed)
	if err != nil {
		return nil, err
	}
	rec, err := play(ctx, f, seed, dir, plan)
	if err != nil {
		return nil, err
	}
	met.add(rec)
	broken := judge(rec)
	served := 0
	for _, o := range rec.calls {
		if o.served() {
			served++
		}
	}
	_, _ = fmt.Fprintf(out, "seed %d: %d steps, %d calls, %d served, %d promises broken\n", seed, len(plan), len(rec.calls), served, len(broken))
	_, _ = fmt.Fprintf(out, "  without a whole answer: %s\n", rec.endings())
	_, _ = fmt.Fprintf(out, "  stops: %s\n", rec.besideStops())
	for _, b := range broken {
		_, _ = fmt.Fprintf(out, "  %s\n", b)
	}
	if len(broken) > 0 || f.dir != "" {
		_, _ = fmt.Fprintf(out, "  logs: %s\n", dir)
		return broken, nil
	}
	return nil, os.RemoveAll(dir)
}

func workDir(dir string, seed uint64) (string, error) {
	if dir == "" {
		return os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	}
	return dir, os.MkdirAll(dir, 0o700)
}

// routesOf returns the number of routes that no call uses. The configuration of each third seed is large.
func routesOf(seed uint64) int {
	if seed%3 == 0 {
		return largeRoutes
	}
	return 0
}

// play starts a fleet, puts load on it and carries the plan out.
func play(ctx context.Context, f flags, seed uint64, dir string, plan []step) (*record, error) {
	rec := newRecord()
	fleetCtx, end := context.WithCancel(context.WithoutCancel(ctx))
	fl, err := newFleet(fleetCtx, f.entry, dir, f.daemons, routesOf(seed), rec)
	defer func() {
		end()
		fl.wait()
	}()
	if err != nil {
		return nil, err
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		fl.watchMemory(loadCtx)
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		load(loadCtx, seed, fl, rec, plants[f.plant])
	}()
	newCarrier(fl, rec, plants[f.plant]).run(ctx, plan)
	rec.calm = time.Now()
	select {
	case <-ctx.Done():
	case <-time.After(f.quiet):
	}
	stop()
	<-done
	<-watched
	rec.end = time.Now()
	// Servers that work for clients that have left are given the time to end.
	time.Sleep(2 * goneTime)
	for _, s := range fl.servers {
		rec.runs[s.ID()], rec.arrivals[s.ID()], rec.rested[s.ID()] = s.Runs(), s.Arrivals(), s.Backoffs()
		rec.called[s.ID()], rec.limits[s.ID()], rec.pauses[s.ID()] = s.Calls(), s.LimitSpans(), s.Pauses()
		rec.collectPlaces(s)
		rec.misuses = append(rec.misuses, s.Misuses()...)
		rec.crashes = append(rec.crashes, s.Crashes()...)
	}
	slices.SortFunc(rec.crashes, func(a, b fake.Crash) int { return a.At.Compare(b.At) })
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "stopped early")
	}
	for _, d := range fl.daemons {
		if strings.Contains(d.tail(200), "panic: ") {
			rec.exited(d.name + " panicked")
		}
	}
	return rec, nil
}
