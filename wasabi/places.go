package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"wasabidock.dev/dock/peerpb"
	"wasabidock.dev/dock/peerpb/peerpbconnect"
)

func (a *app) places() *ffcli.Command {
	fs := a.flags("places")
	var f statusFlags
	f.register(fs)
	return &ffcli.Command{
		Name:       "places",
		ShortUsage: "wasabi places -instances HOST:PORT,...",
		ShortHelp:  "show evacuated data centres and cold servers at each instance of entry",
		LongHelp: "Asks the given instances of entry for the era of the store, the configuration in force, the data centres that\n" +
			"are evacuated, and the backend servers that are cold, with the seconds until they are warm; ? marks a server\n" +
			"that is only presumed cold. Ends with code 3 if they disagree on what is evacuated, 4 if one does not answer.",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			client, err := f.client("places", args)
			if err != nil {
				return err
			}
			return a.printPlaces(askAll(distinct(strings.Split(f.instances, ",")), func(addr string) placeState {
				return askPlaces(ctx, client, f.tls.scheme(), addr, f.timeout)
			}))
		},
	}
}

// placeState is what one instance answered.
type placeState struct {
	address string
	resp    *peerpb.StateResponse
	err     error
}

func askPlaces(ctx context.Context, client clientFactory, scheme, addr string, timeout time.Duration) placeState {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := peerpbconnect.NewNewsServiceClient(client(), scheme+"://"+addr).State(ctx, &peerpb.StateRequest{})
	return placeState{address: addr, resp: resp, err: err}
}

func (a *app) printPlaces(states []placeState) error {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "INSTANCE\tCENTRE\tSTORE\tERA\tVERSION\tREVISION\tEVACUATED\tCOLD SERVERS")
	silent, evacuated := 0, make(map[string]bool)
	for _, s := range states {
		if s.err != nil {
			silent++
			_, _ = fmt.Fprintf(w, "%s\t-\tno answer\n", s.address)
			continue
		}
		r := s.resp
		list := orDash(r.GetEvacuated())
		evacuated[list] = true
		store := "read"
		if r.GetCut() {
			store = "cut off"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", r.GetInstance(), r.GetCentre(), store, r.GetEra(), r.GetTableVersion(),
			r.GetTable(), list, orDash(coldServers(r)))
	}
	_ = w.Flush()
	for _, s := range states {
		if s.err != nil {
			a.printf("%s: %v\n", s.address, s.err)
		}
	}
	switch {
	case len(evacuated) > 1:
		return &exitError{code: exitDisagree, err: errors.New("the instances disagree on the evacuated data centres")}
	case silent > 0:
		return &exitError{code: exitSilent, err: errors.Errorf("%d of %d instances do not answer", silent, len(states))}
	}
	return nil
}

// coldServers returns the cold servers with the time until they are warm.
func coldServers(r *peerpb.StateResponse) []string {
	var list []string
	for _, s := range r.GetWarming() {
		mark := ""
		if s.GetPresumed() {
			mark = "?"
		}
		list = append(list, fmt.Sprintf("%s%s (%.1f s)", s.GetId(), mark, time.Duration(s.GetLeftMs()*int64(time.Millisecond)).Seconds()))
	}
	return list
}

func orDash(list []string) string {
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ", ")
}
