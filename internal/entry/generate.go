package entry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/attempt"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/protocol"
)

// retryAfterNoReplica is the wait told to callers while no back end can serve.
const retryAfterNoReplica = time.Second

// generation is a request for a model on its way through its attempts.
type generation struct {
	entry   *Entry
	call    *call
	request generationRequest
	out     answer
	// pinned is the version of the tokens received so far.
	pinned string
	next   int
	tried  []*replica
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun bool
}

// generate runs a request until its answer is whole, it is refused, or it may
// not be tried again.
func (e *Entry) generate(ctx context.Context, c *call, wanted generationRequest, out answer) *fault.Refusal {
	g := &generation{entry: e, call: c, request: wanted, out: out}
	for attempts := 1; ; attempts++ {
		chosen, found := e.router.choose(need{model: wanted.model, adapter: wanted.adapter, version: g.pinned, prefix: prefixOf(wanted.prompt), excluded: g.tried})
		if !found {
			if attempts < e.options.MaximumAttempts && g.startOver() {
				continue
			}
			return g.giveUp()
		}
		done, refusal := g.attempt(ctx, chosen)
		if done {
			return refusal
		}
		if attempts >= e.options.MaximumAttempts || !e.metrics.retries.take() {
			g.execution(refusal)
			return refusal
		}
		g.tried = append(g.tried, chosen.target)
		e.metrics.retried.Inc()
		e.node.Log.Log(logging.RequestRetried, zap.String("request", c.id), zap.String("reason", string(refusal.Reason)))
	}
}

// startOver drops the pinned version when the caller has seen nothing of it.
func (g *generation) startOver() bool {
	if g.pinned == "" || !g.out.restart() {
		return false
	}
	g.pinned, g.next, g.tried = "", 0, nil
	return true
}

// giveUp refuses a request that no back end can take.
func (g *generation) giveUp() *fault.Refusal {
	refusal := fault.NotRun(fault.ReasonNoReplica, "no back end can serve the model now")
	refusal.RetryAfter = retryAfterNoReplica
	g.execution(refusal)
	return refusal
}

// execution corrects what a refusal says of the whole request.
func (g *generation) execution(refusal *fault.Refusal) {
	if g.mayHaveRun {
		refusal.Execution = fault.ExecutionUnknown
	}
}

// attempt runs one attempt. When done is false the request may be tried again,
// from where it stopped.
func (g *generation) attempt(ctx context.Context, chosen choice) (done bool, refusal *fault.Refusal) {
	remaining, refusal := remainingTime(ctx)
	if refusal != nil {
		g.execution(refusal)
		return true, refusal
	}
	if g.next > 0 {
		g.entry.node.Log.Log(logging.StreamResumed, zap.String("request", g.call.id), zap.Int("from", g.next), zap.String("back_end", chosen.target.member.ID))
	}
	const spareEvents = 4
	work := protocol.Submit{
		RequestID: g.call.id, Tenant: g.call.tenant.Name, Priority: g.call.tenant.Priority,
		Repeatable: g.call.repeatable, Key: g.call.key, RemainingMilliseconds: remaining.Milliseconds(),
		Generate: &protocol.Generate{
			Model: g.request.model, Version: chosen.version, Adapter: g.request.adapter,
			Prompt: g.request.prompt, MaximumTokens: g.request.maximumTokens, ResumeFrom: g.next,
		},
	}
	started, err := g.entry.replicas.submit(chosen.target, work, eventDepth(g.request.maximumTokens-g.next)+spareEvents)
	if err != nil {
		var notSent *fault.Refusal
		errors.As(err, &notSent)
		return false, notSent
	}
	return g.follow(ctx, chosen, started)
}

// maximumEventDepth bounds the events of one attempt that wait for the caller.
// A slower caller's attempt is cancelled and resumed where the caller stands.
const maximumEventDepth = 4 << 10

func eventDepth(tokens int) int { return min(tokens, maximumEventDepth) }

