package forward

import (
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
)

// Reasons of servers' health for which they are not sent a request.
const (
	unfitEjected = "ejected"
	unfitOnTrial = "on trial"
	// unfitSuspect leaves a server out for requests that must not be run twice, or have failed
	// before, as long as there are others.
	unfitSuspect = "suspect"
	// unfitForTrial is no reason against: the request is the server's trial.
	unfitForTrial = "to be tried"
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
	// TellHealth has the others told.
	TellHealth(words []health.Word)
	// ZoneEntries lists the others.
	ZoneEntries() []string
}

// serverHealth is the health of the servers as this entry sees it; the mutex of the set guards
// it.
type serverHealth struct {
	tracker *health.Tracker
	started time.Time
	// source is nil in an entry that shares nothing.
	source   HealthSource
	lookedAt time.Time
	log      *logging.Logger

	ejections *prometheus.CounterVec
	trials    prometheus.Counter
}

func newServerHealth(self string, source HealthSource, log *logging.Logger) *serverHealth {
	return &serverHealth{
		tracker: health.New(self), started: time.Now(), source: source, log: log,
		ejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pinevane_server_ejections_total", Help: "Ejections of servers, by what decided them; told: another entry of the zone."}, []string{"by"}),
		trials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pinevane_server_trials_total", Help: "Requests sent to ejected servers on trial."}),
	}
}

// registerHealth tells of servers' health as metrics.
func registerHealth(registry prometheus.Registerer, t *targets) {
	registry.MustRegister(t.health.ejections, t.health.trials, prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "pinevane_ejected_servers", Help: "Servers that are ejected or on trial."},
		func() float64 {
			t.mutex.Lock()
			defer t.mutex.Unlock()
			return float64(len(t.health.tracker.Ejected()))
		}))
}

// at is a moment as the tracker counts time.
func (h *serverHealth) at(moment time.Time) time.Duration { return moment.Sub(h.started) }

// unfit returns why a server's health keeps a request from it.
func (h *serverHealth) unfit(k *target, wanted need, now time.Time) string {
	switch h.tracker.State(k.id, h.at(now)) {
	case health.Ejected:
		return unfitEjected
	case health.OnTrial:
		if len(wanted.tried) > 0 || !h.tracker.MayTry(k.id, wanted.route.MayRepeat(), h.at(now)) {
			return unfitOnTrial
		}
		return unfitForTrial
	case health.Suspect:
		if len(wanted.tried) > 0 || !wanted.route.MayRepeat() {
			return unfitSuspect
		}
	}
	return unfitNot
}

// proven reports whether the server's own answers outweigh an agent that does not reach it.
func (h *serverHealth) proven(k *target, now time.Time) bool {
	return h.tracker.Proven(k.id, h.at(now))
}

// listHealth takes over which servers there are; the mutex is held.
func (t *targets) listHealth(old, view *catalog.View) {
	for service := range old.Servers {
		if _, listed := view.Servers[service]; !listed {
			t.health.tracker.SetServers(service, nil)
		}
	}
	for service, servers := range view.Servers {
		ids := make([]string, 0, len(servers))
		for _, server := range servers {
			ids = append(ids, server.ID)
		}
		for _, change := range t.health.tracker.SetServers(service, ids) {
			t.health.note(change, true)
		}
	}
}

// suspectCost is what using a suspect server weighs in the choice: about what a request loses
// that fails there and begins anew elsewhere, at the share of failures that is looked for.
const suspectCost = 50 * time.Millisecond

func (h *serverHealth) cost(k *target, now time.Time) time.Duration {
	if h.tracker.State(k.id, h.at(now)) == health.Suspect {
		return suspectCost
	}
	return 0
}

// lookAtMembers takes over which entries take turns with trials.
func (h *serverHealth) lookAtMembers(now time.Time) {
	if h.source != nil && now.Sub(h.lookedAt) >= membersPeriod {
		h.lookedAt = now
		h.tracker.SetMembers(h.source.ZoneEntries())
	}
}

