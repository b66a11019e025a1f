package forward

import (
	"math"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
)

// shares returns how often each service is picked, of 10,000 requests.
func shares(services ...fleet.WeightedService) map[string]float64 {
	const requests = 10_000
	picked := map[string]float64{}
	for range requests {
		picked[pickService(services)] += 1.0 / requests
	}
	return picked
}

// Guards against a panic of a request's handler: the sum of large weights overflowed.
func TestLargeWeightsAreDrawnInProportion(t *testing.T) {
	picked := shares(fleet.WeightedService{Service: "a", Weight: math.MaxInt}, fleet.WeightedService{Service: "b", Weight: math.MaxInt})
	assert.InDelta(t, 0.5, picked["a"], 0.05)
	assert.InDelta(t, 0.5, picked["b"], 0.05)
}

// Guards against requests that go to a service whose weight excludes it, and against a route that is
// refused because no weight is positive.
func TestServicesWithoutWeightGetRequestsOnlyIfAllAreWithout(t *testing.T) {
	picked := shares(fleet.WeightedService{Service: "none"}, fleet.WeightedService{Service: "a", Weight: 3}, fleet.WeightedService{Service: "b", Weight: 1}, fleet.WeightedService{Service: "negative", Weight: -7})
	assert.InDelta(t, 0.75, picked["a"], 0.05)
	assert.InDelta(t, 0.25, picked["b"], 0.05)
	assert.Len(t, picked, 2)
	assert.Equal(t, "none", pickService([]fleet.WeightedService{{Service: "none"}, {Service: "negative", Weight: -7}}))
}

// Guards against a panic of the handlers of all requests of a route without services.
func TestRouteWithoutServicesIsRefused(t *testing.T) {
	request := testRequest("r", "")
	request.Configuration = &fleet.Configuration{}
	forwarder := testForwarder()
	forwarder.targets.bounds.Store(&fleet.Bounds{RetryWindow: time.Second})
	refusal := forwarder.Serve(t.Context(), httptest.NewRecorder(), request)
	require.NotNil(t, refusal)
	assert.Equal(t, fault.ReasonNoReplica, refusal.Reason)
	assert.Equal(t, fault.ExecutionNotRun, refusal.Execution)
}
