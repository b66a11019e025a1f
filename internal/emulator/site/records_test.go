package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A request may only be served in regions that both its route and its tenant allow. An empty list
// allows every region; two lists without a common region allow none.
func TestRouteAndTenantRegionsAreIntersected(t *testing.T) {
	arrival := func(path string, zone int) Arrival { return Arrival{Path: path, Region: RegionName(zone)} }
	allowed := AllowedRegions{Streams: []string{RegionName(0), RegionName(1)}, Once: []string{RegionName(2)}}.residencies()
	assert.False(t, allowed.Outside(arrival(StreamPrefix, 1)))
	assert.True(t, allowed.Outside(arrival(StreamPrefix, 2)))
	assert.False(t, allowed.Outside(arrival(SafePrefix, 2)))
	narrower := AllowedRegions{Streams: []string{RegionName(0), RegionName(1)}, Once: []string{RegionName(2)}, Tenant: []string{RegionName(1)}}.residencies()
	assert.False(t, narrower.Outside(arrival(StreamPrefix, 1)))
	assert.True(t, narrower.Outside(arrival(StreamPrefix, 0)))
	assert.True(t, narrower.Outside(arrival(SafePrefix, 0)))
	for zone := range 3 {
		assert.True(t, narrower.Outside(arrival(OncePrefix, zone)), zone)
	}
}

// A server's cold-start peak is its highest number of requests within any second, without the
// requests that arrived when it was no longer cold.
func TestColdPeaks(t *testing.T) {
	began := time.Now()
	delivery := func(server string, milliseconds int, cold bool) Delivery {
		return Delivery{Server: server, Cold: cold, At: began.Add(time.Duration(milliseconds) * time.Millisecond)}
	}
	peaks := ColdPeaks([]Delivery{
		delivery("a", 0, true), delivery("b", 0, true), delivery("a", 600, true), delivery("a", 700, false),
		delivery("a", 1000, true), delivery("a", 1500, true), delivery("a", 1599, true), delivery("a", 2600, true),
	})
	assert.Equal(t, 4, peaks["a"].Requests)
	assert.Equal(t, began.Add(1599*time.Millisecond), peaks["a"].Last.At)
	assert.Equal(t, 1, peaks["b"].Requests)
}
