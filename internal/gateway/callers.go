package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/quarantine"
	"pinevane.example/pinevane/internal/bytequota"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/forward"
	"pinevane.example/pinevane/internal/logging"
)

// Retry-After times of refusals.
const (
	unconfiguredRetry = 500 * time.Millisecond
	// memoryRetry is about the duration of a response, after which the memory it held is free.
	memoryRetry = 500 * time.Millisecond
)

// serve handles one request of a caller.
func (g *Gateway) serve(writer http.ResponseWriter, incoming *http.Request) {
	ctx, release := g.requestContext(incoming.Context())
	defer release()
	incoming = incoming.WithContext(ctx)
	caller := newCallerWriter(writer, g.chunkTimeout)
	caller.lastResponse = g.stopping
	defer caller.extendDeadline()
	request := &forward.Request{Method: incoming.Method, Target: incoming.RequestURI, Host: incoming.Host, Header: incoming.Header, Arrived: time.Now()}
	connection := g.callers.from(incoming.RemoteAddr)
	connection.begin(request)
	connection.setUnframed(!incoming.ProtoAtLeast(1, 1))
	defer connection.handled()
	defer func() { request.Memory.Close() }()
	defer g.endPanic(ctx, caller, connection, request)
	refusal := g.readRequest(writer, incoming, request)
	if refusal == nil {
		refusal = g.forward(ctx, caller, request)
	}
	if refusal != nil {
		g.refuse(caller, request, refusal)
	}
}

// readRequest reads an incoming request and resolves where it goes. Beside a refusal, the fields are
// set that are known so far.
func (g *Gateway) readRequest(writer http.ResponseWriter, incoming *http.Request, request *forward.Request) *fault.Refusal {
	call, err := g.dialect.ReadCall(incoming.Header)
	request.Call = call
	if err != nil {
		return fault.NotRun(fault.ReasonBadRequest, err.Error())
	}
	if !strings.HasPrefix(request.Target, "/") || strings.HasPrefix(request.Target, "//") {
		return fault.NotRun(fault.ReasonUnknownService, "the request's target is no path")
	}
	if refusal := g.limitToStop(request); refusal != nil {
		return refusal
	}
	configuration := g.view().Configuration
	if configuration == nil {
		refusal := fault.NotRun(fault.ReasonNotReady, "no configuration is known yet")
		refusal.RetryAfter = forward.SpreadRetryAfter(unconfiguredRetry, call.Deadline)
		return refusal
	}
	if refusal := admit(configuration, request); refusal != nil {
		return refusal
	}
	limit := request.Route.Timeout
	if call.Deadline > 0 && (limit == 0 || call.Deadline < limit) {
		limit = call.Deadline
	}
	request.Deadline = request.Arrived.Add(limit)
	if refusal := g.limitToStop(request); refusal != nil {
		return refusal
	}
	hasher := quarantine.NewHasher(callerIdentity(request), request.Host, request.Target)
	request.Memory = g.memory.Open(callerIdentity(request))
	if refusal := readBody(writer, incoming, configuration.Limits, request, hasher); refusal != nil {
		return refusal
	}
	request.Identity.Fingerprint = hasher.Fingerprint()
	request.Identity.SetPrompt(call.Model, call.SharedParts)
	// The stop signal may have arrived while the body was read.
	return g.limitToStop(request)
}

// callerIdentity identifies the caller in a request's fingerprint: by its tenant, or by its key where
// keys are not checked.
func callerIdentity(request *forward.Request) string {
	if request.Tenant != "" {
		return request.Tenant
	}
	return request.Call.Key
}

// admit resolves the request's route and the tenant of its key.
func admit(configuration *fleet.Configuration, request *forward.Request) *fault.Refusal {
	path, _, _ := strings.Cut(request.Target, "?")
	route, found := configuration.RouteOf(request.Host, path)
	if !found {
		return fault.NotRun(fault.ReasonUnknownService, "no route leads there")
	}
	request.Route, request.Configuration = route, configuration
	request.Priority = route.Priority
	request.Residency = fleet.ResidencyOf(route, nil)
	if !configuration.NeedsKeys() {
		return nil
	}
	tenant, known := configuration.TenantOf(request.Call.Key)
	switch {
	case known:
		request.Tenant = tenant.Name
		request.Residency = fleet.ResidencyOf(route, tenant)
		if tenant.Priority != nil {
			request.Priority = *tenant.Priority
		}
	case !route.Anonymous || request.Call.Key != "":
		return fault.NotRun(fault.ReasonUnauthorized, "the key is not known")
	}
	return nil
}

