package replay

import (
	"sort"
	"time"

	"wasabidock.dev/dock/fair"
	"wasabidock.dev/dock/ident"
	"wasabidock.dev/dock/tick"
)

// warmTime is the time at the start of a run that rates do not include.
const warmTime = 15 * time.Second

// Result holds the measurements of a run.
type Result struct {
	Trace     string  `json:"trace"`
	Policy    Policy  `json:"policy"`
	Load      float64 `json:"load"`
	Seed      uint64  `json:"seed"`
	Requests  int     `json:"requests"`
	Good      int     `json:"good"` // completed within both targets
	Late      int     `json:"late"` // completed outside a target
	Refused   int     `json:"refused"`
	Wrongful  int     `json:"wrongful"` // refused within the customer's limit
	Failed    int     `json:"failed"`
	Cancelled int     `json:"cancelled"`
	// GoodPart is the fraction of the requests not cancelled that completed within
	// both targets.
	GoodPart float64 `json:"good_part"`
	// GoodRate, GoodTokens and GoodCost are the number, the output tokens and
	// the cost of the good requests per second between the warm-up and the end
	// of the trace. A request is spread evenly over the time from its placement
	// to its end.
	GoodRate   float64 `json:"good_rate"`
	GoodTokens float64 `json:"good_tokens"`
	GoodCost   float64 `json:"good_cost"`
	Prefill    int64   `json:"prefill_tokens"`
	Wasted     int64   `json:"wasted_tokens"`
	// Waste is Wasted as a fraction of Prefill, without cancelled requests.
	Waste float64 `json:"waste"`
	// Worst is the smallest fraction that a customer received of its weighted
	// max-min share of the cost served.
	Worst float64 `json:"worst"`
	// Returned counts the callers that retried after a refusal before the end of
	// the trace, and ReturnedTaken those that were not refused again.
	Returned      int `json:"returned,omitempty"`
	ReturnedTaken int `json:"returned_taken,omitempty"`
	// Resends counts how often a scheduler requested all placements of an instance.
	Resends  int     `json:"resends,omitempty"`
	FirstP95 float64 `json:"first_p95_ms"` // interactive
	// RefusedP50 and RefusedP95 are the times from arrival to refusal.
	RefusedP50 float64          `json:"refused_p50_ms"`
	RefusedP95 float64          `json:"refused_p95_ms"`
	Customers  []CustomerResult `json:"customers"`
}

// CustomerResult holds the measurements of one customer.
type CustomerResult struct {
	Name     ident.Customer `json:"name"`
	Requests int            `json:"requests"`
	Good     int            `json:"good"`
	Late     int            `json:"late"`
	Refused  int            `json:"refused"`
	Wrongful int            `json:"wrongful"`
	Failed   int            `json:"failed"`
	// Got is the cost per second of good requests. Demand also contains the cost
	// of the others, which count at their arrival.
	Demand float64 `json:"demand"`
	Got    float64 `json:"got"`
	Share  float64 `json:"share"` // weighted max-min share
	Part   float64 `json:"part"`  // Got as a fraction of Share
}

func (w *world) measure() Result {
	r := Result{Trace: w.trace.Name, Policy: w.opt.Policy, Load: w.opt.Load, Seed: w.opt.Seed, Resends: w.resends}
	index := make(map[ident.Customer]int)
	for i, c := range w.trace.Customers {
		index[c.Name] = i
		r.Customers = append(r.Customers, CustomerResult{Name: c.Name})
	}
	w.limit(index)
	span := (w.trace.Length - warmTime).Seconds()
	var firsts, refusals []time.Duration
	for _, c := range w.calls {
		if c.back {
			r.countReturn(c, w.trace.Length)
			continue
		}
		k := &r.Customers[index[c.req.Customer]]
		r.Requests++
		k.Requests++
		cost := float64(c.req.Prompt + fair.DefaultOutputTokenCost*c.req.Output)
		if c.outcome != cancelled {
			r.Prefill += c.run
			r.Wasted += c.wasted
		}
		if c.first > 0 && !c.class.Deferrable {
			firsts = append(firsts, c.first-c.arrived)
		}
		if c.outcome == refused {
			refusals = append(refusals, c.ended-c.arrived)
		}
		w.count(c, &r, k)
		part := w.within(c) / span
		k.Demand += cost * part
		if c.good() {
			k.Got += cost * part
			r.GoodCost += cost * part
			r.GoodTokens += float64(c.req.Output) * part
			r.GoodRate += part
		}
	}
	if n := r.Requests - r.Cancelled; n > 0 {
		r.GoodPart = float64(r.Good) / float64(n)
	}
	if r.Prefill > 0 {
		r.Waste = float64(r.Wasted) / float64(r.Prefill)
	}
	r.FirstP95 = percentile(firsts, 0.95)
	r.RefusedP50 = percentile(refusals, 0.5)
	r.RefusedP95 = percentile(refusals, 0.95)
	w.shares(&r)
	return r
}

