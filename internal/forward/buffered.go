package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/bytequota"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/network"
)

// maxBufferedBytes is the largest answer that is read completely before any of it is written. A
// longer one, or one that exceeds the memory quota, is written as it arrives.
const maxBufferedBytes = 1 << 20

// answerBody is the part of an answer that was read before any of it was written.
type answerBody struct {
	bytes []byte
	// complete is set if that is the whole body; otherwise the rest is still to be read.
	complete bool
}

// serveBuffered forwards a request with a short answer. The answer is read before it is written, so
// that a broken one can be replaced.
func (w *forwarding) serveBuffered(ctx context.Context) *fault.Refusal {
	for {
		started, refusal, failed := w.nextAttempt(ctx)
		if refusal != nil {
			return w.adjustRefusal(refusal)
		}
		var body answerBody
		if failed == nil {
			body, failed = w.readAnswer(ctx, started)
		}
		if failed == nil && started.response.StatusCode >= http.StatusInternalServerError && w.retryServerError(ctx, started) {
			continue
		}
		if failed == nil {
			w.writeAnswer(ctx, started, body)
			return nil
		}
		if w.hedge == nil && !w.mayRetry(ctx, failed) {
			return w.finalRefusal(failed)
		}
	}
}

// adjustRefusal converts the refusal of a further attempt to the request's refusal. If an earlier
// attempt may have run, it guarantees nothing.
func (w *forwarding) adjustRefusal(refusal *fault.Refusal) *fault.Refusal {
	if w.mayHaveRun {
		refusal.Execution, refusal.RetryAfter = fault.ExecutionUnknown, 0
	}
	return refusal
}

// readAnswer reads an answer's body to its end if it can be buffered. The server's slot is then
// free, however slowly the caller reads.
func (w *forwarding) readAnswer(ctx context.Context, started *exchange) (answerBody, *failure) {
	began := time.Now()
	body, err := w.buffer(started.response)
	if err == nil && body.complete {
		err = w.checkEnd(ctx, started)
	}
	if err == nil && body.complete {
		w.detachHedge()
		started.finish()
	} else if err != nil {
		started.abort()
	}
	w.releaseAttempt()
	if err == nil {
		w.targets.recordAnswerTime(started.target, time.Since(w.request.Arrived))
		w.observeAnswer(started.target, started.response.StatusCode)
		if body.complete {
			w.confirmFingerprint(started.response.StatusCode)
		}
		return body, nil
	}
	failed := &failure{reason: failureReason(err, fault.ReasonBackendFailed), execution: fault.ExecutionUnknown, cause: err}
	w.recordFailure(started.target, failed, time.Since(began))
	return answerBody{}, failed
}

// errAnswerNotHeld means that there is no memory for the whole of an answer that may only be passed on once it is complete.
var errAnswerNotHeld = errors.New("no memory to hold the answer until it is complete, and the process stops")

// buffer reads as much of an answer as may be buffered.
func (w *forwarding) buffer(response *http.Response) (answerBody, error) {
	if w.request.HoldAnswer {
		return w.bufferWhole(response)
	}
	size := min(response.ContentLength, maxBufferedBytes+1)
	bytes, err := bytequota.ReadAll(io.LimitReader(response.Body, maxBufferedBytes+1), size, w.request.Memory)
	if errors.Is(err, bytequota.ErrExhausted) {
		return answerBody{bytes: bytes}, nil
	}
	return answerBody{bytes: bytes, complete: len(bytes) <= maxBufferedBytes}, err
}

// bufferWhole reads an answer to its end. It returns errAnswerNotHeld if the caller's memory does not suffice.
func (w *forwarding) bufferWhole(response *http.Response) (answerBody, error) {
	bytes, err := bytequota.ReadAll(response.Body, response.ContentLength, w.request.Memory)
	if errors.Is(err, bytequota.ErrExhausted) {
		err = errAnswerNotHeld
	}
	return answerBody{bytes: bytes, complete: err == nil}, err
}

// retryServerError reports whether a server error is retried at another server, or a second attempt is
// open that may still answer.
func (w *forwarding) retryServerError(ctx context.Context, started *exchange) bool {
	status := started.response.StatusCode
	failed := &failure{reason: fault.ReasonBackendFailed, execution: fault.ExecutionUnknown, cause: statusError(status)}
	if !w.request.Route.MayRepeat() || status == http.StatusGatewayTimeout {
		return false
	}
	started.abort()
	w.recordFailure(started.target, failed, 0)
	return w.hedge != nil || w.mayRetry(ctx, failed)
}

// writeAnswer writes a server's answer to the caller.
func (w *forwarding) writeAnswer(ctx context.Context, started *exchange, body answerBody) {
	w.copyHead(started)
	if body.complete && started.response.Header.Get("Content-Length") == "" {
		w.writer.Header().Set("Content-Length", strconv.Itoa(len(body.bytes)))
	}
	w.writer.WriteHeader(started.response.StatusCode)
	w.cancelHedge()
	_, err := w.writer.Write(body.bytes)
	if !body.complete {
		w.committed = true
		_, err = io.Copy(w.writer, started.response.Body)
		if err == nil {
			err = w.checkEnd(ctx, started)
		}
		if err != nil {
			started.abort()
			w.recordCut(started, err)
			panic(http.ErrAbortHandler)
		}
		started.finish()
		w.confirmFingerprint(started.response.StatusCode)
	}
	w.recordAnswered(started, err)
}

// recordCut records the failure of a server whose answer ended after a part of it had been passed on. An
// error of the caller's connection says nothing of the server.
func (w *forwarding) recordCut(started *exchange, err error) {
	var broken *brokenUpload
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errEndedByCrash) || errors.Is(err, errUnconfirmedEnd) || errors.As(err, &broken) {
		w.recordFailure(started.target, &failure{reason: fault.ReasonBackendFailed, execution: fault.ExecutionUnknown, cause: err}, time.Since(w.sentAt))
	}
}

// copyHead copies the head of a server's answer.
func (w *forwarding) copyHead(started *exchange) {
	header := w.writer.Header()
	for name, values := range started.response.Header {
		if !network.IsConnectionHeader(name) {
			header[name] = values
		}
	}
	if header.Get("Content-Type") == "" {
		// net/http would guess one.
		header["Content-Type"] = nil
	}
}

func (w *forwarding) recordAnswered(started *exchange, err error) {
	took := time.Since(w.request.Arrived)
	kind := "whole"
	if w.request.Route.Kind == fleet.Streaming {
		kind = "stream"
	}
	w.metrics.answers.WithLabelValues(kind, strconv.Itoa(started.response.StatusCode)).Observe(took.Seconds())
	w.countEnding(endingAnswered)
	w.log.Log(logging.RequestAnswered, append(w.request.SizeFields(),
		zap.String("request", w.request.Call.RequestID), zap.Int("status", started.response.StatusCode),
		zap.String("server", started.target.ID), zap.Int("attempts", w.attempts), zap.Int("events", w.events),
		zap.Uint64("version", started.head.Version), zap.Duration("took", took), zap.Duration("first_event", w.firstEventAfter),
		zap.Duration("longest_pause", w.longestPause), zap.Duration("target", w.request.Route.Target),
		zap.Duration("target_gap", w.request.Route.TargetGap), zap.String("route", w.request.Route.Name), zap.Error(err))...)
}
