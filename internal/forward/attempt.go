package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/coordination/hedging"
	"pinevane.example/pinevane/coordination/silence"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// versionMargin is how long before a version deadline older versions are no longer requested.
const versionMargin = 500 * time.Millisecond

// bindVersion sets which version the next attempt needs, and until when older ones may begin it.
func (w *forwarding) bindVersion() {
	if w.criteria.Engine == nil {
		return
	}
	view := w.targets.currentView()
	apply := w.targets.bounds.Load().VersionApply
	w.criteria.VersionDeadlines = versionDeadlinesOf(view.Versions[w.request.Call.Model], apply)
	w.criteria.MinVersion = view.NewestOlderThan(w.request.Call.Model, apply-versionMargin, time.Now())
}

// expectedVersion is the version that a server is asked to check. Once a version deadline has
// passed, it is the version the server is known to have, so that a request is not rejected because
// the server has a newer one.
func (w *forwarding) expectedVersion(serving uint64) uint64 {
	switch {
	case w.criteria.ExactVersion != 0:
		return w.criteria.ExactVersion
	case w.criteria.MinVersion != 0:
		return max(serving, w.criteria.MinVersion)
	}
	return 0
}

// plan is an attempt that is about to be made.
type plan struct {
	chosen choice
	send   fleet.SendHeader
}

// nextAttempt returns the open second attempt if there is one, and otherwise makes an attempt.
func (w *forwarding) nextAttempt(ctx context.Context) (*exchange, *fault.Refusal, *failure) {
	if w.hedging.FirstEnded() == hedging.AwaitHedge {
		started, failed := w.adoptHedge(ctx)
		return started, nil, failed
	}
	return w.attempt(ctx)
}

// attempt sends the request to one server. The failure's execution says whether the request may
// have run there.
func (w *forwarding) attempt(ctx context.Context) (*exchange, *fault.Refusal, *failure) {
	next, refusal := w.planAttempt(ctx)
	if refusal != nil {
		return nil, refusal, nil
	}
	target := next.chosen.target
	started, failed := w.send(ctx, next, w.newAttemptGuard(ctx, target, next.chosen.Version))
	if failed != nil {
		w.releaseAttempt()
		w.recordFailure(target, failed, time.Since(w.sentAt))
		return nil, nil, failed
	}
	w.targets.recordVersion(target, started.head.Version)
	if !w.isStream() {
		w.cancelHedge()
	}
	return started, nil, nil
}

// planAttempt chooses the server of the next attempt and counts the attempt. A refusal means that
// nothing is sent.
func (w *forwarding) planAttempt(ctx context.Context) (*plan, *fault.Refusal) {
	if refusal := w.admitFingerprint(); refusal != nil {
		return nil, refusal
	}
	w.bindVersion()
	w.bindResidency()
	w.criteria.LastAttempt = w.isLastAttempt()
	w.criteria.TimeRemaining, w.criteria.MinOverdueTime = time.Until(w.request.Deadline), minOverdueOf(w.request.Route)
	w.queryLoads(ctx)
	chosen, refusal := w.choose()
	if refusal != nil {
		return nil, refusal
	}
	send := fleet.SendHeader{
		Deadline: time.Until(w.request.Deadline), Instance: chosen.target.ID, Version: w.expectedVersion(chosen.Version),
		Tenant: w.request.Tenant, Priority: w.priorityFor(chosen.Expected),
	}
	if w.lastEvent != w.request.Call.LastEventID {
		send.LastEventID = w.lastEvent
	}
	w.attempts++
	w.attemptState = attemptState{number: w.attempts, currentSend: w.currentSend, sentAt: time.Now(), overdueTimeout: chosen.OverdueAfter}
	w.request.typicalWait = w.targets.typicalWait(chosen, &w.criteria)
	w.criteria.Tried = append(w.criteria.Tried, chosen.target.Candidate)
	return &plan{chosen: chosen, send: send}, nil
}

// logSend logs an attempt with the figures that its server was chosen by.
func (w *forwarding) logSend(next *plan, because string) {
	chosen, send := next.chosen, next.send
	reason := zap.Skip()
	if because != "" {
		reason = zap.String("beside_silent", because)
	}
	w.log.Log(logging.RequestSent, zap.String("request", w.request.Call.RequestID), zap.Int("attempt", w.number),
		zap.String("server", chosen.target.ID), zap.String("zone", chosen.target.Zone), zap.Stringer("content", w.request.Identity.Fingerprint), w.loggedParts(), zap.Int("outstanding", chosen.Outstanding),
		zap.Int("running", chosen.Load.Running), zap.Int("waiting", chosen.Load.Waiting), zap.Int("unread_tokens", int(chosen.Load.Unread)),
		zap.Int("prompt_tokens", w.criteria.Prompt),
		zap.Duration("time_left", send.Deadline), zap.Duration("since_first_attempt", w.criteria.Arrival.Elapsed), zap.Duration("expected", chosen.Expected), zap.Duration("status_age", chosen.ReportAge), zap.Int("candidates", chosen.Considered), zap.Uint64("version", send.Version),
		zap.String("resume_after", send.LastEventID), reason)
}