// byHealth picks among the servers that a request may be sent to, by their health: the one that
// the request is a trial of, if it would begin there in time, or else those in order, suspect
// ones only when there is no other, and ejected ones only when there is none of these.
func (t *targets) byHealth(candidates map[string][]*target, wanted need, now time.Time) []*target {
	limit := t.refusalLimit(wanted)
	for _, one := range candidates[unfitForTrial] {
		if limit <= 0 || one.hasFreePlace(wanted) || one.firstEvent(wanted, now) <= limit {
			return []*target{one}
		}
	}
	for _, reason := range []string{unfitNot, unfitSuspect, unfitForTrial, unfitOnTrial} {
		if len(candidates[reason]) > 0 {
			return candidates[reason]
		}
	}
	return candidates[unfitEjected]
}

// beginTrial notes that a chosen server is on trial, if it is; the mutex is held.
func (t *targets) beginTrial(k *target, wanted need, now time.Time) {
	if t.health.tracker.State(k.id, t.health.at(now)) != health.OnTrial {
		return
	}
	t.health.trials.Inc()
	t.health.tracker.BeginTrial(k.id, t.health.at(now))
	t.log.Log(logging.ServerTried, zap.String("server", k.id), zap.String("request", wanted.work.request.Call.RequestID))
	t.health.share()
}

// share has the zone told what there is to tell; the mutex of the set is held.
func (h *serverHealth) share() {
	words := h.tracker.TakeWords()
	if h.source == nil || len(words) == 0 {
		return
	}
	h.source.TellHealth(words)
}

// note logs and counts a change.
func (h *serverHealth) note(change health.Change, changed bool) {
	if !changed {
		return
	}
	by := "told"
	if change.Outcome != 0 {
		by = change.Outcome.String()
	}
	fields := []zap.Field{zap.String("server", change.Server), zap.String("by", by), zap.String("entry", change.By), zap.Int("round", change.Round)}
	if change.To == health.Ejected {
		h.ejections.WithLabelValues(by).Inc()
		h.log.Log(logging.ServerEjected, append(fields, zap.Duration("for", change.For), zap.Float64("evidence", change.Evidence))...)
		return
	}
	h.log.Log(logging.ServerReturned, fields...)
}

// hearHealth takes in what another entry of the zone has found out.
func (t *targets) hearHealth(word health.Word, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.health.note(t.health.tracker.Hear(word, t.health.at(at), t.health.at(time.Now())))
}

// observe notes what the present attempt has shown of its server.
func (w *work) observe(k *target, outcome health.Outcome) {
	t := w.targets
	t.mutex.Lock()
	defer t.mutex.Unlock()
	attempt := health.Attempt{
		Server: k.id, Class: w.request.Route.Name, Outcome: outcome, Sent: t.health.at(w.sentAt), Repeated: len(w.wanted.tried) > 1,
	}
	t.health.note(t.health.tracker.Observe(attempt, t.health.at(time.Now())))
	t.health.share()
}

// observeAnswer notes what a whole answer has shown. A server's answer that the time of the
// request is over says nothing of the server.
func (w *work) observeAnswer(k *target, status int) {
	switch {
	case status == http.StatusGatewayTimeout:
		w.endTrial(k)
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
			w.observe(k, health.Unreached)
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
		w.endTrial(k)
	}
}

// endTrial notes that an attempt has ended that says nothing of its server.
func (w *work) endTrial(k *target) {
	w.targets.mutex.Lock()
	defer w.targets.mutex.Unlock()
	w.targets.health.tracker.EndTrial(k.id, w.targets.health.at(time.Now()))
	w.targets.health.share()
}

// HearHealth takes in what another entry of the zone has said of a server, and when.
func (f *Forwarder) HearHealth(word health.Word, at time.Time) { f.targets.hearHealth(word, at) }
