package forward

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
)

// EVAC: a request whose server's zone is evacuated while its connection is being made is not sent,
// is known not to have run, and does not count against the server.
func TestRequestIsNotSentToAZoneEvacuatedWhileConnecting(t *testing.T) {
	var received atomic.Int64
	server := startScriptedServer(t, func(net.Conn, *http.Request, int) { received.Add(1) })
	f := testForwarder()
	f.Update(&catalog.View{
		Evacuations: map[string]time.Time{"z": time.Now()},
		Servers:     map[string][]fleet.Server{"s": {{ID: "i-1", Service: "s", Address: server.Address, Zone: "z"}}},
	})
	server = f.targets.targetOf(f.targets.core.Candidates("s")[0])
	_, failed := roundTrip(t, f, server, testRequest("a", "b"))
	require.NotNil(t, failed)
	assert.Equal(t, fault.ReasonEvacuated, failed.reason)
	assert.Equal(t, fault.ExecutionNotRun, failed.execution)
	time.Sleep(50 * time.Millisecond)
	assert.Zero(t, received.Load())
	w := &forwarding{Forwarder: f, request: testRequest("a", "b")}
	for range 4 {
		w.recordFailure(server, failed, 0)
	}
	assert.Zero(t, f.Servers()[0].EjectedFor)
	assert.False(t, w.mayHaveRun)
}
