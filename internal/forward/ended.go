package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/network"
)

// Servers end connections that have rested, now and then at the moment when a request goes out on
// one. Such a request is sent once more, to the same server over a new connection. It is no other
// attempt, because attempts bound the servers that a request is sent to, and says nothing of the
// server's health. Taken for a failure of the server, every such request of a route with one
// attempt or a service with one server was lost, and a few of them in a row had the server ejected
// (TestRequestsSurviveEndedIdleConnections: 0 of 8 were answered there, now all).

// endedWithin is how soon after the send an ended connection shows: one way there and back, between
// regions too. A server that ends the connection later has been at work on the request.
const endedWithin = 200 * time.Millisecond

// sentCounter counts the bytes that the kernel has taken over for sending.
type sentCounter struct {
	net.Conn
	sent *connection
}

// Write implements io.Writer.
func (s sentCounter) Write(buffer []byte) (int, error) {
	count, err := s.Conn.Write(buffer)
	s.sent.sentBytes.Add(int64(count))
	return count, err
}

// writeFailure is why a request was not sent whole. Of one none of whose bytes was sent nothing has
// run.
func (c *connection) writeFailure(err error) *failure {
	failed := &failure{reason: fault.ReasonLinkLost, execution: fault.ExecutionUnknown, cause: err}
	if c.sentBytes.Load() == 0 {
		failed.execution = fault.ExecutionNotRun
	}
	switch {
	case c.ctx.Err() != nil:
		failed.reason = fault.ReasonCanceled
	case c.silent.Load():
		failed.reason = fault.ReasonConnectionSilent
	case errors.Is(err, os.ErrDeadlineExceeded):
		failed.reason = fault.ReasonDeadline
	case c.endedAtRest(err):
		failed.reason = fault.ReasonConnectionEnded
	}
	return failed
}

// headFailure is why the head of the answer was not read.
func (c *connection) headFailure(err error) *failure {
	failed := &failure{reason: reasonOf(err, fault.ReasonBackendFailed), execution: fault.ExecutionUnknown, cause: err}
	if c.endedAtRest(err) {
		failed.reason = fault.ReasonConnectionEnded
	}
	return failed
}

// endedAtRest reports whether an error tells that the server ended the connection, which had rested,
// without a word on the present request.
func (c *connection) endedAtRest(err error) bool {
	return c.used > 0 && c.received.Load() == 0 && time.Since(c.heardAt) < endedWithin && isEnd(err)
}

// isEnd reports whether an error tells that the other side has ended the connection.
func isEnd(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// checkUnsent looks, right before the send, whether a new connection has ended already: then
// nothing is sent, and nothing has run.
func (c *connection) checkUnsent() *failure {
	if c.used > 0 {
		return nil
	}
	if err := network.CheckIdle(c.net); err != nil {
		return &failure{reason: fault.ReasonLinkLost, execution: fault.ExecutionNotRun, cause: err}
	}
	return nil
}

// openRenewed opens an exchange, a second time where the server ended a resting connection as the
// request went out on it. The retry budget is drawn on, because the server may have read the
// request all the same.
func (w *work) openRenewed(ctx context.Context, send fleet.SendHeader, chosen *target, silence silenceJudge) (*exchange, *failure) {
	started, failed := w.open(ctx, w.request, send, chosen, silence)
	if failed == nil || failed.reason != fault.ReasonConnectionEnded || ctx.Err() != nil {
		return started, failed
	}
	if failed.execution == fault.ExecutionUnknown && !w.takeRetry(w.wanted.Service) {
		return nil, failed
	}
	w.mayHaveRun = w.mayHaveRun || failed.execution == fault.ExecutionUnknown
	w.metrics.attempts.WithLabelValues(string(failed.reason)).Inc()
	w.metrics.retries.Inc()
	w.log.Log(logging.AttemptFailed, zap.String("request", w.request.Call.RequestID), zap.Int("attempt", w.sent),
		zap.String("server", chosen.ID), zap.String("reason", string(failed.reason)), zap.String("execution", string(failed.execution)),
		zap.NamedError("cause", failed.cause), zap.Duration("took", time.Since(w.sentAt)))
	// What rests at this server besides may have ended too.
	w.request.freshFrom = w.watch.now()
	send.Deadline = time.Until(w.request.Deadline)
	return w.open(ctx, w.request, send, chosen, silence)
}