// remainingTime returns what is left of the deadline.
func remainingTime(ctx context.Context) (time.Duration, *fault.Refusal) {
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	if ctx.Err() != nil || remaining < time.Millisecond {
		return 0, fault.NotRun(fault.ReasonDeadline, "the request's time is over")
	}
	return remaining, nil
}

// follow receives an attempt's events until it ends, its link is lost, the
// caller hangs up, or the time is over.
func (g *generation) follow(ctx context.Context, chosen choice, started *flight) (done bool, refusal *fault.Refusal) {
	for {
		select {
		case event := <-started.events:
			done, refusal, ended := g.take(started, chosen, event)
			if ended {
				return done, refusal
			}
		case <-started.link.Done():
			return g.linkLost(ctx, chosen, started)
		case <-ctx.Done():
			started.cancel()
			started.end(true)
			g.mayHaveRun = true
			return true, deadlineRefusal(ctx)
		}
	}
}

func deadlineRefusal(ctx context.Context) *fault.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.Unknown(fault.ReasonDeadline, "the request's time is over")
	}
	return fault.Unknown(fault.ReasonCanceled, "the caller hung up")
}

// take handles one event; ended tells that it was the attempt's last.
func (g *generation) take(started *flight, chosen choice, event protocol.Event) (done bool, refusal *fault.Refusal, ended bool) {
	switch event.Kind {
	case protocol.Token:
		if event.Index != g.next || event.Version != chosen.version {
			started.cancel()
			started.end(false)
			done, refusal = g.failed(chosen, fault.Unknown(fault.ReasonWrongVersion, "the back end's answer has a gap"))
			return done, refusal, true
		}
		g.pinned = chosen.version
		g.next++
		if err := g.out.token(event.Token, event.Version); err != nil {
			started.cancel()
			started.end(true)
			return true, fault.Unknown(fault.ReasonCanceled, "the caller does not read"), true
		}
		return false, nil, false
	case protocol.Finished:
		if event.Index != g.next {
			started.end(false)
			done, refusal = g.failed(chosen, fault.Unknown(fault.ReasonWrongVersion, "the back end's answer ends early"))
			return done, refusal, true
		}
		started.end(true)
		if err := g.out.finish(event.Finish, event.Version); err != nil {
			return true, fault.Unknown(fault.ReasonCanceled, "the caller does not read"), true
		}
		return true, nil, true
	case protocol.Refused:
		started.end(event.Reason != fault.ReasonBackendFailed)
		return false, fault.NotRun(event.Reason, event.Detail), true
	}
	started.end(false)
	done, refusal = g.failed(chosen, fault.Unknown(event.Reason, event.Detail))
	return done, refusal, true
}

// failed ends an attempt that may have run: a request that may not be repeated
// is over.
func (g *generation) failed(chosen choice, refusal *fault.Refusal) (bool, *fault.Refusal) {
	g.mayHaveRun = true
	if g.next > 0 {
		g.pinned = chosen.version
	}
	if !g.call.repeatable {
		g.entry.node.Log.Log(logging.OutcomeUnknown, zap.String("request", g.call.id), zap.String("reason", string(refusal.Reason)))
		return true, refusal
	}
	return false, refusal
}

// linkLost takes the events that still came, then asks what became of an
// attempt that may not be repeated.
func (g *generation) linkLost(ctx context.Context, chosen choice, started *flight) (bool, *fault.Refusal) {
	for {
		select {
		case event := <-started.events:
			done, refusal, ended := g.take(started, chosen, event)
			if ended {
				return done, refusal
			}
			continue
		default:
		}
		break
	}
	started.end(false)
	lost := fault.Unknown(fault.ReasonLinkLost, "the link to the back end was lost")
	if g.next == 0 && !g.call.repeatable && started.inquire(ctx).Outcome == attempt.NotRun {
		return false, fault.NotRun(fault.ReasonLinkLost, lost.Detail)
	}
	return g.failed(chosen, lost)
}
