package liveness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

// A slow own link shows in every peer's time, also before an answer has come; a slow
// peer alone does not show.
func TestRoundTrips(t *testing.T) {
	trips := NewRoundTrips(100 * ms)
	assert.Zero(t, trips.Least(0))
	a, b := trips.Probe("a", 0), trips.Probe("b", 0)
	assert.NotZero(t, a)
	assert.Zero(t, trips.Probe("a", 50*ms), "not due yet")
	trips.Answered("a", a, 4*ms)
	trips.Answered("b", b, 6*ms)
	assert.Equal(t, 4*ms, trips.Least(50*ms))

	a, b = trips.Probe("a", 200*ms), trips.Probe("b", 200*ms)
	trips.Answered("a", a, 205*ms)
	assert.Equal(t, 5*ms, trips.Least(900*ms), "b is slow alone")
	a = trips.Probe("a", 900*ms)
	assert.Equal(t, 600*ms, trips.Least(1500*ms), "both are waited for")
	trips.Answered("b", b, 1600*ms)
	trips.Answered("a", a, 1700*ms)
	assert.Equal(t, 800*ms, trips.Least(1700*ms))

	trips.Keep(map[string]bool{"b": true})
	assert.Equal(t, 1400*ms, trips.Least(1700*ms))
	trips.Answered("a", a, 1800*ms)
}

// Seen: half of the servers of a fleet lost their paths for four seconds, and six of them,
// idle, got no request until the end of the day (credit 0.33 to 0.56). Their agents told
// entries of a way to them and back of 17 s. Cause: once as many probes were lost as are waited
// for, no further one was sent, so that no answer could end the wait.
//
// Probes that are never answered do not add up, and do not end the probing.
func TestRoundTripsGoOnAfterLostProbes(t *testing.T) {
	trips := NewRoundTrips(ms)
	first := trips.Probe("a", 0)
	trips.Answered("a", first, ms)
	now := 2 * ms
	for ; now < 100*ms; now += ms {
		assert.NotZero(t, trips.Probe("a", now), "one in each period")
		assert.LessOrEqual(t, len(trips.peers["a"].sent), maximumProbes, "waited for")
	}
	assert.GreaterOrEqual(t, trips.Least(now), (maximumProbes-1)*ms, "that nothing comes back shows")
	probe := trips.Probe("a", now)
	trips.Answered("a", probe, now+3*ms)
	assert.Equal(t, 3*ms, trips.Least(now+4*ms), "an answer ends the wait for what was lost")
}

// Each probe is answered, after 1.4 s: a link on which packets wait is measured, and does not
// count as one of which nothing is known.
func TestSlowLinkIsMeasured(t *testing.T) {
	const way = 1400 * ms
	trips := NewRoundTrips(150 * ms)
	sentAt := map[uint64]time.Duration{}
	for now := time.Duration(0); now < 20*time.Second; now += 50 * ms {
		if number := trips.Probe("a", now); number != 0 {
			sentAt[number] = now
		}
		for number, sent := range sentAt {
			if now-sent >= way {
				trips.Answered("a", number, now)
				delete(sentAt, number)
			}
		}
	}
	assert.GreaterOrEqual(t, trips.Least(20*time.Second), way)
}
