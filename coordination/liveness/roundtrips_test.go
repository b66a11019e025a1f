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
	assert.Zero(t, trips.Min(0))
	a, b := trips.NextProbe("a", 0), trips.NextProbe("b", 0)
	assert.NotZero(t, a)
	assert.Zero(t, trips.NextProbe("a", 50*ms), "not due yet")
	trips.RecordReply("a", a, 4*ms)
	trips.RecordReply("b", b, 6*ms)
	assert.Equal(t, 4*ms, trips.Min(50*ms))

	a, b = trips.NextProbe("a", 200*ms), trips.NextProbe("b", 200*ms)
	trips.RecordReply("a", a, 205*ms)
	assert.Equal(t, 5*ms, trips.Min(900*ms), "b is slow alone")
	a = trips.NextProbe("a", 900*ms)
	assert.Equal(t, 600*ms, trips.Min(1500*ms), "both are waited for")
	trips.RecordReply("b", b, 1600*ms)
	trips.RecordReply("a", a, 1700*ms)
	assert.Equal(t, 800*ms, trips.Min(1700*ms))

	trips.RetainOnly(map[string]bool{"b": true})
	assert.Equal(t, 1400*ms, trips.Min(1700*ms))
	trips.RecordReply("a", a, 1800*ms)
}

// Seen: half of the servers of a fleet lost their paths for four seconds, and six of them,
// idle, got no request until the end of the day (credit 0.33 to 0.56). Their agents told
// entries of a way to them and back of 17 s. Cause: once as many probes were lost as are waited
// for, no further one was sent, so that no answer could end the wait.
//
// Probes that are never answered do not add up, and do not end the probing.
func TestRoundTripsGoOnAfterLostProbes(t *testing.T) {
	trips := NewRoundTrips(ms)
	first := trips.NextProbe("a", 0)
	trips.RecordReply("a", first, ms)
	now := 2 * ms
	for ; now < 100*ms; now += ms {
		assert.NotZero(t, trips.NextProbe("a", now), "one in each period")
		assert.LessOrEqual(t, len(trips.peers["a"].sent), maximumProbes, "waited for")
	}
	assert.GreaterOrEqual(t, trips.Min(now), (maximumProbes-1)*ms, "that nothing comes back shows")
	probe := trips.NextProbe("a", now)
	trips.RecordReply("a", probe, now+3*ms)
	assert.Equal(t, 3*ms, trips.Min(now+4*ms), "an answer ends the wait for what was lost")
}

// Each probe is answered, after 1.4 s: a link on which packets wait is measured, and does not
// count as one of which nothing is known.
func TestSlowLinkIsMeasured(t *testing.T) {
	const way = 1400 * ms
	trips := NewRoundTrips(150 * ms)
	sentAt := map[uint64]time.Duration{}
	for now := time.Duration(0); now < 20*time.Second; now += 50 * ms {
		if number := trips.NextProbe("a", now); number != 0 {
			sentAt[number] = now
		}
		for number, sent := range sentAt {
			if now-sent >= way {
				trips.RecordReply("a", number, now)
				delete(sentAt, number)
			}
		}
	}
	assert.GreaterOrEqual(t, trips.Min(20*time.Second), way)
}
