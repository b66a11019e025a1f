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

// serveStream forwards a request whose answer is a stream of events. Each event is relayed as a
// whole as soon as it is complete. An interrupted stream is resumed at another server after its
// last event, if the route allows that.
func (w *forwarding) serveStream(ctx context.Context) *fault.Refusal {
	var first *exchange
	for {
		started, refusal, failed := w.nextAttempt(ctx)
		if refusal != nil && w.awaitPlace(ctx, refusal) {
			continue
		}
		if refusal != nil {
			return w.endStream(w.adjustRefusal(refusal))
		}
		if failed == nil {
			if first == nil {
				first = started
			}
			failed = w.relayEvents(ctx, started, first)
			if failed == nil {
				w.recordAnswered(first, nil)
				return nil
			}
		}
		if failed.reason == fault.ReasonCanceled && ctx.Err() != nil {
			return w.endStream(fault.Unknown(fault.ReasonCanceled, "the caller left"))
		}
		if w.hedge == nil && !w.mayRetry(ctx, failed) {
			return w.endStream(w.finalRefusal(failed))
		}
		if w.headSent {
			w.bindResumption()
			w.log.Log(logging.StreamResumed, zap.String("request", w.request.Call.RequestID), zap.String("after", w.lastEvent),
				zap.Uint64("version", w.version))
		} else {
			first = nil
		}
	}
}

// Times of the wait for a server that can continue an interrupted stream.
const (
	// placeRetryInterval is the time between two searches for a place.
	placeRetryInterval = 100 * time.Millisecond
	// maxPlaceWait is how long after its last event a stream waits for a place: about as long as
	// callers wait for an event.
	maxPlaceWait = 1800 * time.Millisecond
)

// awaitPlace waits for a moment if an interrupted stream found no place, and reports whether to search
// again. A stream that has not begun is refused instead, so that its caller can go elsewhere.
func (w *forwarding) awaitPlace(ctx context.Context, refusal *fault.Refusal) bool {
	// A server in a region that is not allowed does not matter: one in an allowed region may be back in time.
	noPlace := refusal.Reason == fault.ReasonNoReplica || refusal.Reason == fault.ReasonResidency
	if !w.headSent || !noPlace || time.Since(w.lastEventAt) > maxPlaceWait || time.Until(w.request.Deadline) < placeRetryInterval+minAttemptTime {
		return false
	}
	select {
	case <-time.After(placeRetryInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

// bindResumption restricts the next attempt of a stream whose head was sent to the version that the
// stream began with.
func (w *forwarding) bindResumption() {
	if w.headSent {
		w.criteria.Resumed, w.criteria.ExactVersion = true, w.version
	}
}

// endStream ends a stream that can't be continued. If it has begun, the connection is cut so that
// the answer does not look complete.
func (w *forwarding) endStream(refusal *fault.Refusal) *fault.Refusal {
	if !w.headSent {
		return refusal
	}
	w.metrics.cutStreams.WithLabelValues(string(refusal.Reason)).Inc()
	w.countEnding(endingCut)
	w.log.Log(logging.StreamCut, append(w.request.SizeFields(),
		zap.String("request", w.request.Call.RequestID), zap.String("route", w.request.Route.Name), zap.String("reason", string(refusal.Reason)),
		zap.Int("events", w.events), zap.String("last_event", w.lastEvent), zap.Int("attempts", w.attempts))...)
	panic(http.ErrAbortHandler)
}

// relayEvents relays the events of one server until its answer ends.
func (w *forwarding) relayEvents(ctx context.Context, started, first *exchange) *failure {
	began := time.Now()
	status := started.response.StatusCode
	if status != http.StatusOK {
		return w.relayOther(ctx, started)
	}
	promptRead := sync.OnceFunc(func() {
		if w.criteria.Engine != nil {
			w.targets.recordPromptRead(w.currentSend, w.attemptBegun)
		}
	})
	defer func() {
		promptRead()
		w.targets.release(w.currentSend)
	}()
	splitter := started.events
	if splitter == nil {
		splitter = &eventSplitter{source: started.response.Body, memory: w.request.Memory}
	}
	for {
		event, err := splitter.next()
		if len(event.bytes) > 0 {
			if !w.attemptBegun {
				w.targets.recordFirstEvent(started.target, time.Since(w.sentAt))
				started.connection.trackPauses()
				w.observe(started.target, health.Served)
			}
			w.attemptBegun = true
			promptRead()
			if !w.relayEvent(event, first) {
				started.abort()
				return &failure{reason: fault.ReasonCanceled, execution: fault.ExecutionUnknown, cause: errCallerLeft}
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			err = w.checkEnd(ctx, started)
		}
		if err == nil {
			w.cancelHedge()
			started.finish()
			if !w.headSent {
				w.beginStream(first)
			}
			w.targets.recordAnswerTime(started.target, time.Since(began))
			w.confirmFingerprint(started.response.StatusCode)
			w.recordStream()
			return nil
		}
		started.abort()
		failed := &failure{reason: failureReason(err, fault.ReasonBackendFailed), execution: fault.ExecutionUnknown, cause: err}
		w.recordFailure(started.target, failed, time.Since(began))
		return failed
	}
}

// relayOther relays an answer that is no stream. In the middle of a stream it is a failure.
func (w *forwarding) relayOther(ctx context.Context, started *exchange) *failure {
	body, failed := w.readAnswer(ctx, started)
	if failed != nil {
		return failed
	}
	status := started.response.StatusCode
	retriable := status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout && w.request.Route.MayRepeat()
	if w.headSent || (retriable && (w.hedge != nil || w.attempts < w.request.Route.Attempts)) {
		failed = &failure{reason: fault.ReasonBackendFailed, execution: fault.ExecutionUnknown, cause: statusError(status)}
		started.abort()
		w.recordFailure(started.target, failed, 0)
		return failed
	}
	w.writeAnswer(ctx, started, body)
	return nil
}

// beginStream sends the head of the first server's answer.
func (w *forwarding) beginStream(first *exchange) {
	w.headSent = true
	w.version = first.head.Version
	w.copyHead(first)
	w.writer.Header().Del("Content-Length")
	w.writer.WriteHeader(first.response.StatusCode)
}

// relayEvent writes one event and reports whether the caller is still connected. Events that were
// relayed before are dropped.
func (w *forwarding) relayEvent(event event, first *exchange) bool {
	if !w.headSent {
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
	w.cancelHedge()
	w.events++
	w.recordEventTimes(time.Now())
	if event.id != "" {
		w.lastEvent = event.id
	}
	return true
}

// recordEventTimes records the times that decide whether the stream was in time.
func (w *forwarding) recordEventTimes(now time.Time) {
	if w.events == 1 {
		w.firstEventAfter = now.Sub(w.request.Arrived)
	} else {
		w.longestPause = max(w.longestPause, now.Sub(w.lastEventAt))
	}
	w.lastEventAt = now
}
