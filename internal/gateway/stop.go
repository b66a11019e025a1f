package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/forward"
	"pinevane.example/pinevane/internal/logging"
)

// Delays of a graceful stop, counted from the stop signal.
const (
	// closeIdleDelay is the time after which the callers' idle connections are closed, so that their
	// next requests go to another entry.
	closeIdleDelay = 2200 * time.Millisecond
	// lastStreamDelay is how long streams are taken whose deadline is after the stop. One that is still
	// open when the grace period ends can only be cut, which callers expect only if they sent it within
	// 3 s of the signal. The rest covers the time until the signal is handled.
	// Other requests are taken, but their answers are only passed on once they are complete.
	lastStreamDelay = 2900 * time.Millisecond
	// readinessDelay is how long the platform may still send new connections after readiness is off.
	readinessDelay   = 3200 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
)

// Margins at the end of the grace period. A short grace period shortens them, so that streams that
// outlast it are cut in its last sixth.
const (
	// answerMargin is when open requests are ended: it leaves 0.4 s for their answers to be written.
	answerMargin         = 700 * time.Millisecond
	answerMarginFraction = 1.0 / 7
	// exitMargin is reserved for the exit of the process.
	exitMargin         = 300 * time.Millisecond
	exitMarginFraction = 1.0 / 16
	// minServeTime is the least time until the end of open requests for which a new one is taken.
	minServeTime = 250 * time.Millisecond
)

// stopPlan holds the times of a graceful stop.
type stopPlan struct {
	signaled time.Time
	// answerBy is when requests that are still open are ended with a refusal.
	answerBy time.Time
	// lastDeadline limits the deadlines of requests that arrive after the signal. It is after answerBy,
	// so that their ending tells of the stop.
	lastDeadline time.Time
	// exitBy is when the process exits even if callers' connections are still open.
	exitBy time.Time
}

func newStopPlan(signaled time.Time, grace time.Duration) *stopPlan {
	margin := func(longest time.Duration, fraction float64) time.Duration {
		return min(longest, time.Duration(fraction*float64(grace)))
	}
	answerBy := signaled.Add(grace - margin(answerMargin, answerMarginFraction))
	exitBy := signaled.Add(grace - margin(exitMargin, exitMarginFraction))
	return &stopPlan{signaled: signaled, answerBy: answerBy, lastDeadline: answerBy.Add(exitBy.Sub(answerBy) / 2), exitBy: exitBy}
}

// admits reports whether a request is still taken. Its route and deadline may not be known yet.
func (p *stopPlan) admits(request *forward.Request, now time.Time) bool {
	since := now.Sub(p.signaled)
	if since > readinessDelay || p.answerBy.Sub(now) < minServeTime {
		return false
	}
	isStream := request.Route != nil && request.Route.Kind == fleet.Streaming
	return !isStream || !p.mayCut(request, now)
}

// mayCut reports whether the stop might cut the answer to a request so late that its caller does not expect that.
func (p *stopPlan) mayCut(request *forward.Request, now time.Time) bool {
	return now.Sub(p.signaled) > lastStreamDelay && request.Deadline.After(p.answerBy)
}

// stopping reports whether the stop signal has arrived.
func (g *Gateway) stopping() bool { return g.stop.Load() != nil }

// limitToStop refuses a request that arrives too late during a stop, and otherwise moves its deadline
// to before the end of the process.
func (g *Gateway) limitToStop(request *forward.Request) *fault.Refusal {
	plan := g.stop.Load()
	if plan == nil {
		return nil
	}
	if !plan.admits(request, time.Now()) {
		return forward.StoppingRefusal(false)
	}
	request.HoldAnswer = plan.mayCut(request, time.Now())
	if request.Deadline.After(plan.lastDeadline) {
		request.Deadline = plan.lastDeadline
	}
	return nil
}

// requestContext returns the context of a request, which is also canceled when a stop ends the open
// requests, and a function that releases it.
func (g *Gateway) requestContext(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	detach := context.AfterFunc(g.serving, func() { cancel(context.Cause(g.serving)) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// drain stops in this order: readiness goes off, idle connections are closed, new requests are
// refused, open ones are ended with refusals, the listener is closed, and the callers' connections
// are awaited until their responses have been written. It returns as soon as no connection is left.
func (g *Gateway) drain(plan *stopPlan) {
	callers := g.callers
	g.stop.Store(plan)
	g.log.Log(logging.ProcessStopping, zap.Int("open", callers.openRequests()))
	ending := time.AfterFunc(time.Until(plan.answerBy), func() { g.endRequests(forward.ErrStopping) })
	defer ending.Stop()
	for now := time.Now(); now.Before(plan.answerBy); now = time.Now() {
		if now.Sub(plan.signaled) > closeIdleDelay {
			callers.closeIdle()
		}
		if now.Sub(plan.signaled) > readinessDelay && !callers.anyActive() {
			break
		}
		time.Sleep(stopPollInterval)
	}
	callers.stopAccepting()
	for time.Now().Before(plan.exitBy) {
		callers.closeUnused()
		if callers.count() == 0 {
			return
		}
		time.Sleep(stopPollInterval)
	}
	open := callers.endRequests()
	g.log.Log(logging.ProcessDraining, zap.Int("open", len(open)))
	for _, request := range open {
		g.recordUnanswered(request, causeStop)
	}
}
