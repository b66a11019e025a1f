package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/coordination/quarantine"
	"pinevane.example/pinevane/internal/bytequota"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/network"
)

// Request is a caller's request that is forwarded to a server.
type Request struct {
	Call   fleet.CallHeader
	Route  *fleet.Route
	Tenant string
	// Configuration is the one that the request was admitted under, and Residency the restriction
	// that follows from it.
	Configuration *fleet.Configuration
	Residency     fleet.Residency
	// Priority is the priority sent to servers, 0 first.
	Priority int
	Method   string
	// Target is the path and query, byte for byte.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Memory is charged with the buffered parts of the request and its answer; nil means no limit.
	Memory *bytequota.Account
	// Identity is what the request may be quarantined for: caller, host, target and body, and the parts
	// of its prompt. It is the same for each try of a request.
	Identity quarantine.Request
	// Arrived is when the request's head was read. Deadline is when its answer is due at the
	// latest.
	Arrived  time.Time
	Deadline time.Time
	// HoldAnswer is set if an answer that is no stream may only be passed on once it is complete, however long it is, because
	// the process may stop before its end.
	HoldAnswer bool

	// Admission holds the figures behind the last decision on the request.
	Admission dispatch.Admission

	// typicalWait is how long the first byte of the answer typically takes at the chosen server.
	typicalWait time.Duration
	// openedAfter is set once an attempt has ended on a silent connection: connections that were
	// opened before it fell silent are not used for this request.
	openedAfter time.Duration
}

// failure is why an attempt gave no answer. Its execution says whether the request may have run at
// the server.
type failure struct {
	reason    fault.Reason
	execution fault.Execution
	cause     error
}

func (f *failure) Error() string {
	if f.cause != nil {
		return string(f.reason) + ": " + f.cause.Error()
	}
	return string(f.reason)
}

// exchange is one request at one server. The head of the answer has been read.
type exchange struct {
	target     *target
	connection *connection
	release    func()
	// sentAt is right before the request was written.
	sentAt   time.Time
	response *http.Response
	head     fleet.AnswerHeader
	// written receives the result of sending the request.
	written chan error
	// events splits the answer if it is a stream whose first event was read ahead; nil otherwise.
	events *eventSplitter
	done   bool
}

// endIsMarked reports whether the answer's end can be told from that of its connection: by a length or by
// chunks.
func (x *exchange) endIsMarked() bool {
	return x.response.ContentLength >= 0 || len(x.response.TransferEncoding) > 0 || x.response.Body == http.NoBody
}

// asyncBodyBytes is the size from which a body is sent concurrently with reading the answer,
// because a server may answer before it has read the whole body.
const asyncBodyBytes = 16 << 10

// Bounds of the late answers to earlier requests that are skipped on a connection.
const (
	maxSkippedAnswers = 3
	// maxSkippedBytes bounds the body of one.
	maxSkippedBytes = maxBufferedBytes
)

// open sends a request to a server and reads the head of its answer.
func (f *Forwarder) open(ctx context.Context, request *Request, send fleet.SendHeader, chosen *target, guard guard) (*exchange, *failure) {
	carrier := f.idleConnection(request, chosen)
	if carrier == nil {
		began := f.watcher.now()
		fresh, err := dial(ctx, chosen.Address, request.Deadline)
		if err != nil {
			return nil, &failure{reason: failureReason(err, fault.ReasonLinkLost), execution: fault.ExecutionNotRun, cause: err}
		}
		f.metrics.connections.Inc()
		f.watcher.add(fresh, chosen, began)
		carrier = fresh
		if f.targets.evacuated(chosen) {
			carrier.close()
			return nil, &failure{reason: fault.ReasonEvacuated, execution: fault.ExecutionNotRun}
		}
	}
	carrier.typicalWait.Store(int64(request.typicalWait))
	carrier.expectedStart = request.typicalWait
	carrier.repeatable.Store(request.Route.MayRepeat())
	carrier.minOverdue = minOverdueOf(request.Route)
	if !f.stillAllowed(request, chosen) {
		carrier.close()
		return nil, &failure{reason: fault.ReasonResidency, execution: fault.ExecutionNotRun, cause: errRegionDisallowed}
	}
	if f.targets.unavailable(chosen) {
		carrier.close()
		return nil, &failure{reason: fault.ReasonServerUnwilling, execution: fault.ExecutionNotRun}
	}
	if err := checkBeforeSend(guard); err != nil {
		carrier.close()
		return nil, &failure{reason: failureReason(err, fault.ReasonVersionDeadline), execution: fault.ExecutionNotRun, cause: err}
	}
	started := &exchange{target: chosen, connection: carrier, written: make(chan error, 1)}
	started.release = carrier.begin(ctx, request.Deadline, guard)
	started.sentAt = time.Now()
	outgoing := f.outgoing(request, send)
	if err := started.write(outgoing, len(request.Body)); err != nil {
		started.abort()
		return nil, &failure{reason: failureReason(err, fault.ReasonLinkLost), execution: fault.ExecutionUnknown, cause: err}
	}
	if err := started.readHead(f.dialect, outgoing, request.Call.RequestID); err != nil {
		started.abort()
		return nil, &failure{reason: failureReason(err, fault.ReasonBackendFailed), execution: fault.ExecutionUnknown, cause: err}
	}
	started.recordIdentity()
	f.targets.applyCold(chosen, started.head.ColdFor)
	f.targets.applyNotice(chosen, started.head, started.sentAt)
	return started, nil
}

// checkBeforeSend asks the guard of an attempt right before the send. Connecting takes up to
// dialTimeout, and a request that is not sent needs no cancellation that may fail to arrive
// (TestNothingIsSentWhenTheVersionDeadlineNearsWhileConnecting).
func checkBeforeSend(guard guard) error {
	if guard == nil {
		return nil
	}
	return guard.beforeSend()
}

