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

// maximumBuffered is the largest answer that is read whole before any of it is
// passed on; a longer one, or one that can't be held, is passed on as it comes.
const maximumBuffered = 1 << 20

// answerBody is what was read of an answer before any of it is passed on.
type answerBody struct {
	bytes []byte
	// whole is set when that is all of it; otherwise the rest is still to be read.
	whole bool
}

// whole forwards a request whose answer has an end that is soon reached. The
// answer is read before it is passed on, so that a broken one can be replaced.
func (w *work) whole(ctx context.Context) *fault.Refusal {
	for {
		started, refusal, failed := w.attempt(ctx)
		if refusal != nil {
			return w.refuseAfter(refusal)
		}
		var body answerBody
		if failed == nil {
			body, failed = w.readWhole(started)
		}
		if failed == nil && started.response.StatusCode >= http.StatusInternalServerError && w.retryServerError(ctx, started) {
			continue
		}
		if failed == nil {
			w.pass(started, body)
			return nil
		}
		if !w.mayTryAgain(ctx, failed) {
			return w.giveUp(failed)
		}
	}
}

// refuseAfter turns a refusal to try again into the request's answer: after an
// attempt that may have run it promises nothing.
func (w *work) refuseAfter(refusal *fault.Refusal) *fault.Refusal {
	if w.mayHaveRun {
		refusal.Execution, refusal.RetryAfter = fault.ExecutionUnknown, 0
	}
	return refusal
}

// readWhole reads an answer's body to its end, if it can be held: the server's place is free then,
// however slowly the caller reads.
func (w *work) readWhole(started *exchange) (answerBody, *failure) {
	began := time.Now()
	body, err := w.buffer(started.response)
	if err == nil && body.whole {
		started.finish()
	} else if err != nil {
		started.abort()
	}
	w.unsent()
	if err == nil {
		w.targets.succeed(started.target, time.Since(w.request.Arrived))
		w.observeAnswer(started.target, started.response.StatusCode)
		if body.whole {
			w.contentAnswered()
		}
		return body, nil
	}
	failed := &failure{reason: reasonOf(err, fault.ReasonBackendFailed), execution: fault.ExecutionUnknown, cause: err}
	w.noteFailure(started.target, failed, time.Since(began))
	return answerBody{}, failed
}

// buffer reads an answer as far as it may be held.
func (w *work) buffer(response *http.Response) (answerBody, error) {
	size := min(response.ContentLength, maximumBuffered+1)
	bytes, err := bytequota.ReadAll(io.LimitReader(response.Body, maximumBuffered+1), size, w.request.Memory)
	if errors.Is(err, bytequota.ErrExhausted) {
		return answerBody{bytes: bytes}, nil
	}
	return answerBody{bytes: bytes, whole: len(bytes) <= maximumBuffered}, err
}

// retryServerError decides whether a server's own failure is tried elsewhere.
func (w *work) retryServerError(ctx context.Context, started *exchange) bool {
	status := started.response.StatusCode
	failed := &failure{reason: fault.ReasonBackendFailed, execution: fault.ExecutionUnknown, cause: statusError(status)}
	if !w.request.Route.MayRepeat() || status == http.StatusGatewayTimeout {
		return false
	}
	started.abort()
	w.noteFailure(started.target, failed, 0)
	return w.mayTryAgain(ctx, failed)
}

// pass writes a server's answer to the caller.
func (w *work) pass(started *exchange, body answerBody) {
	w.copyHead(started)
	if body.whole && started.response.Header.Get("Content-Length") == "" {
		w.writer.Header().Set("Content-Length", strconv.Itoa(len(body.bytes)))
	}
	w.writer.WriteHeader(started.response.StatusCode)
	_, err := w.writer.Write(body.bytes)
	if !body.whole {
		_, err = io.Copy(w.writer, started.response.Body)
		started.finish()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.contentAnswered()
	}
	w.answered(started, err)
}

// copyHead copies the head of a server's answer.
func (w *work) copyHead(started *exchange) {
	header := w.writer.Header()
	for name, values := range started.response.Header {
		if !network.IsConnectionHeader(name) {
			header[name] = values
		}
	}
	if header.Get("Content-Type") == "" {
		// The library would guess one.
		header["Content-Type"] = nil
	}
}

func (w *work) answered(started *exchange, err error) {
	took := time.Since(w.request.Arrived)
	kind := "whole"
	if w.request.Route.Kind == fleet.Streaming {
		kind = "stream"
	}
	w.metrics.answers.WithLabelValues(kind, strconv.Itoa(started.response.StatusCode)).Observe(took.Seconds())
	w.countEnding(endingAnswered)
	w.log.Log(logging.RequestAnswered, append(w.request.SizeFields(),
		zap.String("request", w.request.Call.RequestID), zap.Int("status", started.response.StatusCode),
		zap.String("server", started.target.ID), zap.Int("attempts", w.sent), zap.Int("events", w.events),
		zap.Uint64("version", started.head.Version), zap.Duration("took", took), zap.Duration("first_event", w.firstAfter),
		zap.Duration("longest_pause", w.longestPause), zap.Duration("target", w.request.Route.Target),
		zap.Duration("target_gap", w.request.Route.TargetGap), zap.String("route", w.request.Route.Name), zap.Error(err))...)
}
