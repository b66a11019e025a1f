package rollout

import "github.com/prometheus/client_golang/prometheus"

// Label values: sources of pieces and outcomes of orders.
const (
	sourceOrigin      = "origin"
	sourcePeer        = "peer"
	outcomeTaken      = "taken"
	outcomeRefused    = "refused"
	outcomeUnanswered = "unanswered"
	outcomeWithheld   = "withheld"
	// outcomeCorrupt is counted beside taken or unanswered, for an order that may have loaded corrupt pieces.
	outcomeCorrupt = "corrupt"
)

type metrics struct {
	bytes   *prometheus.CounterVec
	staged  prometheus.Histogram
	orders  *prometheus.CounterVec
	corrupt prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pinevane_weights_bytes_total", Help: "Verified bytes of pieces that arrived, by source."}, []string{"source"}),
		staged: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "pinevane_staging_seconds", Help: "Time from noticing a version until all its pieces are staged.",
			Buckets: []float64{0.1, 0.5, 1, 2, 3, 4, 5, 6, 8, 12, 30, 120}}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pinevane_orders_total", Help: "Orders given to the own server, by outcome."}, []string{"outcome"}),
		corrupt: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pinevane_spoilt_pieces_total", Help: "Staged pieces that no longer matched their digests."}),
	}
	registry.MustRegister(m.bytes, m.staged, m.orders, m.corrupt)
	return m
}
