package gateway

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	refusals   *prometheus.CounterVec
	unanswered *prometheus.CounterVec
	panics     prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pinevane_refusals_total", Help: "Requests answered by the entry itself, by reason and whether they may have run.",
	}, []string{"reason", "execution"}), unanswered: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pinevane_unanswered_requests_total", Help: "Requests whose callers' connections ended without a complete response, by cause.",
	}, []string{"cause"}), panics: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "pinevane_handler_panics_total", Help: "Requests whose handlers ended by an unintended panic.",
	})}
	registry.MustRegister(m.refusals, m.unanswered, m.panics)
	return m
}
