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
	for range 2 * ejectAfter {
		w.noteFailure(server, failed, 0)
	}
	assert.Zero(t, server.ejectedTill)
	assert.False(t, w.mayHaveRun)
}

// What is open in an evacuated zone is counted, and the time until the last of it has ended; an
// evacuation that is taken back meanwhile has none, and one asked for again counts anew.
func TestEvacuatedZoneBecomesIdle(t *testing.T) {
	set := coldTargets("entry-0", 1)
	set.update(coldFleet(map[string]time.Time{"zb": time.Now()}, time.Time{}))
	open, took := set.evacuationFigures()
	assert.Zero(t, open)
	assert.Equal(t, map[string]time.Duration{"zb": 0}, took, "nothing was open there")

	send := func() *target {
		chosen, refusal := set.choose(need{service: "s", route: &fleet.Route{Target: time.Second}, work: &work{request: &Request{}}})
		require.Nil(t, refusal)
		require.Equal(t, "za", chosen.target.zone)
		return chosen.target
	}
	one, two := send(), send()
	evacuated := coldFleet(map[string]time.Time{"za": time.Now()}, time.Time{})
	set.update(evacuated)
	set.release(one)
	open, took = set.evacuationFigures()
	assert.Equal(t, 1, open)
	assert.NotContains(t, took, "za")
	time.Sleep(20 * time.Millisecond)
	set.release(two)
	open, took = set.evacuationFigures()
	assert.Zero(t, open)
	assert.GreaterOrEqual(t, took["za"], 20*time.Millisecond)

	set.update(coldFleet(map[string]time.Time{"zb": time.Now()}, time.Time{}))
	one = send()
	set.update(evacuated)
	set.update(coldFleet(nil, time.Time{}))
	set.release(one)
	_, took = set.evacuationFigures()
	assert.NotContains(t, took, "za", "it was in use again before that was idle")
}