// idleConnection takes an idle connection from the pool for a request, or returns nil. A request
// that must not run twice always gets a new connection: an idle one may have been dropped by the
// server or gone silent unnoticed, and a request lost with it can't be sent again, whereas a failed
// connect proves that nothing ran. This costs an eighth more connections to servers, 0.0001 of a
// day's score in price, and saves the calls of about the third of a second until a silence is
// detected.
func (f *Forwarder) idleConnection(request *Request, chosen *target) *connection {
	if !request.Route.MayRepeat() {
		return nil
	}
	return chosen.pool.get(maxReuseIdle, request.openedAfter)
}

func failureReason(err error, other fault.Reason) fault.Reason {
	switch {
	case errors.Is(err, errCallerLeft), errors.Is(err, context.Canceled):
		return fault.ReasonCanceled
	case errors.Is(err, ErrStopping), errors.Is(err, errAnswerNotHeld):
		return fault.ReasonLeaving
	case errors.Is(err, errDeadline):
		return fault.ReasonDeadline
	case errors.Is(err, errSilent):
		return fault.ReasonConnectionSilent
	case errors.Is(err, errOverdue):
		return fault.ReasonOverdue
	case errors.Is(err, errStalled):
		return fault.ReasonStalled
	case errors.Is(err, errVersionDeadline):
		return fault.ReasonVersionDeadline
	}
	return other
}

func (f *Forwarder) outgoing(request *Request, send fleet.SendHeader) *http.Request {
	header := request.Header.Clone()
	f.dialect.WriteSend(header, send)
	if _, named := header["User-Agent"]; !named {
		// net/http would add its own.
		header["User-Agent"] = []string{""}
	}
	outgoing := &http.Request{
		Method: request.Method, URL: &url.URL{Opaque: request.Target}, Host: request.Host, Header: header,
		ContentLength: int64(len(request.Body)),
	}
	if len(request.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	return outgoing
}

// write sends the request. A long body is sent concurrently with reading the answer.
func (x *exchange) write(outgoing *http.Request, bodyBytes int) error {
	send := func() error {
		if err := outgoing.Write(x.connection.writer); err != nil {
			return err
		}
		return x.connection.writer.Flush()
	}
	if bodyBytes < asyncBodyBytes {
		err := send()
		x.written <- err
		return err
	}
	go func() { x.written <- send() }()
	return nil
}

// readHead reads up to the head of the answer that belongs to the request. Answers to earlier
// requests on the connection, which a server may send late, are skipped.
func (x *exchange) readHead(dialect fleet.Dialect, outgoing *http.Request, requestID string) error {
	x.connection.beginHead()
	defer x.connection.endHead()
	for skipped := 0; ; {
		response, err := http.ReadResponse(x.connection.reader, outgoing)
		if err := x.connection.headError(err); err != nil {
			return err
		}
		if err := network.CheckHead(response.StatusCode, response.Header); err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		x.connection.endHead()
		x.response = response
		x.head = dialect.ReadAnswer(response.StatusCode, response.Header)
		if x.head.RequestID == requestID {
			return nil
		}
		if x.head.RequestID == "" && x.head.NotRun && x.connection.requestsCarried == 0 {
			return nil
		}
		skipped++
		if skipped > maxSkippedAnswers || !isDelimited(response) {
			return &fault.InvalidFrame{Field: "answer", Reason: "belongs to another request"}
		}
		if err := x.discardBody(maxSkippedBytes); err != nil {
			return err
		}
		x.connection.beginHead()
	}
}

// maxDiscardTime bounds the time for a body that is read only to get at what follows it on its connection.
const maxDiscardTime = 300 * time.Millisecond

// errDiscardBound means that a body of no use was too long, or took too long, to be read to its end.
var errDiscardBound = errors.New("a body of no use is too long or too slow to be skipped")

// discardBody reads the body of an answer of no use to its end. It returns errDiscardBound if that is longer than maxBytes or takes
// longer than maxDiscardTime.
func (x *exchange) discardBody(maxBytes int64) error {
	deadline := x.connection.deadline
	defer func() { x.connection.deadline = deadline }()
	x.connection.deadline = minTime(deadline, time.Now().Add(maxDiscardTime))
	count, err := io.Copy(io.Discard, io.LimitReader(x.response.Body, maxBytes+1))
	if count > maxBytes || (errors.Is(err, errDeadline) && time.Now().Before(deadline)) {
		return errDiscardBound
	}
	return err
}

// isDelimited reports whether an answer's end is marked by a length or chunking and not only by the
// close of its connection.
func isDelimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// finish returns the connection to the pool after a complete answer.
func (x *exchange) finish() {
	if x.done {
		return
	}
	x.done = true
	x.release()
	sent := false
	select {
	case err := <-x.written:
		sent = err == nil
	default:
	}
	keepFor := idleTimeout(x.response.Header)
	reusable := sent && !x.response.Close && isDelimited(x.response) && x.connection.reader.Buffered() == 0 && keepFor > 0
	if !reusable || x.connection.ctx.Err() != nil {
		x.connection.close()
		return
	}
	x.target.pool.put(x.connection, keepFor)
}

// abort closes the connection, which makes the server stop.
func (x *exchange) abort() {
	if x.done {
		return
	}
	x.done = true
	x.release()
	x.connection.close()
}

// idleTimeoutRatio is the fraction of the server's own timeout for which a connection is kept.
const idleTimeoutRatio = 0.7

// idleTimeout is how long a connection may stay idle after an answer.
func idleTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil {
			return time.Duration(idleTimeoutRatio * seconds * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}