// maxLoggedParts bounds the parts of a prompt that a log line names.
const maxLoggedParts = 16

// loggedParts returns the field with the parts of the prompt that other requests may have too.
func (w *forwarding) loggedParts() zap.Field {
	parts := w.request.Call.SharedParts
	if len(parts) == 0 {
		return zap.Skip()
	}
	return zap.Strings("parts", parts[:min(len(parts), maxLoggedParts)])
}

// send sends a planned attempt and reads the head of the answer.
func (w *forwarding) send(ctx context.Context, next *plan, guard guard) (*exchange, *failure) {
	w.recordSuspectSend(next.chosen.target)
	w.announce(next.chosen.target)
	w.logSend(next, "")
	started, failed := w.open(ctx, w.request, next.send, next.chosen.target, guard)
	if failed != nil {
		return nil, failed
	}
	return started, w.classifyAnswer(started, next.send.Version)
}

// classifyAnswer returns a failure if an answer rejects the request, is unsigned or has an old
// version.
func (w *forwarding) classifyAnswer(started *exchange, version uint64) *failure {
	status := started.response.StatusCode
	switch {
	case started.head.NotRun:
		started.drain()
		if instance := started.head.Instance; instance != "" && instance != started.target.ID {
			w.targets.supersede(started.target, instance)
			w.quarantine.serverCrashed(started.target.ID)
			return &failure{reason: fault.ReasonIncarnation, execution: fault.ExecutionNotRun, cause: statusError(status)}
		}
		if status == http.StatusMisdirectedRequest {
			return &failure{reason: fault.ReasonWrongVersion, execution: fault.ExecutionNotRun, cause: statusError(status)}
		}
		return &failure{reason: fault.ReasonOverloaded, execution: fault.ExecutionNotRun, cause: statusError(status)}
	case status/100 == 2 && !started.head.Signed:
		started.abort()
		return &failure{reason: fault.ReasonBackendFailed, execution: fault.ExecutionUnknown, cause: errUnsigned}
	case version != 0 && started.head.Version != 0 && started.head.Version < version:
		started.abort()
		return &failure{reason: fault.ReasonWrongVersion, execution: fault.ExecutionUnknown}
	}
	return nil
}

var errUnsigned = errors.New("answer is not signed")

type statusError int

func (e statusError) Error() string { return "status " + strconv.Itoa(int(e)) }

// maxDrainedBytes bounds how much of an unusable answer is read.
const maxDrainedBytes = 64 << 10

// drain reads an unusable answer to its end, so that its connection can be reused.
func (x *exchange) drain() {
	if err := x.discardBody(maxDrainedBytes); err != nil {
		x.abort()
		return
	}
	x.finish()
}

// recordFailure logs a failed attempt and updates the server's health.
func (w *forwarding) recordFailure(target *target, failed *failure, took time.Duration) {
	w.mayHaveRun = w.mayHaveRun || failed.execution == fault.ExecutionUnknown
	w.log.Log(logging.AttemptFailed, zap.String("request", w.request.Call.RequestID), zap.Int("attempt", w.number),
		zap.String("server", target.ID), zap.String("reason", string(failed.reason)),
		zap.String("execution", string(failed.execution)), zap.NamedError("cause", failed.cause), zap.Duration("took", took))
	w.metrics.attempts.WithLabelValues(string(failed.reason)).Inc()
	if part := oversizedPart(failed.cause); part != "" {
		w.metrics.oversized.WithLabelValues(part).Inc()
	}
	w.metrics.countMalformed(failed.cause)
	switch failed.reason {
	case fault.ReasonConnectionSilent, fault.ReasonOverdue:
		w.allowSameServer(target)
	}
	w.detectCrash(target, failed)
	w.observeFailure(target, failed)
}

// oversizedPart returns the part of an answer that was too long, or "" if none was.
func oversizedPart(cause error) string {
	switch {
	case errors.Is(cause, errHeadTooLong):
		return oversizedHead
	case errors.Is(cause, http.ErrLineTooLong):
		return oversizedChunkLine
	case errors.Is(cause, errEventTooLong):
		return oversizedEvent
	case errors.Is(cause, errDiscardBound):
		return oversizedUseless
	}
	return ""
}

