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

// Thresholds from which a pending answer is recorded as overdue, before the request is abandoned
// for it: the other servers' requests show whether the delay is typical. At three times the typical
// wait, and half of the minimum overdue time, so many answers counted in a fleet at its limit that
// healthy servers failed their trials.
const (
	overdueEvidenceFactor = 4
	overdueEvidenceRatio  = 0.8
)

// HealthAnnouncer exchanges health reports on servers with the zone's other entries.
type HealthAnnouncer interface {
	// AnnounceHealth sends health reports made at the given time; ages in the reports count from
	// then.
	AnnounceHealth(reports []health.Report, at time.Time)
	// ZoneEntries lists the other entries of the zone.
	ZoneEntries() []string
}

// healthReporter logs, counts and announces changes of servers' health. Unless noted otherwise, the
// mutex of targets guards it.
type healthReporter struct {
	// announcer is nil in an entry that shares nothing.
	announcer       HealthAnnouncer
	zoneRefreshedAt time.Time
	// pending holds the reports that are still to be announced.
	pending outbox[healthReports]

	ejections *prometheus.CounterVec
	trials    prometheus.Counter
}

// healthReports holds the reports made at one time.
type healthReports struct {
	reports []health.Report
	at      time.Time
}

func newHealthReporter(options Options) *healthReporter {
	return &healthReporter{
		announcer: options.Health,
		ejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pinevane_server_ejections_total", Help: "Ejections of servers, by what decided them; told: another entry of the zone."}, []string{"by"}),
		trials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pinevane_server_trials_total", Help: "Requests sent on trial to servers that were ejected, or that their agents do not reach."}),
	}
}

// registerHealthMetrics registers the metrics of servers' health.
func registerHealthMetrics(registry prometheus.Registerer, t *targets) {
	registry.MustRegister(t.health.ejections, t.health.trials, prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "pinevane_ejected_servers", Help: "Servers that are ejected or on trial."},
		func() float64 {
			t.mutex.Lock()
			defer t.mutex.Unlock()
			return float64(t.core.EjectedServers())
		}))
}

// zoneRefreshPeriod is how often the zone's entries are refreshed.
const zoneRefreshPeriod = 250 * time.Millisecond

// zoneRefreshDue reports whether the zone's entries are to be refreshed. The mutex must be held.
func (t *targets) zoneRefreshDue(now time.Time) bool {
	return t.health.announcer != nil && now.Sub(t.health.zoneRefreshedAt) >= zoneRefreshPeriod
}

// recordTrial logs and counts a request that is the trial of its server. The mutex must be held.
func (t *targets) recordTrial(w *forwarding, k *dispatch.Candidate, now time.Time) {
	t.health.trials.Inc()
	t.log.Log(logging.ServerTrial, zap.String("server", k.ID), zap.String("request", w.request.Call.RequestID))
	t.reportHealth(now)
}

// reportHealth logs and counts the recent changes of servers' health, and queues the reports to
// announce. The mutex must be held.
func (t *targets) reportHealth(now time.Time) {
	updates := t.core.TakeHealthUpdates()
	for _, change := range updates.Changes {
		t.logHealth(change)
	}
	if t.health.announcer != nil && len(updates.Reports) > 0 {
		t.health.pending.add(healthReports{reports: updates.Reports, at: now})
	}
}

// announceHealth sends the queued reports to the zone's other entries. The mutex is not held.
func (t *targets) announceHealth() {
	t.health.pending.deliver(&t.mutex, func(one healthReports) { t.health.announcer.AnnounceHealth(one.reports, one.at) })
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

// ReceiveHealth applies a health report that another entry of the zone made at the given time.
func (f *Forwarder) ReceiveHealth(report health.Report, at time.Time) {
	t := f.targets
	defer t.announceHealth()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	t.core.ApplyHealthReport(report, at, now)
	t.reportHealth(now)
}

// observe records the outcome of the current attempt for its server's health.
func (w *forwarding) observe(k *target, outcome health.Outcome) {
	t := w.targets
	defer t.announceHealth()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	t.core.Observe(k.Candidate, dispatch.Outcome{
		Outcome: outcome, Class: w.request.Route.Name, SentAt: w.sentAt, Retried: len(w.criteria.Tried) > 1,
	}, now)
	t.reportHealth(now)
}

// observeAnswer records the outcome of a complete answer. An answer that the request's deadline has
// passed says nothing about the server.
func (w *forwarding) observeAnswer(k *target, status int) {
	switch {
	case status == http.StatusGatewayTimeout:
		w.endTrial()
	case status >= http.StatusInternalServerError:
		w.observe(k, health.Errored)
	default:
		w.observe(k, health.Served)
	}
}

// observeOverdue records, once per attempt, that the answer takes many times the typical wait. The
// request itself may go on waiting; one that must not run twice has to.
func (w *forwarding) observeOverdue(k *target, silent, typical time.Duration) {
	if w.overdueRecorded || w.attemptBegun || typical <= 0 {
		return
	}
	minimum := time.Duration(overdueEvidenceRatio * float64(minOverdueOf(w.request.Route)))
	if silent < max(minimum, overdueEvidenceFactor*typical) {
		return
	}
	w.overdueRecorded = true
	w.observe(k, health.Overdue)
}

// observeFailure records the outcome of a failed attempt.
func (w *forwarding) observeFailure(k *target, failed *failure) {
	var status statusError
	switch failed.reason {
	case fault.ReasonLinkLost:
		if failed.execution == fault.ExecutionNotRun {
			w.observe(k, health.Unreachable)
			return
		}
		w.observe(k, health.Broken)
	case fault.ReasonOverdue, fault.ReasonStalled:
		if !w.overdueRecorded {
			w.overdueRecorded = true
			w.observe(k, health.Overdue)
		}
	case fault.ReasonOverloaded, fault.ReasonWrongVersion:
		w.observe(k, health.Declined)
	case fault.ReasonBackendFailed:
		if errors.As(failed.cause, &status) {
			// The answer was observed when it was read.
			return
		}
		if errors.Is(failed.cause, errUnconfirmedEnd) {
			w.endTrial()
			return
		}
		w.observe(k, health.Broken)
	default:
		w.endTrial()
	}
}

// endTrial records the end of an attempt that says nothing about its server.
func (w *forwarding) endTrial() {
	t := w.targets
	defer t.announceHealth()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	t.core.EndTrial(w.currentSend, now)
	t.reportHealth(now)
}
