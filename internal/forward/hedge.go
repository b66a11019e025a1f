package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/hedging"
	"pinevane.example/pinevane/coordination/silence"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
)

// A server that has fallen silent may go on at any moment, so that its attempt is not given up for
// silence. Another server is tried beside it, and whichever of the two delivers the next part of the
// answer first goes on. Package coordination/hedging decides. Otherwise a request whose second
// attempt finds no place ends without an answer, though its first server is sound.

// hedge is the second attempt of a request.
type hedge struct {
	// second is a copy of the request's state in which the second attempt was planned. Only the
	// goroutine that sends it uses it until outcome is received.
	second *forwarding
	plan   *plan
	cancel context.CancelFunc
	// evidence is why the second attempt was made.
	evidence error
	// outcome receives the outcome of the second attempt, once.
	outcome chan hedgeOutcome

	mutex sync.Mutex
	// first is the connection of the first attempt, which is interrupted by the outcome; nil once the
	// first attempt has ended.
	first *connection
	// abandoned is set once nobody wants the outcome.
	abandoned bool
}

// hedgeOutcome is the beginning of an answer, or the failure of the second attempt.
type hedgeOutcome struct {
	started *exchange
	failed  *failure
}

// Outcomes of second attempts, as label values.
const (
	hedgeTookOver = "took over"
	hedgeCanceled = "canceled"
	hedgeFailed   = "failed"
	hedgeNoPlace  = "no place"
)

// attemptGuard guards the current attempt of a request: the attempt ends when the second one has begun
// to answer, or for the deadline of its server's version.
type attemptGuard struct {
	w        *forwarding
	ctx      context.Context
	target   *target
	evidence silenceCheck
}

func (w *forwarding) newAttemptGuard(ctx context.Context, target *target, version uint64) *attemptGuard {
	return &attemptGuard{w: w, ctx: ctx, target: target, evidence: w.newSilenceCheck(target, version)}
}

func (g *attemptGuard) beforeSend() error { return g.evidence(0, 0) }

func (g *attemptGuard) whileSilent(c *connection, silent time.Duration) error {
	if g.w.hedgeBegun() {
		return g.w.hedge.evidence
	}
	evidence := g.evidence(silent, time.Duration(c.typicalWait.Load()))
	if evidence == nil && c.silent.Load() {
		evidence = errSilent
	}
	if evidence == nil || errors.Is(evidence, errVersionDeadline) {
		return evidence
	}
	g.w.considerHedge(g.ctx, g.target, c, evidence)
	return nil
}

// hedgeGuard guards a second attempt. It ends early for the deadline of its server's version, and when
// its connection is held silent too: the first attempt goes on, and may be given another second one.
type hedgeGuard struct {
	second  *forwarding
	version uint64
}

func (g *hedgeGuard) beforeSend() error {
	if g.second.pastVersionDeadline(g.version) {
		return errVersionDeadline
	}
	return nil
}

func (g *hedgeGuard) whileSilent(c *connection, _ time.Duration) error {
	if c.silent.Load() {
		return errSilent
	}
	return g.beforeSend()
}

// considerHedge makes a second attempt if the conditions for one are met and a server has a place.
func (w *forwarding) considerHedge(ctx context.Context, silent *target, first *connection, evidence error) {
	now := w.watcher.now()
	if w.hedging.FirstSilent(now, w.hedgeConditions()) != hedging.Hedge {
		return
	}
	second := w.fork()
	second.request.openedAfter = w.watcher.now() - silence.UnacknowledgedLimit
	if !errors.Is(evidence, errStalled) {
		second.allowSameServer(silent)
	}
	next, refusal := second.planAttempt(ctx)
	if refusal != nil || second.isSuspect || !w.retryBudgets.spend(w.criteria.Service) {
		second.dropPlan(next)
		w.metrics.hedges.WithLabelValues(hedgeNoPlace).Inc()
		w.hedging.NoPlace(now)
		return
	}
	w.attempts, w.criteria.Tried = second.attempts, slices.Clone(second.criteria.Tried)
	w.metrics.retries.Inc()
	w.startHedge(ctx, &hedge{second: second, plan: next, evidence: evidence, first: first, outcome: make(chan hedgeOutcome, 1)})
}

// hedgeConditions returns what the present state of the request allows.
func (w *forwarding) hedgeConditions() hedging.Conditions {
	return hedging.Conditions{
		Repeatable: w.request.Route.MayRepeat() && !w.isSuspect, Committed: w.committed, Attempts: w.request.Route.Attempts - w.attempts,
		Budget: w.retryBudgets.available(w.criteria.Service), Remaining: time.Until(w.request.Deadline), Needed: max(minAttemptTime, w.request.typicalWait),
	}
}

