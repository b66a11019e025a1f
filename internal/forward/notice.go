package forward

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// NoticeAnnouncer sends the notices that servers give in their answers to the other entries.
type NoticeAnnouncer interface {
	// AnnounceNotice sends what a server requested at the given time to the other entries.
	AnnounceNotice(notice dispatch.ServerNotice, at time.Time)
}

// applyNotice applies the server notice of an answer: rate limit, backoff or leaving. An answer
// that names another instance is ignored, because it says nothing about this server.
func (t *targets) applyNotice(k *target, head fleet.AnswerHeader, sentAt time.Time) {
	if head.Instance != "" && head.Instance != k.ID {
		return
	}
	defer t.pendingNotices.deliver(&t.mutex, func(one pendingNotice) { t.notices.AnnounceNotice(one.notice, one.at) })
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	t.applyLimit(k, head, sentAt, now)
	if head.Leaving {
		t.applyLeaving(k, now)
	}
	switch {
	case head.Backoff.Duration > 0:
		t.backoffs.Inc()
		if t.core.RecordBackoff(k.Candidate, head.Backoff.Duration, now) {
			t.log.Log(logging.ServerBackoff, zap.String("server", k.ID), zap.Duration("for", head.Backoff.Duration))
		}
	case head.Backoff.Unreadable:
		t.logUnreadable(k, "rest")
	}
}

// applyLimit applies the rate limit that an answer names. An answer without a signature can set a
// limit but not lift it, because it may come from an intermediary. The mutex must be held.
func (t *targets) applyLimit(k *target, head fleet.AnswerHeader, sentAt, now time.Time) {
	switch {
	case head.Limit.Kind == fleet.RateLimitStated:
		t.recordLimit(k, t.core.RecordRateLimit(k.Candidate, head.Limit.PerSecond, sentAt, now), now)
	case head.Limit.Kind == fleet.RateLimitUnreadable:
		t.logUnreadable(k, "limit")
	case head.Signed:
		t.recordLimit(k, t.core.RecordNoRateLimit(k.Candidate, sentAt, now), sentAt)
	}
}

// applyLeaving records that a server has announced that it is about to stop, and closes its idle
// connections because no more requests are sent there. The mutex must be held.
func (t *targets) applyLeaving(k *target, now time.Time) {
	change, isNew := t.core.RecordLeaving(k.Candidate)
	if isNew {
		k.pool.close()
		t.log.Log(logging.ServerAnnouncedLeaving, zap.String("server", k.ID), zap.Int("in_flight", change.InFlight))
		t.queueNotice(k, now)
	}
}

// recordLimit logs how an answer changed its server's limit and queues the notice, with the given
// time, for the other entries. The mutex must be held.
func (t *targets) recordLimit(k *target, change dispatch.RateLimitChange, at time.Time) {
	t.logLimit(k.ID, change, "")
	if change.Announce {
		t.queueNotice(k, at)
	}
}

// pendingNotice is a server's notice, with its time, that is still to be announced.
type pendingNotice struct {
	notice dispatch.ServerNotice
	at     time.Time
}

// queueNotice queues the server's current notice for the other entries. The mutex must be held.
func (t *targets) queueNotice(k *target, at time.Time) {
	if t.notices == nil {
		return
	}
	t.pendingNotices.add(pendingNotice{notice: t.core.NoticeOf(k.Candidate), at: at})
}

// ReceiveNotice applies a server notice that another entry received at the given time.
func (f *Forwarder) ReceiveNotice(notice dispatch.ServerNotice, entry string, at time.Time) {
	t := f.targets
	t.mutex.Lock()
	defer t.mutex.Unlock()
	limit, leaving := t.core.ApplyNotice(notice, at, time.Now())
	t.logLimit(notice.Server, limit, entry)
	if leaving {
		t.log.Log(logging.ServerAnnouncedLeaving, zap.String("server", notice.Server), zap.String("entry", entry))
	}
}

// unavailable reports whether a server currently accepts no requests. It is checked right before a
// request is written: connecting takes a while, and another answer of the server may have requested
// a backoff in the meantime.
func (t *targets) unavailable(k *target) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.Unavailable(k.Candidate, time.Now())
}

// logUnreadable logs an invalid field in a server's answers, once for each server and field. The
// mutex must be held.
func (t *targets) logUnreadable(k *target, field string) {
	key := unreadableField{server: k.ID, field: field}
	if t.unreadable[key] {
		return
	}
	t.unreadable[key] = true
	t.log.Log(logging.ResponseHeaderInvalid, zap.String("server", k.ID), zap.String("field", field))
}

// unreadableField is a field of a server's answers that could not be parsed.
type unreadableField struct{ server, field string }

// logLimit logs a change of a server's limit, which came from an answer or from another entry.
func (t *targets) logLimit(server string, change dispatch.RateLimitChange, entry string) {
	if !change.Changed {
		return
	}
	t.log.Log(logging.ServerLimit, zap.String("server", server), zap.String("entry", entry), zap.Bool("in_force", change.InForce), zap.Float64("per_second", change.PerSecond),
		zap.Float64("former", change.Previous), zap.Int("share", change.Share), zap.Int("entries", change.Entries))
}

// limitCounts returns the number of servers with a limit and the number of requests sent to them.
func (t *targets) limitCounts() (servers int, sent uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.RateLimitCounts()
}

func (t *targets) backingOffServers() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.BackingOffServers(time.Now())
}

func newBackoffCounter() prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Name: "pinevane_rests_asked_total", Help: "Answers by which a server has turned a request away and asked this entry for rest."})
}

// registerNoticeMetrics registers the metrics of server notices.
func registerNoticeMetrics(registry prometheus.Registerer, t *targets) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "pinevane_limited_servers", Help: "Servers that name in their answers how many requests they take."},
			func() float64 { servers, _ := t.limitCounts(); return float64(servers) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "pinevane_resting_servers", Help: "Servers that want nothing from this entry for a while."},
			func() float64 { return float64(t.backingOffServers()) }),
		t.backoffs,
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "pinevane_limited_requests_total", Help: "Requests sent to servers while they named a limit."},
			func() float64 { _, sent := t.limitCounts(); return float64(sent) }),
	)
}