// allowSameServer lets the next attempt use the same server again, over a connection that was
// opened after this one fell silent, which is at least the silence detector's limit for
// unacknowledged data ago.
func (w *forwarding) allowSameServer(target *target) {
	w.silentServers = append(w.silentServers, target.Candidate)
	w.request.openedAfter = w.watcher.now() - silence.UnacknowledgedLimit
}

// newSilenceCheck returns the check for evidence that an attempt's server has fallen silent.
// Slowness alone is none: the server's agent must have lost it, or be silent too, or the answer takes
// many times the typical wait. The evidence ends no attempt, apart from errVersionDeadline: a request
// that the server has not begun is withdrawn before the deadline of the server's version.
func (w *forwarding) newSilenceCheck(target *target, version uint64) silenceCheck {
	w.attemptBegun, w.overdueRecorded = false, false
	return func(silent, typical time.Duration) error {
		w.observeOverdue(target, silent, typical)
		switch {
		case w.pastVersionDeadline(version):
			return errVersionDeadline
		case w.request.Route.MayRepeat() && silent > suspectTimeout && w.targets.isSuspect(target, w.sentAt):
			return errStalled
		case w.request.Route.MayRepeat() && w.overdue(silent, typical):
			return errOverdue
		}
		return nil
	}
}

// pastVersionDeadline reports whether a request that a server has not begun must be withdrawn
// because of the server's version. It uses the versions known now: one may have been announced, or
// received here, after the send, and a request may wait for as long as it takes to apply a version.
func (w *forwarding) pastVersionDeadline(version uint64) bool {
	if w.criteria.Engine == nil || w.attemptBegun || w.committed {
		return false
	}
	announcement, superseded := w.targets.currentView().FirstAfter(w.request.Call.Model, version)
	return superseded && time.Until(announcement.Since.Add(w.targets.bounds.Load().VersionApply)) < withdrawMargin
}

// withdrawMargin is how long before the deadline of an old version a request is withdrawn from a
// server that has not begun it. Silent connections are checked every silenceCheckPeriod.
const withdrawMargin = 2 * silenceCheckPeriod

// suspectTimeout is the silence after which another server is tried beside a suspect one.
const suspectTimeout = 350 * time.Millisecond

// withheldByBudget is the logged reason of a retry that the budget denied.
const withheldByBudget = "budget"

// mayRetry reports whether a failed attempt may be followed by another, and logs the reason if not.
func (w *forwarding) mayRetry(ctx context.Context, failed *failure) bool {
	withheld := ""
	switch {
	case canceledByStop(ctx), failed.reason == fault.ReasonLeaving:
		withheld = "stopping"
	case ctx.Err() != nil || failed.reason == fault.ReasonCanceled:
		withheld = "caller left"
	case w.mayHaveRun && !w.request.Route.MayRepeat():
		withheld = "may have run"
	case w.attempts >= w.request.Route.Attempts:
		withheld = "attempts"
	case time.Until(w.request.Deadline) < minAttemptTime:
		withheld = "time"
	case !w.retryBudgets.spend(w.criteria.Service):
		withheld = withheldByBudget
	}
	if withheld == "" {
		w.metrics.retries.Inc()
		return true
	}
	fields := []zap.Field{
		zap.String("request", w.request.Call.RequestID), zap.String("because", withheld),
		zap.Int("attempts", w.attempts), zap.Int("most_attempts", w.request.Route.Attempts),
	}
	if withheld == withheldByBudget {
		fields = append(fields, w.retryBudgets.logFields(w.criteria.Service)...)
	}
	w.log.Log(logging.RetryDenied, fields...)
	return false
}

// isLastAttempt reports whether no attempt could follow the next one if that fails or is overdue.
// Such a request is not used to probe whether a server works.
func (w *forwarding) isLastAttempt() bool {
	switch {
	case w.attempts+1 >= w.request.Route.Attempts, time.Until(w.request.Deadline) < 2*minOverdueOf(w.request.Route):
		return true
	}
	return !w.retryBudgets.available(w.criteria.Service)
}

// minAttemptTime is the minimum remaining time for which an attempt is worthwhile.
const minAttemptTime = 30 * time.Millisecond

// finalRefusal returns the refusal of a request whose last attempt failed.
func (w *forwarding) finalRefusal(failed *failure) *fault.Refusal {
	if !w.mayHaveRun {
		refusal := fault.NotRun(failed.reason, "no server took the request")
		refusal.RetryAfter = dispatch.NoServerRetry
		return refusal
	}
	reason := failed.reason
	if failed.execution == fault.ExecutionNotRun {
		reason = fault.ReasonBackendFailed
	}
	return fault.Unknown(reason, "a server may have run the request, and no answer came")
}
