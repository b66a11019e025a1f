package entry

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pinevane.example/pinevane/internal/fault"
)

// metrics counts what callers saw. Tenants are no label: there may be thousands.
type metrics struct {
	requests *prometheus.CounterVec
	duration prometheus.Histogram
	retried  prometheus.Counter
	retries  *retryBudget
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pinevane_requests_total",
			Help: "Callers' requests, by outcome (answered, or the refusal's reason) and execution.",
		}, []string{"outcome", "execution"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "pinevane_request_duration_seconds",
			Help:    "Time from arrival to the last byte.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 10),
		}),
		retried: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pinevane_request_retries_total",
			Help: "Attempts after the first of a request.",
		}),
		retries: newRetryBudget(),
	}
	registerer.MustRegister(m.requests, m.duration, m.retried)
	return m
}

func (m *metrics) observe(c *call, refusal *fault.Refusal) {
	m.retries.deposit()
	m.duration.Observe(time.Since(c.arrived).Seconds())
	if refusal == nil {
		m.requests.WithLabelValues("answered", "ran").Inc()
		return
	}
	m.requests.WithLabelValues(string(refusal.Reason), string(refusal.Execution)).Inc()
}

// The retry budget: each request pays in a part of a retry.
const (
	retryShare   = 0.2
	retryReserve = 64
)

// retryBudget keeps retries to a share of the traffic, so that a failing fleet
// is not hit by more.
type retryBudget struct {
	mutex   sync.Mutex
	balance float64
}

func newRetryBudget() *retryBudget { return &retryBudget{balance: retryReserve} }

func (b *retryBudget) deposit() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.balance = min(retryReserve, b.balance+retryShare)
}

func (b *retryBudget) take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
