package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/blackboard"
	"pinevane.example/pinevane/internal/configuration"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/node"
)

// Headers between callers and an entry.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderModelVersion = "X-Pinevane-Model-Version"
	// HeaderDeadline is the time that a request may take, in milliseconds.
	HeaderDeadline = "X-Pinevane-Deadline-Ms"
	// HeaderRepeatable is "false" on requests that may run at most once.
	HeaderRepeatable = "X-Pinevane-Repeatable"
	// HeaderExecution is set on refusals, to not-run or unknown.
	HeaderExecution = "X-Pinevane-Execution"
	// HeaderIdempotencyKey is the caller's idempotency key for a request.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// maxKeyBytes bounds the length of an idempotency key.
const maxKeyBytes = 256

func (e *Entry) mountRoutes(router chi.Router) {
	router.Post("/v1/chat/completions", e.authenticated(e.chatCompletions))
	router.Post("/v1/completions", e.authenticated(e.completions))
	router.Get("/v1/models", e.authenticated(e.models))
	router.HandleFunc("/apps/{service}", e.authenticated(e.callService))
	router.HandleFunc("/apps/{service}/*", e.authenticated(e.callService))
	router.NotFound(func(writer http.ResponseWriter, request *http.Request) {
		e.writeRefusal(writer, newRequestID(), fault.NotRun(fault.ReasonUnknownService, "no such path: "+request.URL.Path))
	})
}

// call is a caller's request with the data common to all kinds of requests.
type call struct {
	id         string
	tenant     configuration.Tenant
	snapshot   *configuration.Snapshot
	key        string
	repeatable bool
	arrivedAt  time.Time
	// streamStarted is set once the header of a streamed answer has been written.
	streamStarted bool
	// headerWritten is set before the header of any other answer is written.
	headerWritten bool
}

type handler func(ctx context.Context, writer http.ResponseWriter, request *http.Request, c *call) *fault.Refusal

func newRequestID() string { return watermill.NewUUID() }

// authenticated returns a handler that identifies the tenant, applies the deadline, and answers a
// refused request with an error.
func (e *Entry) authenticated(next handler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		e.requests.add(1)
		defer e.requests.add(-1)
		c := &call{id: newRequestID(), arrivedAt: time.Now()}
		writer.Header().Set(HeaderRequestID, c.id)
		refusal := e.serve(writer, request, c, next)
		e.metrics.observe(c, refusal)
		switch {
		case refusal == nil || c.streamStarted:
		case c.headerWritten:
			// Nothing but the end of the connection tells the caller that the answer is not complete.
			panic(http.ErrAbortHandler)
		default:
			e.writeRefusal(writer, c.id, refusal)
		}
	}
}

// serve runs the handler of a request. If the handler panics the request is refused as an internal
// error.
func (e *Entry) serve(writer http.ResponseWriter, request *http.Request, c *call, next handler) (refusal *fault.Refusal) {
	defer func() {
		if reason := recover(); reason != nil {
			refusal = e.refusePanicked(writer, c, reason)
		}
	}()
	if refusal := e.identify(request, c); refusal != nil {
		return refusal
	}
	return e.withDeadline(writer, request, c, next)
}

// refusePanicked logs a handler's panic and returns the refusal of its request. The refusal is sent at
// once if the answer is a stream that has begun.
func (e *Entry) refusePanicked(writer http.ResponseWriter, c *call, reason any) *fault.Refusal {
	e.node.Log.Log(logging.HandlerPanicked, zap.String("request", c.id), zap.String("panic", fmt.Sprint(reason)),
		zap.ByteString("stack", debug.Stack()))
	refusal := fault.Unknown(fault.ReasonInternal, "the request failed because of an error in this process")
	stream := &streamingAnswer{writer: writer, call: c}
	return stream.close(refusal)
}

func (e *Entry) withDeadline(writer http.ResponseWriter, request *http.Request, c *call, next handler) *fault.Refusal {
	deadline := e.options.DefaultDeadline
	if text := request.Header.Get(HeaderDeadline); text != "" {
		milliseconds, err := strconv.ParseInt(text, 10, 64)
		if err != nil || milliseconds <= 0 || milliseconds > e.options.MaximumDeadline.Milliseconds() {
			return badRequest(HeaderDeadline, "must be 1 to "+strconv.FormatInt(e.options.MaximumDeadline.Milliseconds(), 10)+" milliseconds")
		}
		deadline = time.Duration(milliseconds) * time.Millisecond
	}
	timed, cancel := context.WithTimeout(request.Context(), deadline)
	defer cancel()
	ctx, cancelOpen := context.WithCancelCause(timed)
	defer cancelOpen(nil)
	defer context.AfterFunc(e.graceOver, func() { cancelOpen(errStopping) })()
	return next(ctx, writer, request, c)
}

