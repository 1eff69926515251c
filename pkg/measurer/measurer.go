// Package measurer holds the counters, histograms and gauges of a node and
// serves them in the Prometheus text format.
package measurer

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// latencyBuckets are the bounds of the latency histogram, in seconds. They range
// from the latency that a node adds to the longest timeouts in use.
var latencyBuckets = []float64{0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10}

// Gauge is a value that is read each time the metrics are fetched.
type Gauge struct {
	Name, Help string
	Read       func() float64
}

// Measurer collects the metrics of one node.
type Measurer struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	hops     *prometheus.CounterVec
	events   *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	traffic  *prometheus.CounterVec
}

// New returns a measurer with the given gauges.
func New(gauges []Gauge) *Measurer {
	m := &Measurer{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrose_requests_total", Help: "Requests that ended on their entry node.",
		}, []string{"route", "team", "outcome", "reason"}),
		hops: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrose_hops_total", Help: "Requests that ended on the node of their target.",
		}, []string{"outcome", "reason"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "primrose_events_total", Help: "Events by name, as in the log.",
		}, []string{"event"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "primrose_latency_seconds", Help: "Time from the arrival of a request to its answer.", Buckets: latencyBuckets,
		}, []string{"side", "outcome"}),
	}
	m.traffic = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "primrose_traffic_bytes_total", Help: "Bytes of messages sent to other nodes and of their answers, without headers, by kind and by whether the other node is in the own data centre (near) or not (far).",
	}, []string{"kind", "border"})
	m.registry.MustRegister(m.requests, m.hops, m.events, m.latency, m.traffic)
	for _, g := range gauges {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: g.Name, Help: g.Help}, g.Read))
	}
	return m
}

// Request counts a request that ended on its entry node.
func (m *Measurer) Request(route, team, outcome, reason string, elapsed time.Duration) {
	m.requests.WithLabelValues(route, team, outcome, reason).Inc()
	m.latency.WithLabelValues("entry", outcome).Observe(elapsed.Seconds())
}

// Hop counts a request that ended on the node of its target.
func (m *Measurer) Hop(outcome, reason string, elapsed time.Duration) {
	m.hops.WithLabelValues(outcome, reason).Inc()
	m.latency.WithLabelValues("target", outcome).Observe(elapsed.Seconds())
}

// Event adds delta to the counter of an event.
func (m *Measurer) Event(name string, delta int64) {
	m.events.WithLabelValues(name).Add(float64(delta))
}

// Traffic counts bytes of messages of a kind and of their responses; far means that
// the other node is in another data centre.
func (m *Measurer) Traffic(kind string, far bool, bytes int64) {
	distance := "near"
	if far {
		distance = "far"
	}
	m.traffic.WithLabelValues(kind, distance).Add(float64(bytes))
}

// Handler serves the metrics.
func (m *Measurer) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Names returns the help text of each metric by name, for the index in the
// documentation.
func (m *Measurer) Names() (map[string]string, error) {
	// Gather leaves out vectors that have no value yet.
	m.Request("", "", "", "", 0)
	m.Hop("", "", 0)
	m.Event("", 0)
	m.Traffic("", false, 0)
	families, err := m.registry.Gather()
	if err != nil {
		return nil, err
	}
	names := map[string]string{}
	for _, f := range families {
		names[f.GetName()] = f.GetHelp()
	}
	return names, nil
}
