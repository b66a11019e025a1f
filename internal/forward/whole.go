package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/network"
)

// maximumBuffered is the largest answer that is read whole before any of it is
// passed on; a longer one is passed on as it comes.
const maximumBuffered = 1 << 20

// whole forwards a request whose answer has an end that is soon reached. The
// answer is read before it is passed on, so that a broken one can be replaced.
func (w *work) whole(ctx context.Context) *fault.Refusal {
	for {
		started, refusal, failed := w.attempt(ctx)
		if refusal != nil {
			return w.refuseAfter(refusal)
		}
		var body []byte
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

// readWhole reads an answer's body to its end.
func (w *work) readWhole(started *exchange) ([]byte, *failure) {
	began := time.Now()
	body, err := io.ReadAll(io.LimitReader(started.response.Body, maximumBuffered+1))
	if err == nil && len(body) <= maximumBuffered {
		started.finish()
	} else if err != nil {
		started.abort()
	}
	if err == nil {
		w.unsent()
		w.targets.succeed(started.target, time.Since(w.request.Arrived))
		w.observeAnswer(started.target, started.response.StatusCode)
		if len(body) <= maximumBuffered {
			w.contentAnswered()
		}
		return body, nil
	}
	w.unsent()
	failed := &failure{reason: reasonOf(err, fault.ReasonBackendFailed), execution: fault.ExecutionUnknown, cause: err}
	w.noteFailure(started.target, failed, time.Since(began))
	return nil, failed
}

// retryServerError decides whether a server's own failure is tried elsewhere.
func (w *work) retryServerError(ctx context.Context, started *exchange) bool {
	status := started.response.StatusCode
	failed := &failure{reason: fault.ReasonBackendFailed, execution: fault.ExecutionUnknown, cause: statusError(status)}
	if !w.request.Route.MayRepeat() || status == http.StatusGatewayTimeout {
		return false
	}
	w.noteFailure(started.target, failed, 0)
	return w.mayTryAgain(ctx, failed)
}

// pass writes a server's answer to the caller.
func (w *work) pass(started *exchange, body []byte) {
	w.copyHead(started)
	long := len(body) > maximumBuffered
	if !long && started.response.Header.Get("Content-Length") == "" {
		w.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.writer.WriteHeader(started.response.StatusCode)
	_, err := w.writer.Write(body)
	if long {
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
	w.log.Log(logging.RequestAnswered, zap.String("request", w.request.Call.RequestID), zap.Int("status", started.response.StatusCode),
		zap.String("server", started.target.ID), zap.Int("attempts", w.sent), zap.Int("events", w.events),
		zap.Uint64("version", started.head.Version), zap.Duration("took", took), zap.Duration("first_event", w.firstAfter),
		zap.Duration("longest_pause", w.longestPause), zap.Duration("target", w.request.Route.Target),
		zap.Duration("target_gap", w.request.Route.TargetGap), zap.String("route", w.request.Route.Name), zap.Error(err))
}
