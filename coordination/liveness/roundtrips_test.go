package liveness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

// A slow own link increases the time of every peer, even before a reply arrives. One slow peer does
// not increase the minimum.
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
	assert.Equal(t, 5*ms, trips.Min(900*ms), "only b is slow")
	a = trips.NextProbe("a", 900*ms)
	assert.Equal(t, 600*ms, trips.Min(1500*ms), "both probes are pending")
	trips.RecordReply("b", b, 1600*ms)
	trips.RecordReply("a", a, 1700*ms)
	assert.Equal(t, 800*ms, trips.Min(1700*ms))

	trips.RetainOnly(map[string]bool{"b": true})
	assert.Equal(t, 1400*ms, trips.Min(1700*ms))
	trips.RecordReply("a", a, 1800*ms)
}

// Half of a fleet's servers lost their network paths for four seconds, and six idle ones among them
// got no request until the end of the day (credit 0.33 to 0.56): their agents reported a round-trip
// time of 17 s to the entries. Once maxPendingProbes probes were lost, no further probe was sent,
// so that no reply could end the wait.
//
// Probes that are never answered must neither accumulate nor end the probing.
func TestProbingContinuesAfterLostProbes(t *testing.T) {
	trips := NewRoundTrips(ms)
	first := trips.NextProbe("a", 0)
	trips.RecordReply("a", first, ms)
	now := 2 * ms
	for ; now < 100*ms; now += ms {
		assert.NotZero(t, trips.NextProbe("a", now), "one probe per period")
		assert.LessOrEqual(t, len(trips.peers["a"].sent), maxPendingProbes, "pending probes")
	}
	assert.GreaterOrEqual(t, trips.Min(now), (maxPendingProbes-1)*ms, "the missing replies show")
	probe := trips.NextProbe("a", now)
	trips.RecordReply("a", probe, now+3*ms)
	assert.Equal(t, 3*ms, trips.Min(now+4*ms), "a reply ends the wait for the lost probes")
}

// If each probe is answered after 1.4 s, a link with queueing is measured and does not count as
// unknown.
func TestSlowLinkIsMeasured(t *testing.T) {
	const delay = 1400 * ms
	trips := NewRoundTrips(150 * ms)
	sentAt := map[uint64]time.Duration{}
	for now := time.Duration(0); now < 20*time.Second; now += 50 * ms {
		if number := trips.NextProbe("a", now); number != 0 {
			sentAt[number] = now
		}
		for number, sent := range sentAt {
			if now-sent >= delay {
				trips.RecordReply("a", number, now)
				delete(sentAt, number)
			}
		}
	}
	assert.GreaterOrEqual(t, trips.Min(20*time.Second), delay)
}
