package forward

import (
	"context"
	"errors"
	"time"

	"pinevane.example/pinevane/internal/fault"
)

// ErrStopping is the cause with which the contexts of requests are canceled that are still open
// shortly before the process exits.
var ErrStopping = errors.New("process is stopping")

// stoppingRetry is the Retry-After time of requests that a stopping process refuses: other entries
// take them at once.
const stoppingRetry = 50 * time.Millisecond

// StoppingRefusal returns the refusal of a request because the process is stopping. A server may have
// run the request if mayHaveRun is set.
func StoppingRefusal(mayHaveRun bool) *fault.Refusal {
	if mayHaveRun {
		return fault.Unknown(fault.ReasonLeaving, "the process is stopping, and a server may have run the request")
	}
	refusal := fault.NotRun(fault.ReasonLeaving, ErrStopping.Error())
	refusal.RetryAfter = stoppingRetry
	return refusal
}

// canceledByStop reports whether a request's context was canceled with ErrStopping.
func canceledByStop(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrStopping)
}

// cancellation returns why a request's context was canceled.
func cancellation(ctx context.Context) error {
	if canceledByStop(ctx) {
		return ErrStopping
	}
	return errCallerLeft
}
