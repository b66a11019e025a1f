package forward

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// AskSource is what entries tell each other of what servers ask in their answers.
type AskSource interface {
	// AnnounceNotice has the others told what a server has asked at a time.
	AnnounceNotice(ask dispatch.ServerNotice, at time.Time)
}

// sawAsked notes what an answer says its server asks for. An answer of another server says nothing of this
// one.
func (t *targets) sawAsked(k *target, head fleet.AnswerHeader, sentAt time.Time) {
	if head.Instance != "" && head.Instance != k.ID {
		return
	}
	defer t.news.deliver(&t.mutex, func(one askNews) { t.asks.AnnounceNotice(one.ask, one.at) })
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	t.sawLimit(k, head, sentAt, now)
	if head.Leaving {
		t.sawLeaving(k, now)
	}
	switch {
	case head.Rest.For > 0:
		t.rests.Inc()
		if t.core.RecordBackoff(k.Candidate, head.Rest.For, now) {
			t.log.Log(logging.ServerBackoff, zap.String("server", k.ID), zap.Duration("for", head.Rest.For))
		}
	case head.Rest.Unreadable:
		t.logUnreadable(k, "rest")
	}
}

// sawLimit notes what an answer says of how many requests its server takes. One without a signature can
// name a limit but not end it: it may come from something else on the way. The mutex is held.
func (t *targets) sawLimit(k *target, head fleet.AnswerHeader, sentAt, now time.Time) {
	switch {
	case head.Limit.Word == fleet.LimitNamed:
		t.noteLimit(k, t.core.RecordRateLimit(k.Candidate, head.Limit.PerSecond, sentAt, now), now)
	case head.Limit.Word == fleet.LimitUnreadable:
		t.logUnreadable(k, "limit")
	case head.Signed:
		t.noteLimit(k, t.core.RecordNoRateLimit(k.Candidate, sentAt, now), sentAt)
	}
}

// sawLeaving notes that a server has said that it is about to end; the mutex is held. Its resting connections are
// closed: nothing more goes there.
func (t *targets) sawLeaving(k *target, now time.Time) {
	change, news := t.core.RecordLeaving(k.Candidate)
	if news {
		k.pool.close()
		t.log.Log(logging.ServerAnnouncedLeaving, zap.String("server", k.ID), zap.Int("in_flight", change.InFlight))
		t.toTell(k, now)
	}
}

// noteLimit logs what an answer has changed of its server's limit, and has the others told of what it said at
// a time; the mutex is held.
func (t *targets) noteLimit(k *target, news dispatch.RateLimitChange, at time.Time) {
	t.logLimit(k.ID, news, "")
	if news.Announce {
		t.toTell(k, at)
	}
}

// askNews is what a server has asked at a time, for the other entries.
type askNews struct {
	ask dispatch.ServerNotice
	at  time.Time
}

// toTell keeps what a server asks now until the source is told; the mutex is held.
func (t *targets) toTell(k *target, at time.Time) {
	if t.asks == nil {
		return
	}
	t.news.add(askNews{ask: t.core.NoticeOf(k.Candidate), at: at})
}

// HearAsk takes in what a server has asked of another entry, and when.
func (f *Forwarder) HearAsk(ask dispatch.ServerNotice, entry string, at time.Time) {
	t := f.targets
	t.mutex.Lock()
	defer t.mutex.Unlock()
	limit, leaving := t.core.ApplyNotice(ask, at, time.Now())
	t.logLimit(ask.Server, limit, entry)
	if leaving {
		t.log.Log(logging.ServerAnnouncedLeaving, zap.String("server", ask.Server), zap.String("entry", entry))
	}
}

// unwilling is asked right before a request is written: the making of a connection takes a while, in which
// another answer of the server may have said that it wants nothing more.
func (t *targets) unwilling(k *target) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.Unavailable(k.Candidate, time.Now())
}

// logUnreadable logs once a server and field that an answer says what can't be meant; the mutex is held.
func (t *targets) logUnreadable(k *target, field string) {
	key := unreadableField{server: k.ID, field: field}
	if t.unreadable[key] {
		return
	}
	t.unreadable[key] = true
	t.log.Log(logging.ResponseHeaderInvalid, zap.String("server", k.ID), zap.String("field", field))
}

// unreadableField is a field of a server's answers that could not be read.
type unreadableField struct{ server, field string }

// logLimit tells what has changed of a server's limit, by an answer or by the word of another entry.
func (t *targets) logLimit(server string, news dispatch.RateLimitChange, entry string) {
	if !news.Changed {
		return
	}
	t.log.Log(logging.ServerLimit, zap.String("server", server), zap.String("entry", entry), zap.Bool("in_force", news.InForce), zap.Float64("per_second", news.PerSecond),
		zap.Float64("former", news.Previous), zap.Int("share", news.Share), zap.Int("entries", news.Entries))
}

// limitCounts returns how many servers name a limit, and how many requests were sent to such.
func (t *targets) limitCounts() (servers int, sent uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.RateLimitCounts()
}

func (t *targets) restingServers() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.BackingOffServers(time.Now())
}

func newRestsCounter() prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Name: "pinevane_rests_asked_total", Help: "Answers by which a server has turned a request away and asked this entry for rest."})
}

// registerAsked tells of what servers ask for as metrics.
func registerAsked(registry prometheus.Registerer, t *targets) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "pinevane_limited_servers", Help: "Servers that name in their answers how many requests they take."},
			func() float64 { servers, _ := t.limitCounts(); return float64(servers) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "pinevane_resting_servers", Help: "Servers that want nothing from this entry for a while."},
			func() float64 { return float64(t.restingServers()) }),
		t.rests,
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "pinevane_limited_requests_total", Help: "Requests sent to servers while they named a limit."},
			func() float64 { _, sent := t.limitCounts(); return float64(sent) }),
	)
}
