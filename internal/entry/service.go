package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/attempt"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/protocol"
)

// callService routes a call to a plain service.
func (e *Entry) callService(ctx context.Context, writer http.ResponseWriter, request *http.Request, c *call) *fault.Refusal {
	name := chi.URLParam(request, "service")
	service, known := c.snapshot.Services[name]
	if !known {
		return fault.NotRun(fault.ReasonUnknownService, "no service is named "+name)
	}
	if !slices.Contains(c.tenant.Services, name) {
		return fault.NotRun(fault.ReasonForbidden, "the tenant may not use service "+name)
	}
	body, refusal := e.readBody(writer, request)
	if refusal != nil {
		return refusal
	}
	c.repeatable = c.repeatable && service.Repeatable
	release, refusal := e.limits.admit(c.tenant.Name, 0)
	if refusal != nil {
		return refusal
	}
	defer release()
	work := &protocol.Call{
		Service: name, Method: request.Method, ContentType: request.Header.Get("Content-Type"), Body: body,
		Path: servicePath(request, name),
	}
	answer, refusal := e.runCall(ctx, c, work)
	if refusal != nil {
		return refusal
	}
	c.headerWritten = true
	if answer.ContentType != "" {
		writer.Header().Set("Content-Type", answer.ContentType)
	}
	writer.WriteHeader(answer.Status)
	_, _ = writer.Write(answer.Body)
	return nil
}

// servicePath returns the path and query after /apps/{service}.
func servicePath(request *http.Request, service string) string {
	path := strings.TrimPrefix(request.URL.EscapedPath(), "/apps/"+service)
	if path == "" {
		path = "/"
	}
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	return path
}

// runCall runs attempts at a call until it is answered, refused, or must not be retried.
func (e *Entry) runCall(ctx context.Context, c *call, work *protocol.Call) (*protocol.Answer, *fault.Refusal) {
	required := requirements{service: work.Service}
	if !c.repeatable && c.key != "" {
		required.idempotencyKey = c.tenant.Name + "/" + c.key
	}
	mayHaveRun := false
	for attempts := 1; ; attempts++ {
		chosen, found := e.router.choose(required)
		if !found {
			refusal := fault.NotRun(fault.ReasonNoReplica, "no back end can serve the call now")
			refusal.RetryAfter = retryAfterNoReplica
			return nil, withExecution(refusal, mayHaveRun)
		}
		answer, refusal := e.attemptCall(ctx, c, work, chosen)
		if refusal == nil {
			return answer, nil
		}
		mayHaveRun = mayHaveRun || refusal.Execution == fault.ExecutionUnknown
		if mayHaveRun && !c.repeatable {
			e.node.Log.Log(logging.OutcomeUnknown, zap.String("request", c.id), zap.String("reason", string(refusal.Reason)))
			return nil, refusal
		}
		if ctx.Err() != nil || attempts >= e.options.MaximumAttempts || !e.metrics.retries.withdraw() {
			return nil, withExecution(refusal, mayHaveRun)
		}
		required.excluded = append(required.excluded, chosen.target)
		e.metrics.retried.Inc()
		e.node.Log.Log(logging.RequestRetried, zap.String("request", c.id), zap.String("reason", string(refusal.Reason)))
	}
}

func withExecution(refusal *fault.Refusal, mayHaveRun bool) *fault.Refusal {
	if mayHaveRun {
		refusal.Execution, refusal.RetryAfter = fault.ExecutionUnknown, 0
	}
	return refusal
}

// attemptCall runs one attempt. The refusal states whether the attempt may have run.
func (e *Entry) attemptCall(ctx context.Context, c *call, work *protocol.Call, chosen choice) (*protocol.Answer, *fault.Refusal) {
	remaining, refusal := timeRemaining(ctx)
	if refusal != nil {
		return nil, refusal
	}
	submit := protocol.Submit{
		RequestID: c.id, Tenant: c.tenant.Name, Priority: c.tenant.Priority, Repeatable: c.repeatable,
		Key: c.key, RemainingMilliseconds: remaining.Milliseconds(), Call: work,
	}
	const bufferSize = 2
	started, err := e.replicas.submit(chosen.target, submit, bufferSize)
	if err != nil {
		var notSent *fault.Refusal
		errors.As(err, &notSent)
		return nil, notSent
	}
	defer started.abandon()
	select {
	case event := <-started.events:
		return finishAttempt(started, event)
	case <-started.link.Done():
	case <-ctx.Done():
		return nil, e.abandonCall(ctx, started)
	}
	select {
	case event := <-started.events:
		return finishAttempt(started, event)
	default:
	}
	started.end(false)
	return e.resolveCall(ctx, c, started)
}

// finishAttempt ends an attempt with its last event, and returns the answer or the refusal.
func finishAttempt(started *runningAttempt, event protocol.Event) (*protocol.Answer, *fault.Refusal) {
	switch {
	case event.Kind == protocol.Answered && event.Answer != nil:
		started.end(true)
		return event.Answer, nil
	case event.Kind == protocol.Refused:
		started.end(event.Reason != fault.ReasonBackendFailed)
		return nil, fault.NotRun(event.Reason, event.Detail)
	}
	started.end(false)
	return nil, fault.Unknown(event.Reason, event.Detail)
}

// cancelConfirmTimeout is the timeout for the back end's confirmation that a cancelled call did not run.
const cancelConfirmTimeout = 50 * time.Millisecond

// abandonCall cancels a call whose deadline has expired or whose caller has disconnected.
func (e *Entry) abandonCall(ctx context.Context, started *runningAttempt) *fault.Refusal {
	started.cancel()
	defer started.end(true)
	refusal := contextRefusal(ctx)
	select {
	case event := <-started.events:
		if event.Kind == protocol.Refused {
			refusal.Execution = fault.ExecutionNotRun
		}
	case <-time.After(cancelConfirmTimeout):
	}
	return refusal
}

// resolveCall inquires about the outcome of a call whose link was lost.
func (e *Entry) resolveCall(ctx context.Context, c *call, started *runningAttempt) (*protocol.Answer, *fault.Refusal) {
	lost := fault.Unknown(fault.ReasonLinkLost, "the link to the back end was lost")
	if c.repeatable {
		return nil, lost
	}
	resolved := started.inquire(ctx, true)
	switch {
	case resolved.Outcome == attempt.NotRun:
		lost.Execution = fault.ExecutionNotRun
	case resolved.Answer != nil:
		return resolved.Answer, nil
	}
	return nil, lost
}