// errStopping is the cause with which the context of an open request ends at the end of a stop.
var errStopping = errors.New("the process is stopping")

// identify sets the fields that every request has: tenant, idempotency key and repeatability.
func (e *Entry) identify(request *http.Request, c *call) *fault.Refusal {
	snapshot, configured := blackboard.Read(e.node.Board, node.SnapshotKey)
	if !configured {
		refusal := fault.NotRun(fault.ReasonNotReady, "no configuration has arrived yet")
		refusal.RetryAfter = time.Second
		return refusal
	}
	c.snapshot = snapshot
	key, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	tenant, known := snapshot.TenantByKeyDigest(hex.EncodeToString(sum[:]))
	if !found || !known {
		return fault.NotRun(fault.ReasonUnauthorized, "the Authorization header names no tenant's key")
	}
	c.tenant = tenant
	c.key = request.Header.Get(HeaderIdempotencyKey)
	if len(c.key) > maxKeyBytes {
		return badRequest(HeaderIdempotencyKey, "must be at most 256 bytes")
	}
	switch request.Header.Get(HeaderRepeatable) {
	case "", "true":
		c.repeatable = true
	case "false":
	default:
		return badRequest(HeaderRepeatable, "must be true or false")
	}
	return nil
}

func badRequest(field, detail string) *fault.Refusal {
	refusal := fault.NotRun(fault.ReasonBadRequest, field+" "+detail)
	refusal.Field = field
	return refusal
}

// readBody reads a complete body of at most MaximumBodyBytes.
func (e *Entry) readBody(writer http.ResponseWriter, request *http.Request) ([]byte, *fault.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, e.options.MaximumBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, badRequest("body", "must be at most "+strconv.FormatInt(e.options.MaximumBodyBytes, 10)+" bytes")
	}
	if err != nil {
		return nil, badRequest("body", "could not be read whole")
	}
	return body, nil
}

// errorBody is the answer to a refused request, in the format that OpenAI clients know.
type errorBody struct {
	Error     errorDetail     `json:"error"`
	Execution fault.Execution `json:"execution"`
	RequestID string          `json:"request_id"`
	// RetryAfterMilliseconds is present if a later retry may succeed.
	RetryAfterMilliseconds int64 `json:"retry_after_ms,omitempty"`
}

type errorDetail struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    fault.Reason `json:"code"`
	Param   string       `json:"param,omitempty"`
}

func newErrorBody(requestID string, refusal *fault.Refusal) errorBody {
	return errorBody{
		Error:                  errorDetail{Message: refusal.Detail, Type: "pinevane_refusal", Code: refusal.Reason, Param: refusal.Field},
		Execution:              refusal.Execution,
		RequestID:              requestID,
		RetryAfterMilliseconds: refusal.RetryAfter.Milliseconds(),
	}
}

var statusOfReason = map[fault.Reason]int{
	fault.ReasonBadRequest:       http.StatusBadRequest,
	fault.ReasonUnauthorized:     http.StatusUnauthorized,
	fault.ReasonForbidden:        http.StatusForbidden,
	fault.ReasonUnknownModel:     http.StatusNotFound,
	fault.ReasonUnknownService:   http.StatusNotFound,
	fault.ReasonLimitRequests:    http.StatusTooManyRequests,
	fault.ReasonLimitTokens:      http.StatusTooManyRequests,
	fault.ReasonLimitConcurrency: http.StatusTooManyRequests,
	fault.ReasonDuplicate:        http.StatusConflict,
	fault.ReasonDeadline:         http.StatusGatewayTimeout,
	fault.ReasonInternal:         http.StatusInternalServerError,
	fault.ReasonBackendFailed:    http.StatusBadGateway,
	fault.ReasonWrongVersion:     http.StatusBadGateway,
	fault.ReasonLinkLost:         http.StatusBadGateway,
}

// statusOf returns the status of a refusal. One that allows the caller to send the request again is only
// for requests that have not run.
func statusOf(refusal *fault.Refusal) int {
	status, listed := statusOfReason[refusal.Reason]
	switch {
	case listed:
		return status
	case refusal.Execution == fault.ExecutionUnknown:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// writeRefusal answers a request with a refusal.
func (e *Entry) writeRefusal(writer http.ResponseWriter, requestID string, refusal *fault.Refusal) {
	e.node.Log.Log(logging.RequestRefused, zap.String("request", requestID),
		zap.String("reason", string(refusal.Reason)), zap.String("execution", string(refusal.Execution)))
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderExecution, string(refusal.Execution))
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	writer.WriteHeader(statusOf(refusal))
	_ = json.NewEncoder(writer).Encode(newErrorBody(requestID, refusal))
}

// requestCounter counts the open requests of callers.
type requestCounter struct{ count atomic.Int64 }

func (c *requestCounter) add(delta int64) { c.count.Add(delta) }

func (c *requestCounter) open() int { return int(c.count.Load()) }
