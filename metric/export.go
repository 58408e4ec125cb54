package metric

import (
	"bufio"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"

	metrics "github.com/rcrowley/go-metrics"
)

// prefix is the prefix of all exported names.
const prefix = "wasabidock_"

// contentType is the media type of the Prometheus text format, version 0.0.4.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

var quantiles = []float64{0.5, 0.95, 0.99}

// series returns the name of a metric with one label.
func series(name, label, value string) string {
	return name + "{" + label + "=" + quote(value) + "}"
}

// labelEscaper replaces the characters that the text format escapes in label values.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// quote returns a label value, quoted and escaped for the text format.
func quote(v string) string { return `"` + labelEscaper.Replace(v) + `"` }

// Handler returns a handler that serves the metrics.
func (m *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		_ = m.Write(w)
	})
}

// Write writes all metrics in the text format, ordered by name.
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
		e.writeMetric(name, all[name])
	}
	if name, share, ok := m.WorstServed(); ok {
		e.writeValue(series("worst_customer_good_share", "customer", string(name)), "gauge", share)
	}
	return e.w.Flush()
}

// exporter writes series, and the type of each metric before its first series.
type exporter struct {
	w         *bufio.Writer
	lastTyped string
}

func (e *exporter) writeMetric(name string, v interface{}) {
	switch v := v.(type) {
	case metrics.Counter:
		e.writeValue(name, "counter", float64(v.Count()))
	case metrics.Gauge:
		e.writeValue(name, "gauge", float64(v.Value()))
	case metrics.GaugeFloat64:
		e.writeValue(name, "gauge", v.Value())
	case metrics.Meter:
		e.writeValue(name, "counter", float64(v.Count()))
	case metrics.Histogram:
		e.writeHistogram(name, v.Snapshot())
	}
}

func (e *exporter) writeValue(name, kind string, v float64) {
	e.writeType(base(name), kind)
	e.writeLine(name, v)
}

func (e *exporter) writeHistogram(name string, h metrics.Histogram) {
	e.writeType(name, "summary")
	for i, v := range h.Percentiles(quantiles) {
		q := strconv.FormatFloat(quantiles[i], 'g', -1, 64)
		e.writeLine(series(name, "quantile", q), v)
	}
	e.writeLine(name+"_sum", float64(h.Sum()))
	e.writeLine(name+"_count", float64(h.Count()))
}

func (e *exporter) writeType(name, kind string) {
	if name == e.lastTyped {
		return
	}
	e.lastTyped = name
	_, _ = e.w.WriteString("# TYPE " + prefix + name + " " + kind + "\n")
}

func (e *exporter) writeLine(name string, v float64) {
	_, _ = e.w.WriteString(prefix + name + " " + strconv.FormatFloat(v, 'g', -1, 64) + "\n")
}

// base returns a name without its labels.
func base(name string) string {
	n, _, _ := strings.Cut(name, "{")
	return n
}
