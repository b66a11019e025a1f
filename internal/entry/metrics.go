package entry

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"pinevane.example/pinevane/internal/fault"
)

// metrics counts requests and their outcomes. The tenant is not a label, since there may be
// thousands of tenants.
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
	m.duration.Observe(time.Since(c.arrivedAt).Seconds())
	if refusal == nil {
		m.requests.WithLabelValues("answered", "ran").Inc()
		return
	}
	m.requests.WithLabelValues(string(refusal.Reason), string(refusal.Execution)).Inc()
}

// Each request adds retryRatio of a retry to the budget, up to maxRetryBalance.
const (
	retryRatio      = 0.2
	maxRetryBalance = 64
)

// retryBudget limits retries to a ratio of the traffic, so that they don't overload a failing fleet.
type retryBudget struct {
	mutex   sync.Mutex
	balance float64
}

func newRetryBudget() *retryBudget { return &retryBudget{balance: maxRetryBalance} }

func (b *retryBudget) deposit() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.balance = min(maxRetryBalance, b.balance+retryRatio)
}

func (b *retryBudget) withdraw() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