// fork returns a copy of the request's state for a second attempt.
func (w *forwarding) fork() *forwarding {
	second, request := *w, *w.request
	second.request, second.attemptState = &request, attemptState{}
	second.criteria.Tried, second.silentServers = slices.Clone(w.criteria.Tried), slices.Clone(w.silentServers)
	second.hedge = nil
	second.bindResumption()
	return &second
}

// dropPlan takes back a planned attempt that is not made.
func (w *forwarding) dropPlan(next *plan) {
	w.endSuspect()
	if next != nil {
		w.releaseAttempt()
		w.endTrial()
	}
}

func (w *forwarding) startHedge(ctx context.Context, h *hedge) {
	ctx, h.cancel = context.WithCancel(ctx)
	w.hedge = h
	w.hedging.HedgeStarted()
	h.second.announce(h.plan.chosen.target)
	h.second.logSend(h.plan, h.evidence.Error())
	go h.run(ctx)
}

// run sends the second attempt and waits for the beginning of its answer.
func (h *hedge) run(ctx context.Context) { h.finish(h.send(ctx)) }

// send sends the second attempt and reads the beginning of its answer. If it panics, only this attempt
// fails: in a goroutine of its own, a panic would end the process.
func (h *hedge) send(ctx context.Context) (outcome hedgeOutcome) {
	w := h.second
	defer func() {
		if reason := recover(); reason != nil {
			w.log.Log(logging.HandlerPanicked, zap.String("request", w.request.Call.RequestID), zap.String("panic", fmt.Sprint(reason)),
				zap.ByteString("stack", debug.Stack()))
			outcome.failed = &failure{reason: fault.ReasonInternal, execution: fault.ExecutionUnknown}
		}
		if outcome.failed != nil && outcome.started != nil {
			outcome.started.abort()
		}
	}()
	guard := &hedgeGuard{second: w, version: h.plan.chosen.Version}
	outcome.started, outcome.failed = w.open(ctx, w.request, h.plan.send, h.plan.chosen.target, guard)
	if outcome.failed == nil {
		outcome.failed = w.classifyAnswer(outcome.started, h.plan.send.Version)
	}
	if outcome.failed == nil {
		outcome.failed = w.readBeginning(outcome.started)
	}
	return outcome
}

// finish reports the outcome, or ends the exchange if nobody wants it any more.
func (h *hedge) finish(outcome hedgeOutcome) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.abandoned {
		if outcome.failed == nil {
			outcome.started.abort()
		}
		return
	}
	h.outcome <- outcome
	if h.first != nil {
		h.first.interrupt()
	}
}

// detach ends the interruption of the first attempt's connection, which may carry other requests from
// now on.
func (h *hedge) detach() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.first = nil
}

// detachHedge ends the interruption of the current connection by the second attempt, if there is one,
// before the connection goes back to the pool.
func (w *forwarding) detachHedge() {
	if w.hedge != nil {
		w.hedge.detach()
	}
}

// abandon ends the second attempt.
func (h *hedge) abandon() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.cancel()
	h.first, h.abandoned = nil, true
	select {
	case outcome := <-h.outcome:
		if outcome.failed == nil {
			outcome.started.abort()
		}
	default:
	}
}

// readBeginning reads the beginning of an answer that replaces a silent server's: the head of a plain
// one, the first event of a stream. An answer that is worth no more than waiting is a failure.
func (w *forwarding) readBeginning(started *exchange) *failure {
	status := started.response.StatusCode
	if status >= http.StatusInternalServerError || (w.headSent && status != http.StatusOK) {
		return &failure{reason: fault.ReasonBackendFailed, execution: fault.ExecutionUnknown, cause: statusError(status)}
	}
	if !w.isStream() || status != http.StatusOK {
		return nil
	}
	splitter := &eventSplitter{source: started.response.Body}
	first, err := splitter.next()
	if err != nil && !errors.Is(err, io.EOF) {
		return &failure{reason: failureReason(err, fault.ReasonBackendFailed), execution: fault.ExecutionUnknown, cause: err}
	}
	splitter.unread(first)
	splitter.memory = w.request.Memory
	started.events = splitter
	return nil
}

