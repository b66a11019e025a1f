package forward

import (
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
)

// Evidence of answers that do not come, which counts before a request is given up for it: the
// other servers' requests show whether it is usual. At three times the usual time, and half of the
// least patience, so many answers counted at a fleet's limit that servers which were well failed
// their trials.
const (
	overdueEvidenceFactor = 4
	overdueEvidenceShare  = 0.8
)

// HealthSource is what entries of a zone tell each other of servers.
type HealthSource interface {
	// AnnounceHealth has the others told what was found out at a time: ages in the words are those of then.
	AnnounceHealth(words []health.Report, at time.Time)
	// ZoneEntries lists the others.
	ZoneEntries() []string
}

// healthReporter tells of servers' health; the mutex of the set of servers guards it but for what is
// said otherwise.
type healthReporter struct {
	// source is nil in an entry that shares nothing.
	source   HealthSource
	lookedAt time.Time
	// findings are what the source is still to be told.
	findings outbox[finding]

	ejections *prometheus.CounterVec
	trials    prometheus.Counter
}

// finding is what was found out at a time.
type finding struct {
	words []health.Report
	at    time.Time
}

func newHealthReporter(options Options) *healthReporter {
	return &healthReporter{
		source: options.Health,
		ejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pinevane_server_ejections_total", Help: "Ejections of servers, by what decided them; told: another entry of the zone."}, []string{"by"}),
		trials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pinevane_server_trials_total", Help: "Requests sent on trial to servers that were ejected, or that their agents do not reach."}),
	}
}

// registerHealth tells of servers' health as metrics.
func registerHealth(registry prometheus.Registerer, t *targets) {
	registry.MustRegister(t.health.ejections, t.health.trials, prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "pinevane_ejected_servers", Help: "Servers that are ejected or on trial."},
		func() float64 {
			t.mutex.Lock()
			defer t.mutex.Unlock()
			return float64(t.core.EjectedServers())
		}))
}

// zonePeriod is how often the entries of the zone are looked through.
const zonePeriod = 250 * time.Millisecond

// zoneDue reports whether the entries of the zone are to be looked through; the mutex is held.
func (t *targets) zoneDue(now time.Time) bool {
	return t.health.source != nil && now.Sub(t.health.lookedAt) >= zonePeriod
}

// noteTrial logs and counts a request that is the trial of its server; the mutex is held.
func (t *targets) noteTrial(w *work, k *dispatch.Candidate, now time.Time) {
	t.health.trials.Inc()
	t.log.Log(logging.ServerTrial, zap.String("server", k.ID), zap.String("request", w.request.Call.RequestID))
	t.reportHealth(now)
}

// reportHealth logs and counts what has changed with servers' health now, and keeps what the zone is
// to be told of that; the mutex is held.
func (t *targets) reportHealth(now time.Time) {
	news := t.core.TakeHealthUpdates()
	for _, change := range news.Changes {
		t.logHealth(change)
	}
	if t.health.source != nil && len(news.Reports) > 0 {
		t.health.findings.add(finding{words: news.Reports, at: now})
	}
}

// tellZone has the zone told what was found out; the mutex is not held.
func (t *targets) tellZone() {
	t.health.findings.deliver(&t.mutex, func(one finding) { t.health.source.AnnounceHealth(one.words, one.at) })
}

func (t *targets) logHealth(change health.Change) {
	by := "told"
	if change.Outcome != 0 {
		by = change.Outcome.String()
	}
	fields := []zap.Field{zap.String("server", change.Server), zap.String("by", by), zap.String("entry", change.Reporter), zap.Int("round", change.Round)}
	if change.To == health.Ejected {
		t.health.ejections.WithLabelValues(by).Inc()
		t.log.Log(logging.ServerEjected, append(fields, zap.Duration("for", change.Duration), zap.Float64("evidence", change.Evidence))...)
		return
	}
	t.log.Log(logging.ServerReadmitted, fields...)
}

// HearHealth takes in what another entry of the zone has said of a server, and when.
func (f *Forwarder) HearHealth(word health.Report, at time.Time) {
	t := f.targets
	defer t.tellZone()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	t.core.ApplyHealthReport(word, at, now)
	t.reportHealth(now)
}

// observe notes what the present attempt has shown of its server.
func (w *work) observe(k *target, outcome health.Outcome) {
	t := w.targets
	defer t.tellZone()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	t.core.Observe(k.Candidate, dispatch.Outcome{
		Outcome: outcome, Class: w.request.Route.Name, SentAt: w.sentAt, Retried: len(w.wanted.Tried) > 1,
	}, now)
	t.reportHealth(now)
}

// observeAnswer notes what a whole answer has shown. A server's answer that the time of the
// request is over says nothing of the server.
func (w *work) observeAnswer(k *target, status int) {
	switch {
	case status == http.StatusGatewayTimeout:
		w.endTrial()
	case status >= http.StatusInternalServerError:
		w.observe(k, health.Errored)
	default:
		w.observe(k, health.Served)
	}
}

// observeOverdue notes, once an attempt, that its answer takes many times as long as usual.
// The request itself may wait on: one that may not be run twice has to.
func (w *work) observeOverdue(k *target, silent, usual time.Duration) {
	if w.overdueNoted || w.attemptBegun || usual <= 0 {
		return
	}
	least := time.Duration(overdueEvidenceShare * float64(patienceOf(w.request.Route)))
	if silent < max(least, overdueEvidenceFactor*usual) {
		return
	}
	w.overdueNoted = true
	w.observe(k, health.Overdue)
}

// observeFailure notes what a failed attempt has shown.
func (w *work) observeFailure(k *target, failed *failure) {
	var status statusError
	switch failed.reason {
	case fault.ReasonLinkLost:
		if failed.execution == fault.ExecutionNotRun {
			w.observe(k, health.Unreachable)
			return
		}
		w.observe(k, health.Broken)
	case fault.ReasonOverdue, fault.ReasonStalled:
		if !w.overdueNoted {
			w.overdueNoted = true
			w.observe(k, health.Overdue)
		}
	case fault.ReasonOverloaded, fault.ReasonWrongVersion:
		w.observe(k, health.Declined)
	case fault.ReasonBackendFailed:
		if errors.As(failed.cause, &status) {
			// The answer has been observed.
			return
		}
		w.observe(k, health.Broken)
	default:
		w.endTrial()
	}
}

// endTrial notes that an attempt has ended that says nothing of its server.
func (w *work) endTrial() {
	t := w.targets
	defer t.tellZone()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	t.core.EndTrial(w.placed, now)
	t.reportHealth(now)
}
