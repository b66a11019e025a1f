package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/forward"
	"pinevane.example/pinevane/internal/logging"
)

// unansweredCause is why a caller's connection ends without a complete response.
type unansweredCause string

// The causes, as label values.
const (
	// causeAborted is a response that can't be continued, or a caller that disconnected while it sent
	// its body.
	causeAborted unansweredCause = "aborted"
	causePanic   unansweredCause = "panic"
	// causeStop is a response that ends because the process stops.
	causeStop unansweredCause = "stop"
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

// reportPanic records the end of a handler by a panic and panics again, so that the connection is
// closed. It is deferred.
func (g *Gateway) reportPanic(ctx context.Context, connection *callerConnection, request *forward.Request) {
	reason := recover()
	if reason == nil {
		return
	}
	if err, isError := reason.(error); isError && errors.Is(err, http.ErrAbortHandler) {
		if connection.end() {
			g.recordUnanswered(request, abortCause(ctx))
		}
		panic(http.ErrAbortHandler)
	}
	g.log.Log(logging.HandlerPanicked, zap.String("request", request.Call.RequestID), zap.String("panic", fmt.Sprint(reason)),
		zap.ByteString("stack", debug.Stack()))
	g.recordUnanswered(request, causePanic)
	panic(http.ErrAbortHandler)
}

// abortCause returns why a handler ends without a complete response.
func abortCause(ctx context.Context) unansweredCause {
	if errors.Is(context.Cause(ctx), forward.ErrStopping) {
		return causeStop
	}
	return causeAborted
}
