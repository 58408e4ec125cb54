package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// WriteTable writes the results as a table, one line for each run, followed
// by one line for each customer.
func WriteTable(w io.Writer, set []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	// An error of the writer comes back from Flush.
	put := func(format string, args ...any) { _, _ = fmt.Fprintf(tw, format, args...) }
	put("policy\tload\trequests\tgood\tlate\trefused\twrongful\tfailed\tgood part\tgood/s\ttokens/s\tcost/s\twaste\tworst\tfirst p95 ms\trefused p50 ms\trefused p95 ms\t\n")
	for i := range set {
		r := &set[i]
		put("%s\t%.2f\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.2f\t%.0f\t%.0f\t%.4f\t%.3f\t%.0f\t%.0f\t%.0f\t\n",
			r.Policy, r.Load, r.Requests, r.Good, r.Late, r.Refused, r.Wrongful, r.Failed,
			r.GoodPart, r.GoodRate, r.GoodTokens, r.GoodCost, r.Waste, r.Worst, r.FirstP95, r.RefusedP50, r.RefusedP95)
	}
	put("\n")
	put("policy\tload\tcustomer\trequests\tgood\tlate\trefused\twrongful\tfailed\tdemand/s\tgot/s\tshare/s\tpart\t\n")
	for i := range set {
		r := &set[i]
		for _, c := range r.Customers {
			put("%s\t%.2f\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.3f\t\n",
				r.Policy, r.Load, c.Name, c.Requests, c.Good, c.Late, c.Refused, c.Wrongful, c.Failed,
				c.Demand, c.Got, c.Share, c.Part)
		}
	}
	if err := tw.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	return nil
}

// WriteJSON writes the results as JSON.
func WriteJSON(w io.Writer, set []Result) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(set); err != nil {
		return errors.Wrap(err, "write results")
	}
	return nil
}
