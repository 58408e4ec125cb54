package meter

import (
	"bufio"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"

	metrics "github.com/rcrowley/go-metrics"
)

// prefix of all names in the exported form.
const prefix = "wasabidock_"

// contentType is the text form, version 0.0.4.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

var quantiles = []float64{0.5, 0.95, 0.99}

// series returns a name with one label.
func series(name, label, value string) string {
	return name + "{" + label + "=" + quote(value) + "}"
}

// escapes are those of the text form.
var escapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// quote returns the value of a label with the escapes of the text form.
func quote(v string) string { return `"` + escapes.Replace(v) + `"` }

// Handler serves the measures.
func (m *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		_ = m.Write(w)
	})
}

// Write writes all measures in the text form, in the order of their names.
func (m *Meter) Write(w io.Writer) error {
	all := make(map[string]interface{})
	var names []string
	m.cfg.Registry.Each(func(name string, v interface{}) {
		all[name] = v
		names = append(names, name)
	})
	sort.Slice(names, func(i, j int) bool {
		a, b := base(names[i]), base(names[j])
		if a != b {
			return a < b
		}
		return names[i] < names[j]
	})
	e := &exporter{w: bufio.NewWriter(w)}
	for _, name := range names {
		e.metric(name, all[name])
	}
	if name, share, ok := m.WorstServed(); ok {
		e.value(series("worst_customer_good_share", "customer", string(name)), "gauge", share)
	}
	return e.w.Flush()
}

// exporter writes series and the type of each metric before its first one.
type exporter struct {
	w    *bufio.Writer
	last string
}

func (e *exporter) metric(name string, v interface{}) {
	switch v := v.(type) {
	case metrics.Counter:
		e.value(name, "counter", float64(v.Count()))
	case metrics.Gauge:
		e.value(name, "gauge", float64(v.Value()))
	case metrics.GaugeFloat64:
		e.value(name, "gauge", v.Value())
	case metrics.Meter:
		e.value(name, "counter", float64(v.Count()))
	case metrics.Histogram:
		e.histogram(name, v.Snapshot())
	}
}

func (e *exporter) value(name, kind string, v float64) {
	e.kind(base(name), kind)
	e.line(name, v)
}

func (e *exporter) histogram(name string, h metrics.Histogram) {
	e.kind(name, "summary")
	for i, v := range h.Percentiles(quantiles) {
		q := strconv.FormatFloat(quantiles[i], 'g', -1, 64)
		e.line(series(name, "quantile", q), v)
	}
	e.line(name+"_sum", float64(h.Sum()))
	e.line(name+"_count", float64(h.Count()))
}

func (e *exporter) kind(name, kind string) {
	if name == e.last {
		return
	}
	e.last = name
	_, _ = e.w.WriteString("# TYPE " + prefix + name + " " + kind + "\n")
}

func (e *exporter) line(name string, v float64) {
	_, _ = e.w.WriteString(prefix + name + " " + strconv.FormatFloat(v, 'g', -1, 64) + "\n")
}

// base returns the name without its labels.
func base(name string) string {
	n, _, _ := strings.Cut(name, "{")
	return n
}
