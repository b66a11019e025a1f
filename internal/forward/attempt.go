package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/coordination/silence"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// versionMargin is how long before the bound no older version is asked for.
const versionMargin = 500 * time.Millisecond

// bindVersion sets which version the next attempt needs, and until when older ones
// may begin it.
func (w *work) bindVersion() {
	if w.wanted.Engine == nil {
		return
	}
	view := w.targets.currentView()
	apply := w.targets.bounds.Load().VersionApply
	w.wanted.VersionDeadlines = boundsOf(view.Versions[w.request.Call.Model], apply)
	w.wanted.MinVersion = view.NewestOlderThan(w.request.Call.Model, apply-versionMargin, time.Now())
}

// expectedVersion is the version that a server is asked to check. Once the bound of
// some version has passed that is the one which the server is known to have, so that
// it is not turned away for having a newer one.
func (w *work) expectedVersion(serving uint64) uint64 {
	switch {
	case w.wanted.ExactVersion != 0:
		return w.wanted.ExactVersion
	case w.wanted.MinVersion != 0:
		return max(serving, w.wanted.MinVersion)
	}
	return 0
}

// attempt sends the request to one server. The failure's execution says whether
// it may have run there.
func (w *work) attempt(ctx context.Context) (*exchange, *fault.Refusal, *failure) {
	if refusal := w.admitContent(); refusal != nil {
		return nil, refusal, nil
	}
	w.bindVersion()
	w.bindResidency()
	w.wanted.LastAttempt = w.lastAttempt()
	w.wanted.TimeLeft, w.wanted.MinOverdueTime = time.Until(w.request.Deadline), patienceOf(w.request.Route)
	w.askLoads(ctx)
	chosen, refusal := w.choose()
	if refusal != nil {
		return nil, refusal, nil
	}
	target := chosen.target
	w.sendSuspect(target)
	w.announce(target)
	send := fleet.SendHeader{
		Deadline: time.Until(w.request.Deadline), Instance: target.ID, Version: w.expectedVersion(chosen.Version),
		Tenant: w.request.Tenant, Priority: w.rank(chosen.Expected),
	}
	if w.lastEvent != w.request.Call.LastEventID {
		send.LastEventID = w.lastEvent
	}
	w.sent++
	w.wanted.Tried = append(w.wanted.Tried, target.Candidate)
	w.log.Log(logging.RequestSent, zap.String("request", w.request.Call.RequestID), zap.Int("attempt", w.sent),
		zap.String("server", target.ID), zap.String("zone", target.Zone), zap.Stringer("content", w.request.Content), zap.Int("outstanding", chosen.Outstanding),
		zap.Int("running", chosen.Load.Running), zap.Int("waiting", chosen.Load.Waiting), zap.Int("unread_tokens", int(chosen.Load.Unread)),
		zap.Int("prompt_tokens", w.wanted.Prompt),
		zap.Duration("time_left", send.Deadline), zap.Duration("since_first_attempt", w.wanted.Arrival.Elapsed), zap.Duration("expected", chosen.Expected), zap.Duration("status_age", chosen.ReportAge), zap.Int("candidates", chosen.Considered), zap.Uint64("version", send.Version),
		zap.String("resume_after", send.LastEventID))
	began := time.Now()
	w.sentAt = began
	w.request.usual = w.targets.usualWait(chosen, &w.wanted)
	w.patience = chosen.OverdueAfter
	started, failed := w.open(ctx, w.request, send, target, w.silence(target, chosen.Version))
	if failed == nil {
		failed = w.judge(started, send.Version)
	}
	if failed != nil {
		w.unsent()
		w.noteFailure(target, failed, time.Since(began))
		return nil, nil, failed
	}
	w.targets.sawVersion(target, started.head.Version)
	return started, nil, nil
}

