package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/forward"
	"pinevane.example/pinevane/internal/logging"
)

// unansweredCause is why a caller's connection ends without a complete response.
type unansweredCause string

// The causes, as label values.
const (
	// causeAborted is a response that can't be continued.
	causeAborted unansweredCause = "aborted"
	// causeCallerLeft is a caller that disconnected.
	causeCallerLeft unansweredCause = "caller left"
	// causePanic is a panic after the response has begun.
	causePanic unansweredCause = "panic"
	// causeStop is a response that ends because the process stops.
	causeStop unansweredCause = "stop"
	// causeWriteTimeout is a caller that has stopped reading its response.
	causeWriteTimeout unansweredCause = "write timeout"
)

// recordUnanswered logs and counts a request whose connection ends without a complete response.
func (g *Gateway) recordUnanswered(request *forward.Request, cause unansweredCause, fields ...zap.Field) {
	g.metrics.unanswered.WithLabelValues(string(cause)).Inc()
	route := ""
	if request.Route != nil {
		route = request.Route.Name
	}
	g.log.Log(logging.RequestUnanswered, append(fields, zap.String("request", request.Call.RequestID), zap.String("route", route),
		zap.String("cause", string(cause)), zap.Duration("took", time.Since(request.Arrived)))...)
}

// endPanic ends a handler that has panicked. It is deferred. An intended abort closes the connection.
// After any other panic the caller gets a failure, unless a response has begun, which must not look
// complete.
func (g *Gateway) endPanic(ctx context.Context, caller *callerWriter, connection *callerConnection, request *forward.Request) {
	reason := recover()
	if reason == nil {
		return
	}
	if caller.headSent {
		connection.resetUnframed()
	}
	if err, isError := reason.(error); isError && errors.Is(err, http.ErrAbortHandler) {
		g.endUnanswered(connection, request, abortCause(ctx, connection))
		panic(http.ErrAbortHandler)
	}
	g.metrics.panics.Inc()
	g.log.Log(logging.HandlerPanicked, zap.String("request", request.Call.RequestID), zap.String("panic", fmt.Sprint(reason)),
		zap.ByteString("stack", debug.Stack()))
	if caller.headSent {
		g.endUnanswered(connection, request, causePanic)
		panic(http.ErrAbortHandler)
	}
	// The header may hold fields of a response that was not sent.
	clear(caller.Header())
	caller.Header().Set("Connection", "close")
	g.refuse(caller, request, fault.Unknown(fault.ReasonInternal, "the request's handler failed"))
}

// endUnanswered records that a connection ends without a complete response, unless that has been
// recorded.
func (g *Gateway) endUnanswered(connection *callerConnection, request *forward.Request, cause unansweredCause) {
	if connection.end() {
		g.recordUnanswered(request, cause)
	}
}

// recordUnwritten records a response that could not be written completely and whose handler did not
// end because of that: the HTTP library writes the end of a response after its handler.
func (g *Gateway) recordUnwritten(connection *callerConnection) {
	if request := connection.openRequest(); request != nil {
		g.endUnanswered(connection, request, writeCause(connection.writeFailure()))
	}
}

// abortCause returns why a handler ends without a complete response. A failed write comes first,
// because it cancels the context too.
func abortCause(ctx context.Context, connection *callerConnection) unansweredCause {
	if err := connection.writeFailure(); err != nil {
		return writeCause(err)
	}
	if errors.Is(context.Cause(ctx), forward.ErrStopping) {
		return causeStop
	}
	if ctx.Err() != nil || connection.callerLeft() {
		return causeCallerLeft
	}
	return causeAborted
}

// writeCause returns why a write to a caller has failed.
func writeCause(err error) unansweredCause {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return causeWriteTimeout
	}
	return causeCallerLeft
}
