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
	"pinevane.example/pinevane/internal/waiting"
)

// retryAfterNoReplica is the Retry-After time while no back end can serve a request.
const retryAfterNoReplica = time.Second

// generation is a request to a model with the state of its attempts.
type generation struct {
	entry   *Entry
	call    *call
	request generationRequest
	out     answerWriter
	// pinnedVersion is the version of the tokens received so far, nextIndex the index of the next.
	pinnedVersion string
	nextIndex     int
	tried         []*replica
	// mayHaveRun is set once an attempt has ended without confirmation that it did not run.
	mayHaveRun bool
	// overflowed is set while the rest of an answer that did not fit into the buffer is to be requested.
	overflowed bool
}

// generate runs attempts at a request until its answer is complete, it is refused, or it must not
// be retried.
func (e *Entry) generate(ctx context.Context, c *call, parsedRequest generationRequest, out answerWriter) *fault.Refusal {
	g := &generation{entry: e, call: c, request: parsedRequest, out: out}
	for attempts := 1; ; attempts++ {
		chosen, found := e.router.choose(g.requirements())
		if !found {
			if attempts < e.options.MaximumAttempts && g.restart() {
				continue
			}
			if chosen, found = g.awaitReplica(ctx); !found {
				return g.refuseNoReplica()
			}
		}
		done, refusal := g.attempt(ctx, chosen)
		if done {
			return refusal
		}
		if g.overflowed {
			g.overflowed = false
			attempts--
			continue
		}
		if attempts >= e.options.MaximumAttempts || !e.metrics.retries.withdraw() {
			g.correctExecution(refusal)
			return refusal
		}
		g.tried = append(g.tried, chosen.target)
		e.metrics.retried.Inc()
		e.node.Log.Log(logging.RequestRetried, zap.String("request", c.id), zap.String("reason", string(refusal.Reason)))
	}
}

// requirements returns what a back end must offer to get the next attempt.
func (g *generation) requirements() requirements {
	return requirements{
		model: g.request.model, adapter: g.request.adapter, version: g.pinnedVersion,
		prefix: promptPrefix(g.request.prompt), excluded: g.tried,
	}
}

// Wait for a back end that can continue a stream whose caller has received some of it, and can't send the
// request again without losing that.
const (
	// maxReplicaWait is longer than redialInterval with its jitter and the handshake of a link.
	maxReplicaWait      = 2 * time.Second
	replicaPollInterval = 50 * time.Millisecond
)

// awaitReplica waits for a back end that can continue a stream, which may be one that was tried. It gives
// up at once if the caller has received nothing.
func (g *generation) awaitReplica(ctx context.Context) (choice, bool) {
	if g.out.reset() {
		return choice{}, false
	}
	g.tried = nil
	for deadline := time.Now().Add(maxReplicaWait); time.Now().Before(deadline) && waiting.For(ctx, replicaPollInterval); {
		if chosen, found := g.entry.router.choose(g.requirements()); found {
			return chosen, true
		}
	}
	return choice{}, false
}

// restart drops the pinned version if the caller has received nothing of it.
func (g *generation) restart() bool {
	if g.pinnedVersion == "" || !g.out.reset() {
		return false
	}
	g.pinnedVersion, g.nextIndex, g.tried = "", 0, nil
	return true
}

// refuseNoReplica refuses a request that no back end can serve.
func (g *generation) refuseNoReplica() *fault.Refusal {
	refusal := fault.NotRun(fault.ReasonNoReplica, "no back end can serve the model now")
	refusal.RetryAfter = retryAfterNoReplica
	g.correctExecution(refusal)
	return refusal
}

// correctExecution sets a refusal's execution to unknown if any attempt may have run.
func (g *generation) correctExecution(refusal *fault.Refusal) {
	if g.mayHaveRun {
		refusal.Execution, refusal.RetryAfter = fault.ExecutionUnknown, 0
	}
}

// attempt runs one attempt. If done is false the request may be retried from where it stopped.
func (g *generation) attempt(ctx context.Context, chosen choice) (done bool, refusal *fault.Refusal) {
	remaining, refusal := timeRemaining(ctx)
	if refusal != nil {
		g.correctExecution(refusal)
		return true, refusal
	}
	if g.nextIndex > 0 {
		g.entry.node.Log.Log(logging.StreamResumed, zap.String("request", g.call.id), zap.Int("from", g.nextIndex), zap.String("back_end", chosen.target.member.ID))
	}
	const extraEvents = 4
	work := protocol.Submit{
		RequestID: g.call.id, Tenant: g.call.tenant.Name, Priority: g.call.tenant.Priority,
		Repeatable: g.call.repeatable, Key: g.call.key, RemainingMilliseconds: remaining.Milliseconds(),
		Generate: &protocol.Generate{
			Model: g.request.model, Version: chosen.version, Adapter: g.request.adapter,
			Prompt: g.request.prompt, MaximumTokens: g.request.maxTokens, ResumeFrom: g.nextIndex,
		},
	}
	started, err := g.entry.replicas.submit(chosen.target, work, eventBufferSize(g.request.maxTokens-g.nextIndex)+extraEvents)
	if err != nil {
		var notSent *fault.Refusal
		errors.As(err, &notSent)
		return false, notSent
	}
	defer started.abandon()
	return g.awaitEvents(ctx, chosen, started)
}