// within returns the fraction of the request that is between the warm-up and the
// end of the trace.
func (w *world) within(c *call) float64 {
	from, to := c.begun, c.ended
	if !c.good() {
		from, to = c.arrived, c.arrived
	}
	switch {
	case c.outcome == cancelled:
		return 0
	case from == to && from >= warmTime && from < w.trace.Length:
		return 1
	case from == to:
		return 0
	}
	in := min(to, w.trace.Length) - max(from, warmTime)
	return max(0, in.Seconds()) / (to - from).Seconds()
}

func (r *Result) countReturn(c *call, end tick.Instant) {
	if c.arrived == 0 || c.arrived >= end {
		return
	}
	r.Returned++
	if c.outcome != refused {
		r.ReturnedTaken++
	}
}

func (w *world) count(c *call, r *Result, k *CustomerResult) {
	switch {
	case c.outcome == cancelled:
		r.Cancelled++
	case c.outcome == refused:
		r.Refused++
		k.Refused++
		if c.inRate {
			r.Wrongful++
			k.Wrongful++
		}
	case c.good():
		r.Good++
		k.Good++
	case c.outcome == served:
		r.Late++
		k.Late++
	default:
		r.Failed++
		k.Failed++
	}
}

// good reports whether the request completed within both targets.
func (c *call) good() bool {
	if c.outcome != served || c.first-c.arrived > c.class.FirstTokenTarget {
		return false
	}
	if c.req.Output < 2 {
		return true
	}
	return (c.ended-c.first)/time.Duration(c.req.Output-1) <= c.class.GapTarget
}

// limit marks the requests that arrive within their customers' limits.
func (w *world) limit(index map[ident.Customer]int) {
	type bucket struct {
		level float64
		at    tick.Instant
	}
	set := make([]bucket, len(w.trace.Customers))
	for i, c := range w.trace.Customers {
		set[i].level = c.Burst
	}
	for _, c := range w.calls {
		if c.back {
			continue
		}
		i := index[c.req.Customer]
		b, k := &set[i], &w.trace.Customers[i]
		b.level = min(k.Burst, b.level+k.Rate*(c.arrived-b.at).Seconds())
		b.at = c.arrived
		if n := float64(c.req.Prompt + c.req.Output); b.level >= n {
			b.level -= n
			c.inRate = true
		}
	}
}

// shares computes the customers' weighted max-min shares of the cost served and
// the fractions of them that they received.
func (w *world) shares(r *Result) {
	demand := make([]float64, len(r.Customers))
	weight := make([]float64, len(r.Customers))
	for i, c := range w.trace.Customers {
		demand[i] = r.Customers[i].Demand
		weight[i] = c.Weight
	}
	r.Worst = 1
	for i, s := range MaxMin(r.GoodCost, demand, weight) {
		k := &r.Customers[i]
		k.Share = s
		if s > 0 {
			k.Part = k.Got / s
		}
		r.Worst = min(r.Worst, k.Part)
	}
}

// MaxMin returns the weighted max-min shares of a capacity: no share exceeds
// its demand, and the rest is divided among the others by weight.
func MaxMin(capacity float64, demand, weight []float64) []float64 {
	out := make([]float64, len(demand))
	order := make([]int, len(demand))
	var sum float64
	for i := range order {
		order[i] = i
		sum += weight[i]
	}
	sort.SliceStable(order, func(a, b int) bool {
		i, j := order[a], order[b]
		return demand[i]*weight[j] < demand[j]*weight[i]
	})
	for _, i := range order {
		out[i] = min(demand[i], capacity*weight[i]/sum)
		capacity -= out[i]
		sum -= weight[i]
	}
	return out
}

// percentile returns a percentile of the times in milliseconds.
func percentile(set []time.Duration, p float64) float64 {
	if len(set) == 0 {
		return 0
	}
	sort.Slice(set, func(i, j int) bool { return set[i] < set[j] })
	d := set[min(len(set)-1, int(p*float64(len(set))))]
	return float64(d.Microseconds()) / 1000
}
