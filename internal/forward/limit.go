package forward

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// sawLimit notes what an answer says of how many requests its server takes. An answer of another server
// says nothing of this one, and one without a signature can name a limit but not end it: it may come
// from something else on the way.
func (t *targets) sawLimit(k *target, head fleet.AnswerHeader, sentAt time.Time) {
	if head.Limit.Word == fleet.NoLimit && !head.Signed || (head.Instance != "" && head.Instance != k.ID) {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch now := time.Now(); head.Limit.Word {
	case fleet.LimitNamed:
		t.logLimit(k, t.core.SawLimit(k.Candidate, head.Limit.PerSecond, sentAt, now))
	case fleet.NoLimit:
		t.logLimit(k, t.core.SawNoLimit(k.Candidate, sentAt, now))
	case fleet.LimitUnreadable:
		if t.unreadable[k.ID] {
			return
		}
		t.unreadable[k.ID] = true
		t.log.Log(logging.AnswerUnreadable, zap.String("server", k.ID), zap.String("field", "limit"))
	}
}

func (t *targets) logLimit(k *target, news dispatch.LimitNews) {
	if !news.Changed {
		return
	}
	t.log.Log(logging.ServerLimit, zap.String("server", k.ID), zap.Bool("in_force", news.InForce), zap.Float64("per_second", news.PerSecond),
		zap.Float64("former", news.Former), zap.Int("share", news.Share), zap.Int("entries", news.Entries))
}

// limitCounts returns how many servers name a limit, and how many requests were sent to such.
func (t *targets) limitCounts() (servers int, sent uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.LimitCounts()
}

// registerLimits tells of servers that name a limit as metrics.
func registerLimits(registry prometheus.Registerer, t *targets) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "pinevane_limited_servers", Help: "Servers that name in their answers how many requests they take."},
			func() float64 { servers, _ := t.limitCounts(); return float64(servers) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "pinevane_limited_requests_total", Help: "Requests sent to servers while they named a limit."},
			func() float64 { _, sent := t.limitCounts(); return float64(sent) }),
	)
}
