package forward

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
)

// EVAC: a request whose server's zone is evacuated while its connection is being made is not
// sent, is certain not to have run, and does not count against the server.
func TestRequestIsNotSentIntoAZoneThatWasEvacuatedMeanwhile(t *testing.T) {
	var received atomic.Int64
	server := scripted(t, func(net.Conn, *http.Request, int) { received.Add(1) })
	server.zone = "z"
	f := testForwarder()
	f.targets.view = &catalog.View{Evacuations: map[string]time.Time{"z": time.Now()}}
	_, failed := exchangeOnce(t, f, server, testRequest("a", "b"))
	require.NotNil(t, failed)
	assert.Equal(t, fault.ReasonEvacuated, failed.reason)
	assert.Equal(t, fault.ExecutionNotRun, failed.execution)
	time.Sleep(50 * time.Millisecond)
	assert.Zero(t, received.Load())
	w := &work{Forwarder: f, request: testRequest("a", "b")}
	f.targets.health.tracker.SetServers("s", []string{server.id})
	for range 4 {
		w.noteFailure(server, failed, 0)
	}
	assert.Equal(t, health.View{State: health.InOrder}, f.targets.health.tracker.View(server.id, f.targets.health.at(time.Now())))
	assert.False(t, w.mayHaveRun)
}
