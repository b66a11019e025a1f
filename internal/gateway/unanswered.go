package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
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
	// causeStop is the end of the process while the request was open.
	causeStop unansweredCause = "stop"
)

// openRequests are the requests whose handlers run.
type openRequests struct {
	mutex    sync.Mutex
	requests map[*forward.Request]struct{}
}

func newOpenRequests() *openRequests {
	return &openRequests{requests: map[*forward.Request]struct{}{}}
}

func (o *openRequests) add(request *forward.Request) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.requests[request] = struct{}{}
}

func (o *openRequests) remove(request *forward.Request) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.requests, request)
}

func (o *openRequests) list() []*forward.Request {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	listed := make([]*forward.Request, 0, len(o.requests))
	for request := range o.requests {
		listed = append(listed, request)
	}
	return listed
}

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
func (g *Gateway) reportPanic(request *forward.Request) {
	reason := recover()
	if reason == nil {
		return
	}
	if err, isError := reason.(error); isError && errors.Is(err, http.ErrAbortHandler) {
		g.recordUnanswered(request, causeAborted)
		panic(http.ErrAbortHandler)
	}
	g.log.Log(logging.HandlerPanicked, zap.String("request", request.Call.RequestID), zap.String("panic", fmt.Sprint(reason)),
		zap.ByteString("stack", debug.Stack()))
	g.recordUnanswered(request, causePanic)
	panic(http.ErrAbortHandler)
}
