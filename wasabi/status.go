package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
)

// statusFlags are the flags of the status command.
type statusFlags struct {
	instances string
	only      bool
	timeout   time.Duration
	tls       tlsFiles
}

func (f *statusFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.instances, "instances", "", "addresses to ask, host:port, separated by commas")
	fs.BoolVar(&f.only, "only", false, "ask only these, not the instances that they know")
	fs.DurationVar(&f.timeout, "timeout", 3*time.Second, "longest wait for one instance")
	fs.StringVar(&f.tls.ca, "ca", "", "file with the certificates to trust; turns TLS on")
	fs.StringVar(&f.tls.cert, "cert", "", "file with the own certificate")
	fs.StringVar(&f.tls.key, "tlskey", "", "file with the key of the own certificate")
	fs.StringVar(&f.tls.name, "tlsname", "", "name that the certificates of instances must have, if not their address")
}

// client checks the flags and arguments of a command and returns the source of clients.
func (f *statusFlags) client(command string, args []string) (clientFactory, error) {
	if len(args) > 0 {
		return nil, usageError("%s takes no arguments, only flags", command)
	}
	if f.instances == "" {
		return nil, usageError("%s needs -instances", command)
	}
	client, err := f.tls.client()
	if err != nil {
		return nil, &exitError{code: exitUsage, err: err}
	}
	return client, nil
}

func (a *app) status() *ffcli.Command {
	fs := a.flags("status")
	var f statusFlags
	f.register(fs)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "wasabi status -instances HOST:PORT,...",
		ShortHelp:  "show the revision in force at each instance",
		LongHelp: "Asks the given instances, and those that they know, for the revision that they have in force, since when,\n" +
			"and which newer one they refused and why. Ends with code 3 if they disagree, 4 if one does not answer.",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			client, err := f.client("status", args)
			if err != nil {
				return err
			}
			s := &survey{client: client, scheme: f.tls.scheme(), timeout: f.timeout, reports: make(map[string]report)}
			s.ask(ctx, strings.Split(f.instances, ","))
			if !f.only {
				s.ask(ctx, s.known())
			}
			return a.printSurvey(s)
		},
	}
}

// report is what one instance answered.
type report struct {
	address string
	status  *peerpb.StatusResponse
	err     error
}

// survey asks instances for their status.
type survey struct {
	client  clientFactory
	scheme  string
	timeout time.Duration
	reports map[string]report // by address
}

// maxAsks bounds the instances that are asked at the same time.
const maxAsks = 32

// ask asks each address that has not been asked.
func (s *survey) ask(ctx context.Context, addresses []string) {
	addresses = slices.DeleteFunc(distinct(addresses), func(addr string) bool {
		_, ok := s.reports[addr]
		return ok
	})
	for _, r := range askAll(addresses, func(addr string) report { return s.askOne(ctx, addr) }) {
		s.reports[r.address] = r
	}
}

// distinct returns the addresses without empty and repeated ones.
func distinct(addresses []string) []string {
	var list []string
	for _, addr := range addresses {
		if addr = strings.TrimSpace(addr); addr != "" && !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	return list
}

// askAll asks the addresses, at most maxAsks at the same time, and returns the answers in the same order.
func askAll[T any](addresses []string, ask func(addr string) T) []T {
	answers := make([]T, len(addresses))
	slots := make(chan struct{}, maxAsks)
	var asks sync.WaitGroup
	for i, addr := range addresses {
		asks.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			answers[i] = ask(addr)
		})
	}
	asks.Wait()
	return answers
}

func (s *survey) askOne(ctx context.Context, addr string) report {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	c := peerpbconnect.NewFleetServiceClient(s.client(), s.scheme+"://"+addr)
	resp, err := c.Status(ctx, &peerpb.StatusRequest{})
	return report{address: addr, status: resp, err: err}
}

// known returns the addresses of instances that those asked know and do not
// call lost.
func (s *survey) known() []string {
	seen := make(map[string]bool)
	for _, r := range s.reports {
		for _, n := range r.status.GetNodes() {
			if n.GetState() != peerpb.State_STATE_LOST && n.GetAddress() != "" {
				seen[n.GetAddress()] = true
			}
		}
	}
	var out []string
	for addr := range seen {
		out = append(out, addr)
	}
	return out
}

// sorted returns the reports by instance, the silent ones last.
func (s *survey) sorted() []report {
	var out []report
	for _, r := range s.reports {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if (a.err == nil) != (b.err == nil) {
			return a.err == nil
		}
		if x, y := a.status.GetSelf().GetInstance(), b.status.GetSelf().GetInstance(); x != y {
			return x < y
		}
		return a.address < b.address
	})
	return out
}

func (a *app) printSurvey(s *survey) error {
	reports := s.sorted()
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "INSTANCE\tCENTRE\tSTATE\tREVISION\tIN FORCE FOR\tPLATFORM READ\tREQUESTS\tREFUSED")
	var newest uint64
	silent := 0
	for _, r := range reports {
		newest = max(newest, r.status.GetRevision())
		if r.err != nil {
			silent++
			_, _ = fmt.Fprintf(w, "%s\t-\tno answer\n", r.address)
			continue
		}
		_, _ = fmt.Fprintln(w, strings.Join(columns(r.status), "\t"))
	}
	_ = w.Flush()
	behind := a.printNotes(reports, newest)
	switch {
	case len(behind) > 0:
		return &exitError{code: exitDisagree, err: errors.Errorf("%s not at revision %d", strings.Join(behind, ", "), newest)}
	case silent > 0:
		return &exitError{code: exitSilent, err: errors.Errorf("%d of %d instances do not answer", silent, len(reports))}
	}
	a.printf("all %d instances have revision %d in force\n", len(reports), newest)
	return nil
}

func columns(st *peerpb.StatusResponse) []string {
	self := st.GetSelf()
	revision, since := "none", "-"
	if st.GetRevision() > 0 {
		revision = fmt.Sprint(st.GetRevision())
		since = span(st.GetInForceMs())
	}
	platform := "never"
	if ms := st.GetPlatformAgeMs(); ms >= 0 {
		platform = span(ms) + " ago"
	}
	refused := "-"
	if st.GetRefusedRevision() > 0 {
		refused = fmt.Sprint(st.GetRefusedRevision())
	}
	state := strings.ToLower(strings.TrimPrefix(self.GetState().String(), "STATE_"))
	return []string{
		self.GetInstance(), self.GetCentre(), state, revision, since, platform,
		fmt.Sprint(st.GetActiveRequests()), refused,
	}
}

// printNotes prints the faults of refused tables and the causes of silence,
// and returns the instances that are behind.
func (a *app) printNotes(reports []report, newest uint64) []string {
	var behind []string
	for _, r := range reports {
		if r.err != nil {
			a.printf("%s: %v\n", r.address, r.err)
			continue
		}
		name := r.status.GetSelf().GetInstance()
		if r.status.GetRevision() != newest {
			behind = append(behind, name)
		}
		for _, f := range r.status.GetFaults() {
			a.printf("%s refused: %s\n", name, f)
		}
	}
	return behind
}

func span(ms int64) string {
	d := time.Duration(ms) * time.Millisecond
	if d >= time.Minute {
		return d.Round(time.Second).String()
	}
	return d.Round(100 * time.Millisecond).String()
}
