package gateway

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	refusals *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pinevane_refusals_total", Help: "Requests answered by the entry itself, by reason and whether they may have run.",
	}, []string{"reason", "execution"})}
	registry.MustRegister(m.refusals)
	return m
}