// maxBufferedEvents bounds the events of one attempt that are buffered for the caller. If a
// slow caller fills the buffer, the attempt's further events are dropped; once the caller has read the
// buffered ones, the attempt is cancelled and resumed at the first missing token.
const maxBufferedEvents = 4 << 10

func eventBufferSize(tokens int) int { return min(max(tokens, 0), maxBufferedEvents) }

// timeRemaining returns the time remaining until the deadline.
func timeRemaining(ctx context.Context) (time.Duration, *fault.Refusal) {
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	if errors.Is(context.Cause(ctx), errStopping) {
		return 0, fault.NotRun(fault.ReasonLeaving, errStopping.Error())
	}
	if ctx.Err() != nil || remaining < time.Millisecond {
		return 0, fault.NotRun(fault.ReasonDeadline, "the request's time is over")
	}
	return remaining, nil
}

// awaitEvents handles an attempt's events until the attempt ends, its link is lost, the caller
// disconnects, or the deadline expires.
func (g *generation) awaitEvents(ctx context.Context, chosen choice, started *runningAttempt) (done bool, refusal *fault.Refusal) {
	for {
		select {
		case event, open := <-started.events:
			if !open {
				return g.resumeOverflowed(chosen, started)
			}
			done, refusal, ended := g.handleEvent(started, chosen, event)
			if ended {
				return done, refusal
			}
		case <-started.link.Done():
			return g.linkLost(ctx, chosen, started)
		case <-ctx.Done():
			started.cancel()
			started.end(true)
			g.mayHaveRun = true
			return true, contextRefusal(ctx)
		}
	}
}

// resumeOverflowed ends an attempt whose tokens came faster than the caller reads, and did not fit into the
// buffer. The rest is requested again, which counts as no failure of the back end and as no attempt:
// the caller has received all that was buffered.
func (g *generation) resumeOverflowed(chosen choice, started *runningAttempt) (done bool, refusal *fault.Refusal) {
	started.cancel()
	started.end(true)
	done, refusal = g.attemptFailed(chosen, fault.Unknown(fault.ReasonCanceled, "the caller reads too slowly"))
	g.overflowed = !done
	return done, refusal
}

// contextRefusal returns the refusal of a request whose context has ended.
func contextRefusal(ctx context.Context) *fault.Refusal {
	if errors.Is(context.Cause(ctx), errStopping) {
		return fault.Unknown(fault.ReasonLeaving, errStopping.Error())
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.Unknown(fault.ReasonDeadline, "the request's time is over")
	}
	return fault.Unknown(fault.ReasonCanceled, "the caller hung up")
}

// handleEvent handles one event. done is true if the request needs no further attempt, ended if the event
// was the attempt's last.
func (g *generation) handleEvent(started *runningAttempt, chosen choice, event protocol.Event) (done bool, refusal *fault.Refusal, ended bool) {
	switch event.Kind {
	case protocol.Token:
		if event.Index != g.nextIndex || event.Version != chosen.version {
			started.cancel()
			started.end(false)
			done, refusal = g.attemptFailed(chosen, fault.Unknown(fault.ReasonWrongVersion, "the back end's answer has a gap"))
			return done, refusal, true
		}
		g.pinnedVersion = chosen.version
		g.nextIndex++
		if err := g.out.token(event.Token, event.Version); err != nil {
			started.cancel()
			started.end(true)
			return true, fault.Unknown(fault.ReasonCanceled, "the caller does not read"), true
		}
		return false, nil, false
	case protocol.Finished:
		if event.Index != g.nextIndex {
			started.end(false)
			done, refusal = g.attemptFailed(chosen, fault.Unknown(fault.ReasonWrongVersion, "the back end's answer ends early"))
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
	done, refusal = g.attemptFailed(chosen, fault.Unknown(event.Reason, event.Detail))
	return done, refusal, true
}

// attemptFailed records a failed attempt that may have run. A request that is not repeatable is
// then done.
func (g *generation) attemptFailed(chosen choice, refusal *fault.Refusal) (bool, *fault.Refusal) {
	g.mayHaveRun = true
	if g.nextIndex > 0 {
		g.pinnedVersion = chosen.version
	}
	if !g.call.repeatable {
		g.entry.node.Log.Log(logging.OutcomeUnknown, zap.String("request", g.call.id), zap.String("reason", string(refusal.Reason)))
		return true, refusal
	}
	return false, refusal
}

// linkLost handles the events that arrived before the link was lost. For a request that is not
// repeatable it then inquires about the attempt's outcome.
func (g *generation) linkLost(ctx context.Context, chosen choice, started *runningAttempt) (bool, *fault.Refusal) {
	for {
		select {
		case event, open := <-started.events:
			if !open {
				return g.resumeOverflowed(chosen, started)
			}
			done, refusal, ended := g.handleEvent(started, chosen, event)
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
	if g.nextIndex == 0 && !g.call.repeatable && started.inquire(ctx, false).Outcome == attempt.NotRun {
		return false, fault.NotRun(fault.ReasonLinkLost, lost.Detail)
	}
	return g.attemptFailed(chosen, lost)
}