// judge turns an answer that is no answer to the request into a failure.
func (w *work) judge(started *exchange, version uint64) *failure {
	status := started.response.StatusCode
	switch {
	case started.head.NotRun:
		started.drain()
		if instance := started.head.Instance; instance != "" && instance != started.target.ID {
			w.targets.supersede(started.target, instance)
			w.contents.serverEnded(started.target.ID)
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

var errUnsigned = errors.New("the answer bears no signature")

type statusError int

func (e statusError) Error() string { return "status " + strconv.Itoa(int(e)) }

// maximumDrained bounds what is read of an answer that is of no use.
const maximumDrained = 64 << 10

// drain reads a useless answer to its end, so that its connection can be kept.
func (x *exchange) drain() {
	count, err := io.Copy(io.Discard, io.LimitReader(x.response.Body, maximumDrained))
	if err != nil || count == maximumDrained {
		x.abort()
		return
	}
	x.finish()
}

// noteFailure logs a failed attempt and draws the conclusion on the server.
func (w *work) noteFailure(target *target, failed *failure, took time.Duration) {
	w.mayHaveRun = w.mayHaveRun || failed.execution == fault.ExecutionUnknown
	w.log.Log(logging.AttemptFailed, zap.String("request", w.request.Call.RequestID), zap.Int("attempt", w.sent),
		zap.String("server", target.ID), zap.String("reason", string(failed.reason)),
		zap.String("execution", string(failed.execution)), zap.NamedError("cause", failed.cause), zap.Duration("took", took))
	w.metrics.attempts.WithLabelValues(string(failed.reason)).Inc()
	switch failed.reason {
	case fault.ReasonConnectionSilent, fault.ReasonOverdue:
		w.renew(target)
	}
	w.noteEnd(target, failed)
	w.observeFailure(target, failed)
}

// renew lets the next attempt use the same server again, over a connection that was opened
// after this one fell silent, which is at least UnacknowledgedLimit ago.
func (w *work) renew(target *target) {
	w.silentAt = append(w.silentAt, target.Candidate)
	w.request.freshFrom = w.watch.now() - silence.UnacknowledgedLimit
}

// silence decides when a server that sends nothing is given up. Slowness alone is
// no reason: the agent beside it must have lost it, or fallen silent too. A request
// that has not begun is taken back before the time of the server's version is over.
func (w *work) silence(target *target, version uint64) silenceJudge {
	w.attemptBegun, w.overdueNoted = false, false
	return func(silent, usual time.Duration) error {
		w.observeOverdue(target, silent, usual)
		switch {
		case w.waitsBeyondBound(version):
			return errBound
		case w.request.Route.MayRepeat() && silent > suspectSilence && w.targets.suspect(target, w.sentAt):
			return errStalled
		case w.request.Route.MayRepeat() && w.overdue(silent, usual) && w.reserveRetry():
			return errOverdue
		}
		return nil
	}
}

// waitsBeyondBound reports whether a request that has not begun at a server with a version is
// to be taken back. It goes by the versions known now: one may have been named, or heard of,
// after the send, and a request may wait for as long as versions take to be in force.
func (w *work) waitsBeyondBound(version uint64) bool {
	if w.wanted.Engine == nil || w.attemptBegun {
		return false
	}
	notice, superseded := w.targets.currentView().FirstAfter(w.request.Call.Model, version)
	return superseded && time.Until(notice.Since.Add(w.targets.bounds.Load().VersionApply)) < takeBackMargin
}

// takeBackMargin is how long before the bound of an old version a request is taken
// back from a server that has not begun it. A silent connection is looked at each
// lookPeriod.
const takeBackMargin = 2 * lookPeriod

// suspectSilence is the silence after which a suspect server is given up.
const suspectSilence = 350 * time.Millisecond

// mayTryAgain decides whether a failed attempt is followed by another, and says
// why not.
func (w *work) mayTryAgain(ctx context.Context, failed *failure) bool {
	withheld := ""
	switch {
	case ctx.Err() != nil || failed.reason == fault.ReasonCanceled:
		withheld = "caller left"
	case w.mayHaveRun && !w.request.Route.MayRepeat():
		withheld = "may have run"
	case w.sent >= w.request.Route.Attempts:
		withheld = "attempts"
	case time.Until(w.request.Deadline) < minimumTime:
		withheld = "time"
	case !w.retryReserved && !w.takeRetry(w.wanted.Service):
		withheld = "budget"
	}
	w.retryReserved = false
	if withheld == "" {
		w.metrics.retries.Inc()
		return true
	}
	w.log.Log(logging.RetryDenied, zap.String("request", w.request.Call.RequestID), zap.String("because", withheld),
		zap.Int("attempts", w.sent), zap.Int("most_attempts", w.request.Route.Attempts))
	return false
}

// lastAttempt reports whether no other attempt would follow the next one if that fails, or waits for
// an answer until it is overdue: such a request is not sent to a server to find out whether it serves.
func (w *work) lastAttempt() bool {
	switch {
	case w.sent+1 >= w.request.Route.Attempts, time.Until(w.request.Deadline) < 2*patienceOf(w.request.Route):
		return true
	}
	return !w.retryReserved && !w.hasRetry(w.wanted.Service)
}

// minimumTime is the least time for which an attempt is worth while.
const minimumTime = 30 * time.Millisecond

// giveUp is the answer to a request whose last attempt failed.
func (w *work) giveUp(failed *failure) *fault.Refusal {
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
