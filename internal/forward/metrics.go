package forward

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"pinevane.example/pinevane/internal/network"
)

type metrics struct {
	answers           *prometheus.HistogramVec
	firstEvent        prometheus.Histogram
	attempts          *prometheus.CounterVec
	retries           prometheus.Counter
	hedges            *prometheus.CounterVec
	connections       prometheus.Counter
	cutStreams        *prometheus.CounterVec
	oversized         *prometheus.CounterVec
	malformed         *prometheus.CounterVec
	silentConnections *prometheus.CounterVec
	loadQueries       *prometheus.CounterVec
	arrivals          *prometheus.CounterVec
	retryAfter        *prometheus.HistogramVec
	endings           *prometheus.CounterVec
	unmarkedEnds      *prometheus.HistogramVec
	// missingFigures counts the model server parameters that the current configuration lacks.
	missingFigures prometheus.Gauge
	// unservedOwners counts the routes and tenants of the current configuration whose allowed
	// regions have no zone.
	unservedOwners prometheus.Gauge
}

// Outcomes of load queries, as label values.
const (
	queryAnswered = "answered"
	queryMissed   = "missed"
)

// Parts of answers that may be too long, as label values.
const (
	oversizedHead      = "head"
	oversizedChunkLine = "chunk line"
	oversizedEvent     = "event"
	oversizedUseless   = "body of no use"
)

var latencyBuckets = []float64{0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2, 3, 5, 8}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		answers: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pinevane_answer_seconds", Help: "Time to a server's whole answer.", Buckets: latencyBuckets}, []string{"kind", "status"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "pinevane_first_event_seconds", Help: "Time to the first event of a stream.", Buckets: latencyBuckets}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pinevane_failed_attempts_total", Help: "Attempts without a usable answer, by reason."}, []string{"reason"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pinevane_repeats_total", Help: "Requests sent to a further server."}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pinevane_server_connections_total", Help: "Connections made to servers."}),
		cutStreams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pinevane_cut_streams_total", Help: "Streams that ended before their last event, by reason."}, []string{"reason"}),
	}
	m.oversized = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pinevane_oversized_answers_total", Help: "Answers of servers that were given up because a part of them was too long, by part."}, []string{"part"})
	m.malformed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pinevane_malformed_heads_total", Help: "Answers of servers that were given up because their heads are none of HTTP, by what is wrong with them."}, []string{"fault"})
	m.hedges = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pinevane_hedges_total", Help: "Second attempts beside one whose server had fallen silent, by outcome; no place: none was made."}, []string{"outcome"})
	m.silentConnections = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pinevane_silent_server_connections_total", Help: "Connections to servers that were found silent, or are distrusted with those, by what showed it."}, []string{"by"})
	m.loadQueries = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pinevane_load_queries_total", Help: "Agents asked how their servers do before a request was sent, by outcome."}, []string{"outcome"})
	m.arrivals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pinevane_arrivals_total", Help: "Requests that arrived, by whether their caller asked for the first time or came back after a refusal."}, []string{"attempt"})
	m.retryAfter = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "pinevane_retry_after_seconds", Help: "Times after which refused callers were asked to come back.", Buckets: latencyBuckets}, []string{"attempt", "reason"})
	m.endings = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pinevane_generations_ended_total", Help: "Generations that have ended, by their size against the usual one of their service, and how they ended."}, []string{"size", "ending"})
	m.unmarkedEnds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "pinevane_unmarked_end_seconds", Help: "Time from the end of an answer without a length until it was known whether its server runs on, by what showed it.", Buckets: latencyBuckets}, []string{"proof"})
	m.missingFigures = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "pinevane_missing_figures", Help: "Figures of model servers that the configuration in force lacks."})
	m.unservedOwners = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "pinevane_unserved_residencies", Help: "Routes and tenants of the configuration in force whose allowed regions have no zone."})
	registry.MustRegister(m.answers, m.oversized, m.malformed, m.firstEvent, m.attempts, m.retries, m.hedges, m.connections, m.cutStreams, m.silentConnections, m.loadQueries, m.arrivals, m.retryAfter, m.endings, m.unmarkedEnds, m.missingFigures, m.unservedOwners)
	return m
}

// countMalformed counts an answer that was given up because of its head, and reports whether that is the cause.
func (m *metrics) countMalformed(cause error) bool {
	var malformed *network.MalformedHead
	if !errors.As(cause, &malformed) {
		return false
	}
	m.malformed.WithLabelValues(string(malformed.Fault)).Inc()
	return true
}

// evacuationCollector exports how the evacuated zones become idle.
type evacuationCollector struct {
	targets   *targets
	open      *prometheus.Desc
	idleAfter *prometheus.Desc
}

func newEvacuationCollector(t *targets) *evacuationCollector {
	return &evacuationCollector{
		targets: t,
		open:    prometheus.NewDesc("pinevane_evacuated_requests", "Requests of this entry that are open at servers of evacuated zones.", nil, nil),
		idleAfter: prometheus.NewDesc("pinevane_evacuation_idle_seconds",
			"Time from hearing of the newest evacuation of a zone until the last request of this entry there had ended.", []string{"zone"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *evacuationCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.open
	descriptions <- c.idleAfter
}

// Collect implements prometheus.Collector.
func (c *evacuationCollector) Collect(collected chan<- prometheus.Metric) {
	open, took := c.targets.evacuationCounts()
	collected <- prometheus.MustNewConstMetric(c.open, prometheus.GaugeValue, float64(open))
	for zone, duration := range took {
		collected <- prometheus.MustNewConstMetric(c.idleAfter, prometheus.GaugeValue, duration.Seconds(), zone)
	}
}

// boundLoadCollector exports the load on regions from requests that only one region may serve.
type boundLoadCollector struct {
	targets *targets
	load    *prometheus.Desc
}

func newBoundLoadCollector(t *targets) *boundLoadCollector {
	return &boundLoadCollector{targets: t, load: prometheus.NewDesc("pinevane_bound_load",
		"This entry's part of the share of a service's model servers in a region that is kept busy by requests which no other region may serve; the sum over the entries is the share.",
		[]string{"service", "region"}, nil)}
}

// Describe implements prometheus.Collector.
func (c *boundLoadCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- c.load }

// Collect implements prometheus.Collector.
func (c *boundLoadCollector) Collect(collected chan<- prometheus.Metric) {
	for _, boundLoad := range c.targets.boundLoads() {
		collected <- prometheus.MustNewConstMetric(c.load, prometheus.GaugeValue, boundLoad.Utilization, boundLoad.Service, boundLoad.Region)
	}
}

// registerColdMetrics registers the metrics of cold servers.
func registerColdMetrics(registry prometheus.Registerer, t *targets) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "pinevane_cold_servers", Help: "Servers that are cold, or count as cold."},
			func() float64 { servers, _ := t.coldCounts(); return float64(servers) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "pinevane_cold_requests_total", Help: "Requests sent to cold servers."},
			func() float64 { _, sent := t.coldCounts(); return float64(sent) }),
	)
}
