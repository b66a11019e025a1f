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
)

// Request is a caller's request on its way to a server.
type Request struct {
	Call   fleet.CallHeader
	Route  *fleet.Route
	Tenant string
	// Configuration is the one that the request was admitted under, Residency what it
	// bound the request to.
	Configuration *fleet.Configuration
	Residency     fleet.Residency
	// Priority is the rank told to servers, 0 first.
	Priority int
	Method   string
	// Target is the path and query, byte for byte.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Memory is charged with what is held of the request and its answer; nil is bounded by nothing.
	Memory *bytequota.Account
	// Content identifies caller, host, target and body: the same for each try of a request.
	Content quarantine.Fingerprint
	// Arrived is when the request's head was read; Deadline is when its answer is
	// due at the latest.
	Arrived  time.Time
	Deadline time.Time

	// Admission is what the last decision on the request went by.
	Admission dispatch.Admission

	// usual is how long the first byte of the answer usually takes at the server chosen.
	usual time.Duration
	// freshFrom is set once an attempt has ended on a connection that was silent: others
	// that were opened before it fell silent are not used for this request.
	freshFrom time.Duration
}

// failure is why an attempt gave no answer. Execution tells whether the request
// may have run at the server.
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

// exchange is one request at one server, whose answer's head has been read.
type exchange struct {
	target     *target
	connection *connection
	release    func()
	response   *http.Response
	head       fleet.AnswerHeader
	// written is closed once the whole request has been sent, with its error.
	written chan error
	done    bool
}

// longBody is the size from which a body is sent beside the reading of the
// answer, because a server may answer before it has read all.
const longBody = 16 << 10

// maximumSurplus is how many late answers to earlier requests are skipped.
const maximumSurplus = 3

// open sends a request to a server and reads the head of its answer.
func (f *Forwarder) open(ctx context.Context, request *Request, send fleet.SendHeader, chosen *target, silence silenceJudge) (*exchange, *failure) {
	carrier := f.rested(request, chosen)
	if carrier == nil {
		began := f.watch.now()
		fresh, err := dial(ctx, chosen.Address, request.Deadline)
		if err != nil {
			return nil, &failure{reason: reasonOf(err, fault.ReasonLinkLost), execution: fault.ExecutionNotRun, cause: err}
		}
		f.metrics.connections.Inc()
		f.watch.add(fresh, chosen, began)
		carrier = fresh
		if f.targets.evacuated(chosen) {
			carrier.close()
			return nil, &failure{reason: fault.ReasonEvacuated, execution: fault.ExecutionNotRun}
		}
	}
	carrier.usual.Store(int64(request.usual))
	carrier.beginning = request.usual
	carrier.repeatable.Store(request.Route.MayRepeat())
	carrier.patience = patienceOf(request.Route)
	if !f.stillAllowed(request, chosen) {
		carrier.close()
		return nil, &failure{reason: fault.ReasonResidency, execution: fault.ExecutionNotRun, cause: errNarrowed}
	}
	if f.targets.unwilling(chosen) {
		carrier.close()
		return nil, &failure{reason: fault.ReasonServerUnwilling, execution: fault.ExecutionNotRun}
	}
	if err := stillInTime(silence); err != nil {
		carrier.close()
		return nil, &failure{reason: reasonOf(err, fault.ReasonVersionDeadline), execution: fault.ExecutionNotRun, cause: err}
	}
	started := &exchange{target: chosen, connection: carrier, written: make(chan error, 1)}
	started.release = carrier.begin(ctx, request.Deadline, silence)
	sentAt := time.Now()
	outgoing := f.outgoing(request, send)
	if err := started.write(outgoing, len(request.Body)); err != nil {
		started.abort()
		return nil, &failure{reason: reasonOf(err, fault.ReasonLinkLost), execution: fault.ExecutionUnknown, cause: err}
	}
	if err := started.readHead(f.dialect, outgoing, request.Call.RequestID); err != nil {
		started.abort()
		return nil, &failure{reason: reasonOf(err, fault.ReasonBackendFailed), execution: fault.ExecutionUnknown, cause: err}
	}
	f.targets.sawCold(chosen, started.head.ColdFor)
	f.targets.sawAsked(chosen, started.head, sentAt)
	return started, nil
}