// hedgeBegun reports whether the second attempt has begun to answer. If it has failed instead, the
// first one goes on alone.
func (w *forwarding) hedgeBegun() bool {
	if w.hedge == nil {
		return false
	}
	select {
	case outcome := <-w.hedge.outcome:
		if outcome.failed != nil {
			w.endFailedHedge(outcome.failed)
			return false
		}
		w.hedge.outcome <- outcome
		return w.hedging.HedgeBegun() == hedging.TakeOver
	default:
		return false
	}
}

// endFailedHedge records the failure of the second attempt beside the first one.
func (w *forwarding) endFailedHedge(failed *failure) {
	h := w.hedge
	w.hedge = nil
	h.cancel()
	w.hedging.HedgeFailed(w.watcher.now())
	h.second.recordHedgeFailure(h.plan.chosen.target, failed)
	w.mayHaveRun = w.mayHaveRun || h.second.mayHaveRun
	w.metrics.hedges.WithLabelValues(hedgeFailed).Inc()
}

// recordHedgeFailure records the failure of a second attempt, whose state this is. Unlike that of a first
// attempt, an answer that counts as a failure has not been observed when it was read.
func (w *forwarding) recordHedgeFailure(target *target, failed *failure) {
	w.releaseAttempt()
	w.recordFailure(target, failed, time.Since(w.sentAt))
	var status statusError
	if failed.reason == fault.ReasonBackendFailed && errors.As(failed.cause, &status) {
		w.observeAnswer(target, int(status))
	}
}

// cancelHedge ends the second attempt, if there is one, because the first one goes on or the request
// has ended.
func (w *forwarding) cancelHedge() {
	if w.hedging.FirstProgressed() != hedging.CancelHedge {
		return
	}
	h := w.hedge
	w.hedge = nil
	h.abandon()
	w.mayHaveRun = true
	h.second.releaseAttempt()
	h.second.endTrial()
	w.metrics.hedges.WithLabelValues(hedgeCanceled).Inc()
	w.log.Log(logging.HedgeCanceled, zap.String("request", w.request.Call.RequestID), zap.Int("attempt", h.second.number),
		zap.String("server", h.plan.chosen.target.ID), zap.Duration("after", time.Since(h.second.sentAt)))
}

// adoptHedge makes the second attempt the current one, after the first has ended, and waits until it
// has begun to answer. If its server falls silent too, a further attempt is made beside it.
func (w *forwarding) adoptHedge(ctx context.Context) (*exchange, *failure) {
	h := w.hedge
	w.hedge = nil
	h.detach()
	// The second attempt may still be sent, so that its request is not modified.
	request := *h.second.request
	w.attemptState, w.request = h.second.attemptState, &request
	target := h.plan.chosen.target
	outcome := w.awaitHedge(ctx, h)
	if outcome.failed != nil {
		h.cancel()
		w.metrics.hedges.WithLabelValues(hedgeFailed).Inc()
		w.recordHedgeFailure(target, outcome.failed)
		return nil, outcome.failed
	}
	w.metrics.hedges.WithLabelValues(hedgeTookOver).Inc()
	if !w.isStream() {
		w.cancelHedge()
	}
	outcome.started.connection.guard = w.newAttemptGuard(ctx, target, h.plan.chosen.Version)
	w.targets.recordVersion(target, outcome.started.head.Version)
	return outcome.started, nil
}

// awaitHedge waits for the outcome of a second attempt that has become the current one. It ends the
// attempt when a further one has begun to answer.
func (w *forwarding) awaitHedge(ctx context.Context, h *hedge) hedgeOutcome {
	guard := w.newAttemptGuard(ctx, h.plan.chosen.target, h.plan.chosen.Version)
	ticker := time.NewTicker(silenceCheckPeriod)
	defer ticker.Stop()
	for {
		var further chan hedgeOutcome
		if w.hedge != nil {
			further = w.hedge.outcome
		}
		select {
		case outcome := <-h.outcome:
			return outcome
		case outcome := <-further:
			further <- outcome
		case <-ticker.C:
		}
		if w.hedgeBegun() {
			h.abandon()
			return hedgeOutcome{failed: &failure{reason: failureReason(w.hedge.evidence, fault.ReasonOverdue), execution: fault.ExecutionUnknown, cause: w.hedge.evidence}}
		}
		evidence := guard.evidence(time.Since(w.sentAt), w.request.typicalWait)
		if evidence != nil && !errors.Is(evidence, errVersionDeadline) {
			w.considerHedge(ctx, h.plan.chosen.target, nil, evidence)
		}
	}
}
