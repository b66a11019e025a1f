package forward

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
)

// Guards against a stop that is taken for a caller that left, and against a promise that a request has
// not run which a server has received.
func TestStopEndsAttempts(t *testing.T) {
	arrived := make(chan struct{}, 1)
	server := startScriptedServer(t, func(net.Conn, *http.Request, int) { arrived <- struct{}{} })
	open := func(ctx context.Context) *failure {
		_, failed := testForwarder().open(ctx, testRequest("stopped", "b"), fleet.SendHeader{Deadline: time.Second, Instance: "i-1"}, server, nil)
		require.NotNil(t, failed)
		return failed
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() {
		<-arrived
		cancel(ErrStopping)
	}()
	sent := open(ctx)
	assert.Equal(t, fault.ReasonLeaving, sent.reason)
	assert.Equal(t, fault.ExecutionUnknown, sent.execution)
	unsent := open(ctx)
	assert.Equal(t, fault.ReasonLeaving, unsent.reason)
	assert.Equal(t, fault.ExecutionNotRun, unsent.execution)
	left, leave := context.WithCancel(t.Context())
	leave()
	assert.Equal(t, fault.ReasonCanceled, open(left).reason)
}

// Guards against a refusal of a stopping process that promises too much, or doesn't say when to come back.
func TestStoppingRefusalSaysWhetherARequestRan(t *testing.T) {
	notRun := StoppingRefusal(false)
	assert.Equal(t, fault.ExecutionNotRun, notRun.Execution)
	assert.Positive(t, notRun.RetryAfter)
	mayHaveRun := StoppingRefusal(true)
	assert.Equal(t, fault.ExecutionUnknown, mayHaveRun.Execution)
	assert.Zero(t, mayHaveRun.RetryAfter)
}
