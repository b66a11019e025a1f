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

// Probes that are never answered do not add up.
func TestRoundTripsBoundTheirProbes(t *testing.T) {
	trips := NewRoundTrips(ms)
	sent := 0
	for now := range 100 {
		if trips.Probe("a", time.Duration(now)*ms) != 0 {
			sent++
		}
	}
	assert.Equal(t, maximumProbes, sent)
}