// stillInTime asks once more, right before the send, whether the request would be taken back: the
// making of a connection takes up to dialTimeout, and a request that is not sent needs no
// cancelling to arrive (TestNothingIsSentWhenTheBoundNearsWhileConnecting).
func stillInTime(silence silenceJudge) error {
	if silence == nil {
		return nil
	}
	return silence(0, 0)
}

// rested takes a kept connection for a request, or nil. One that must not run twice always gets
// a new connection: a kept one may have been forgotten or gone silent without a word, and what
// is lost with it can't be sent again, whereas a connection that does not come up proves that
// nothing ran. That costs an eighth more connections to servers, 0.0001 of a day's worth in
// prices, and saves the calls of about the third of a second until a silence is found.
func (f *Forwarder) rested(request *Request, chosen *target) *connection {
	if !request.Route.MayRepeat() {
		return nil
	}
	return chosen.pool.take(trustedRest, request.freshFrom)
}

func reasonOf(err error, other fault.Reason) fault.Reason {
	switch {
	case errors.Is(err, errLeft), errors.Is(err, context.Canceled):
		return fault.ReasonCanceled
	case errors.Is(err, errDeadline):
		return fault.ReasonDeadline
	case errors.Is(err, errSilent):
		return fault.ReasonConnectionSilent
	case errors.Is(err, errOverdue):
		return fault.ReasonOverdue
	case errors.Is(err, errStalled):
		return fault.ReasonStalled
	case errors.Is(err, errBound):
		return fault.ReasonVersionDeadline
	}
	return other
}

func (f *Forwarder) outgoing(request *Request, send fleet.SendHeader) *http.Request {
	header := request.Header.Clone()
	f.dialect.WriteSend(header, send)
	if _, named := header["User-Agent"]; !named {
		// The library would add its own.
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

// write sends the request; a long one is sent beside the reading of the answer.
func (x *exchange) write(outgoing *http.Request, bodyBytes int) error {
	send := func() error {
		if err := outgoing.Write(x.connection.writer); err != nil {
			return err
		}
		return x.connection.writer.Flush()
	}
	if bodyBytes < longBody {
		err := send()
		x.written <- err
		return err
	}
	go func() { x.written <- send() }()
	return nil
}

// readHead reads up to the answer that belongs to the request. Answers to earlier
// requests on the connection, which a server may send late, are skipped.
func (x *exchange) readHead(dialect fleet.Dialect, outgoing *http.Request, requestID string) error {
	for surplus := 0; ; {
		response, err := http.ReadResponse(x.connection.reader, outgoing)
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		x.response = response
		x.head = dialect.ReadAnswer(response.StatusCode, response.Header)
		if x.head.RequestID == requestID {
			return nil
		}
		if x.head.RequestID == "" && x.head.NotRun && x.connection.used == 0 {
			return nil
		}
		surplus++
		if surplus > maximumSurplus || !framed(response) {
			return &fault.InvalidFrame{Field: "answer", Reason: "belongs to another request"}
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
	}
}

// framed reports whether the end of an answer is told by more than the end of its
// connection.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// finish gives the connection back after a whole answer.
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
	rest := restTime(x.response.Header)
	reusable := sent && !x.response.Close && framed(x.response) && x.connection.reader.Buffered() == 0 && rest > 0
	if !reusable || x.connection.ctx.Err() != nil {
		x.connection.close()
		return
	}
	x.target.pool.put(x.connection, rest)
}

// abort ends the connection, which tells the server to stop.
func (x *exchange) abort() {
	if x.done {
		return
	}
	x.done = true
	x.release()
	x.connection.close()
}

// restShare is the part of the server's own time for which a connection is kept.
const restShare = 0.7

// restTime is how long a connection may rest after an answer.
func restTime(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil {
			return time.Duration(restShare * seconds * float64(time.Second))
		}
	}
	return idleWithoutWord
}