// readBody reads a request's complete body and hashes it while reading. A slow caller has until the
// request's deadline, after which it expects no response.
func readBody(writer http.ResponseWriter, incoming *http.Request, limits fleet.Limits, request *forward.Request, hasher io.Writer) *fault.Refusal {
	if incoming.ContentLength == 0 {
		return nil
	}
	source := incoming.Body
	if limits.BodyBytes > 0 {
		source = http.MaxBytesReader(writer, source, limits.BodyBytes)
	}
	control := http.NewResponseController(writer)
	// Without a deadline, a caller that stops in the middle of its body would hold its connection forever.
	// A deadline left set would end the server's detection of the caller's disconnect.
	_ = control.SetReadDeadline(request.Deadline)
	release := context.AfterFunc(incoming.Context(), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	defer release()
	body, err := bytequota.ReadAll(io.TeeReader(source, hasher), incoming.ContentLength, request.Memory)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		request.Body = body
		return nil
	case errors.As(err, &tooLarge):
		return fault.NotRun(fault.ReasonTooLarge, "the body is too large")
	case errors.Is(err, bytequota.ErrExhausted):
		return refuseUnread(writer, fault.ReasonMemory, "too much is held for callers", memoryRetry)
	case errors.Is(err, os.ErrDeadlineExceeded) && errors.Is(context.Cause(incoming.Context()), forward.ErrStopping):
		writer.Header().Set("Connection", "close")
		return forward.StoppingRefusal(false)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuseUnread(writer, fault.ReasonDeadline, "the body did not come within the time of the request", 0)
	case isDisconnect(err):
		// No response can be sent.
		request.Memory.Close()
		panic(http.ErrAbortHandler)
	default:
		return refuseUnread(writer, fault.ReasonBadRequest, "the body can't be read: "+err.Error(), 0)
	}
}

// isDisconnect reports whether reading a body failed because the caller's connection has ended: before
// the end of the body, or with an error of the connection.
func isDisconnect(err error) bool {
	var broken *net.OpError
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken)
}

// refuseUnread refuses a request whose body was not read completely. The remaining bytes on the
// connection are not a request, so the connection is closed after the response.
func refuseUnread(writer http.ResponseWriter, reason fault.Reason, detail string, retryAfter time.Duration) *fault.Refusal {
	writer.Header().Set("Connection", "close")
	refusal := fault.NotRun(reason, detail)
	refusal.RetryAfter = retryAfter
	return refusal
}

// statuses holds the HTTP statuses of refusals whose request certainly did not run; others get 503.
var statuses = map[fault.Reason]int{
	fault.ReasonBadRequest:     http.StatusBadRequest,
	fault.ReasonUnauthorized:   http.StatusUnauthorized,
	fault.ReasonUnknownService: http.StatusNotFound,
	fault.ReasonTooLarge:       http.StatusRequestEntityTooLarge,
}

func statusOf(refusal *fault.Refusal) int {
	if refusal.Execution == fault.ExecutionNotRun {
		if status, listed := statuses[refusal.Reason]; listed {
			return status
		}
		return http.StatusServiceUnavailable
	}
	switch refusal.Reason {
	case fault.ReasonDeadline:
		return http.StatusGatewayTimeout
	case fault.ReasonInternal:
		return http.StatusInternalServerError
	}
	return http.StatusBadGateway
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Reason    fault.Reason    `json:"reason"`
	Execution fault.Execution `json:"execution"`
	Detail    string          `json:"detail"`
}

// refuse answers a request for which there is no server response.
func (g *Gateway) refuse(writer http.ResponseWriter, request *forward.Request, refusal *fault.Refusal) {
	status := statusOf(refusal)
	event := logging.RequestFailed
	if status == http.StatusUnauthorized || status == http.StatusNotFound {
		event = logging.RequestDenied
	}
	if refusal.Reason == fault.ReasonCanceled {
		event = logging.CallerLeft
	}
	route := ""
	if request.Route != nil {
		route = request.Route.Name
	}
	view := g.view()
	configured := uint64(0)
	if view.Configuration != nil {
		configured = view.Configuration.Version
	}
	g.log.Log(event, append(request.SizeFields(),
		zap.String("request", request.Call.RequestID), zap.String("route", route), zap.String("host", request.Host),
		zap.String("tenant", request.Tenant), zap.Int("status", status), zap.String("reason", string(refusal.Reason)),
		zap.String("execution", string(refusal.Execution)), zap.Duration("retry_after", refusal.RetryAfter),
		zap.Duration("took", time.Since(request.Arrived)), zap.Uint64("configuration", configured),
		zap.Duration("configuration_age", time.Since(view.ConfigurationSince)))...)
	g.metrics.refusals.WithLabelValues(string(refusal.Reason), string(refusal.Execution)).Inc()
	header := writer.Header()
	g.dialect.RefusalHeader(header, request.Call.RequestID, refusal.RetryAfter)
	header.Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(refusalBody{Reason: refusal.Reason, Execution: refusal.Execution, Detail: refusal.Detail})
}
