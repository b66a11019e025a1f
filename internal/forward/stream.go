package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
)

// stream forwards a request whose answer is a series of events. Each event is
// passed on whole, as it comes. A stream that breaks is continued at another
// server after its last event, when the route allows that.
func (w *work) stream(ctx context.Context) *fault.Refusal {
	var first *exchange
	for {
		started, refusal, failed := w.attempt(ctx)
		if refusal != nil {
			return w.endStream(w.refuseAfter(refusal))
		}
		if failed == nil {
			if first == nil {
				first = started
			}
			failed = w.passEvents(started, first)
			if failed == nil {
				w.answered(first, nil)
				return nil
			}
		}
		if failed.reason == fault.ReasonCanceled && ctx.Err() != nil {
			return w.endStream(fault.Unknown(fault.ReasonCanceled, "the caller left"))
		}
		if !w.mayTryAgain(ctx, failed) {
			return w.endStream(w.giveUp(failed))
		}
		if w.begun {
			w.wanted.Resumed = true
			w.wanted.ExactVersion = w.version
			w.log.Log(logging.StreamResumed, zap.String("request", w.request.Call.RequestID), zap.String("after", w.lastEvent),
				zap.Uint64("version", w.version))
		} else {
			first = nil
		}
	}
}

// endStream answers a stream that can't go on. One that has begun is cut, so that
// it does not look complete.
func (w *work) endStream(refusal *fault.Refusal) *fault.Refusal {
	if !w.begun {
		return refusal
	}
	w.metrics.cut.WithLabelValues(string(refusal.Reason)).Inc()
	w.countEnding(endingCut)
	w.log.Log(logging.StreamCut, append(w.request.SizeFields(),
		zap.String("request", w.request.Call.RequestID), zap.String("route", w.request.Route.Name), zap.String("reason", string(refusal.Reason)),
		zap.Int("events", w.events), zap.String("last_event", w.lastEvent), zap.Int("attempts", w.sent))...)
	panic(http.ErrAbortHandler)
}

// passEvents passes the events of one server on until its answer ends.
func (w *work) passEvents(started, first *exchange) *failure {
	began := time.Now()
	status := started.response.StatusCode
	if status != http.StatusOK {
		return w.passOther(started)
	}
	settle := sync.OnceFunc(func() {
		if w.wanted.Engine != nil {
			w.targets.readPrompt(w.placed, w.attemptBegun)
		}
	})
	defer func() {
		settle()
		w.targets.release(w.placed)
	}()
	splitter := &eventSplitter{source: started.response.Body, memory: w.request.Memory}
	for {
		event, err := splitter.next()
		if len(event.bytes) > 0 {
			if !w.attemptBegun {
				w.targets.sawFirst(started.target, time.Since(w.sentAt))
				started.connection.startPauses()
				w.observe(started.target, health.Served)
			}
			w.attemptBegun = true
			settle()
			if !w.passEvent(event, first) {
				started.abort()
				return &failure{reason: fault.ReasonCanceled, execution: fault.ExecutionUnknown, cause: errLeft}
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			started.finish()
			if !w.begun {
				w.beginStream(first)
			}
			w.targets.succeed(started.target, time.Since(began))
			w.contentAnswered()
			w.learnStream()
			return nil
		}
		started.abort()
		failed := &failure{reason: reasonOf(err, fault.ReasonBackendFailed), execution: fault.ExecutionUnknown, cause: err}
		w.noteFailure(started.target, failed, time.Since(began))
		return failed
	}
}

// passOther passes on an answer that is no stream. In mid stream it is a failure.
func (w *work) passOther(started *exchange) *failure {
	body, failed := w.readWhole(started)
	if failed != nil {
		return failed
	}
	status := started.response.StatusCode
	retriable := status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout && w.request.Route.MayRepeat()
	if w.begun || (retriable && w.sent < w.request.Route.Attempts) {
		failed = &failure{reason: fault.ReasonBackendFailed, execution: fault.ExecutionUnknown, cause: statusError(status)}
		started.abort()
		w.noteFailure(started.target, failed, 0)
		return failed
	}
	w.pass(started, body)
	return nil
}

// beginStream sends the head of the first server's answer.
func (w *work) beginStream(first *exchange) {
	w.begun = true
	w.version = first.head.Version
	w.copyHead(first)
	w.writer.Header().Del("Content-Length")
	w.writer.WriteHeader(first.response.StatusCode)
}

// passEvent writes one event and reports whether the caller is still there.
// Events that were passed on before are dropped.
func (w *work) passEvent(event event, first *exchange) bool {
	if !w.begun {
		w.metrics.firstEvent.Observe(time.Since(w.request.Arrived).Seconds())
		w.beginStream(first)
	}
	if w.events > 0 && event.id != "" && !laterEvent(event.id, w.lastEvent) {
		return true
	}
	if _, err := w.writer.Write(event.bytes); err != nil {
		return false
	}
	if flusher, ok := w.writer.(http.Flusher); ok {
		flusher.Flush()
	}
	w.events++
	w.noteTimes(time.Now())
	if event.id != "" {
		w.lastEvent = event.id
	}
	return true
}

// noteTimes keeps what decides whether the stream was in time.
func (w *work) noteTimes(now time.Time) {
	if w.events == 1 {
		w.firstAfter = now.Sub(w.request.Arrived)
	} else {
		w.longestPause = max(w.longestPause, now.Sub(w.eventAt))
	}
	w.eventAt = now
}
