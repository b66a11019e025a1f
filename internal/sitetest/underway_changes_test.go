package sitetest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/logging"
)

// LOST, CONFIG: a request under way ends by the configuration that it was admitted under. The tests
// of this file change the configuration under open requests at healthy servers; those of
// underway_attempts_test.go have servers break off after the change. See
// docs/design/requests-under-way.md.

// changeUnderWay opens requests of every kind, changes the configuration and requires that all of
// them are answered.
func changeUnderWay(t *testing.T, f *Fleet, change func(configuration map[string]any)) {
	t.Helper()
	opened := openRequests(f, "open", underWayCount, requestKinds...)
	f.configure(change)
	assertAnswered(t, f, opened.outcomes())
	assertNotRunTwice(t, f, "once")
}

// Guards against requests that are lost when the operator removes their routes.
func TestRemovedRoutesLetOpenRequestsFinish(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	changeUnderWay(t, f, func(configuration map[string]any) { site.RemoveNamed(configuration, "routes") })
	assert.Equal(t, http.StatusNotFound, statusOfKind(t, f, "safe", "new"))
}

// Guards against requests that are cut at the timeout of a configuration that came after them.
func TestShortenedTimeoutLetsOpenRequestsFinish(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	changeUnderWay(t, f, func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) { route["timeoutMs"] = 300 })
	})
	assert.Equal(t, http.StatusGatewayTimeout, statusOfKind(t, f, "once", "new"))
}

// Guards against requests that are held past the timeout that they were admitted under because a
// later configuration has a longer one.
func TestLengthenedTimeoutDoesNotHoldOpenRequests(t *testing.T) {
	const timeout = 800 * time.Millisecond
	f := startUnderWayFleet(t, underWayOptions())
	f.configure(func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) { route["timeoutMs"] = timeout.Milliseconds() }, "once")
	})
	opened := openRequests(f, "open", underWayCount, "once")
	f.configure(func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) { route["timeoutMs"] = 4000 }, "once")
	})
	for _, result := range opened.outcomes() {
		require.NoError(t, result.err, result.id)
		assert.Equal(t, http.StatusGatewayTimeout, result.answer.Status, result.id)
		assert.InDelta(t, timeout.Seconds(), result.duration.Seconds(), 0.4, result.id)
	}
	assertNoUnanswered(t, f)
}

// Guards against requests that are refused as late on arrival, because neither their route nor their
// caller states how long they may take.
func TestRouteWithoutTimeoutServesRequestsWithoutDeadline(t *testing.T) {
	f := Start(t, DefaultOptions())
	f.configure(func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) { delete(route, "timeoutMs") })
	})
	answer, err := f.Call(t.Context(), 0, 0, http.MethodGet, site.SafePrefix, "patient", map[string]string{"Deadline-Ms": ""}, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.Status)
}

// Guards against requests that are lost when their route allows fewer attempts.
func TestLoweredAttemptsLetOpenRequestsFinish(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	changeUnderWay(t, f, func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) { route["maxAttempts"] = 1 })
	})
}

// Guards against streams that are cut when their route is no longer resumable.
func TestRouteNoLongerResumableLetsOpenStreamsFinish(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	changeUnderWay(t, f, func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) { route["streamResume"], route["routeType"] = false, "non_idempotent" })
	})
}

// Guards against requests that are lost with their tenant.
func TestRemovedTenantLetsOpenRequestsFinish(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	changeUnderWay(t, f, func(configuration map[string]any) {
		configuration["tenants"] = []any{map[string]any{"name": "tenant-two", "apiKeys": []string{"another-key"}}}
	})
	assert.Equal(t, http.StatusUnauthorized, statusOfKind(t, f, "safe", "new"))
}

// Guards against requests that are lost with their key.
func TestRevokedKeyLetsOpenRequestsFinish(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	changeUnderWay(t, f, revoke)
	assert.Equal(t, http.StatusUnauthorized, statusOfKind(t, f, "safe", "new"))
}

// startSecondService starts servers of the second service and publishes it.
func startSecondService(t *testing.T, f *Fleet) {
	t.Helper()
	for zone := range f.Site.Options.Zones {
		_, err := f.Site.StartService(secondService, zone, 0)
		require.NoError(t, err)
	}
	f.configure(func(configuration map[string]any) { site.AddService(configuration, secondService) })
}

// moveRoutes moves the plain routes to a service.
func moveRoutes(service string) func(configuration map[string]any) {
	return func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) { route["service"] = service }, "safe", "once")
	}
}

// Guards against requests that are lost when their route moves to another service.
func TestMovedRouteLetsOpenRequestsFinish(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	startSecondService(t, f)
	changeUnderWay(t, f, moveRoutes(secondService))
	require.Equal(t, http.StatusOK, statusOfKind(t, f, "safe", "new"))
	runs := runsOf(f, "new")
	require.Len(t, runs, 1)
	assert.Equal(t, secondService, runs[0].Service)
}

// Guards against requests that are lost with their service.
func TestRemovedServicesLetOpenRequestsFinish(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	changeUnderWay(t, f, func(configuration map[string]any) {
		site.RemoveNamed(configuration, "services", site.ModelService, site.PlainService)
	})
}

// Guards against a route without services, whose requests ended with a panic of their handler.
func TestRouteWithoutServicesRefusesNewRequestsAndLetsOpenOnesFinish(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	changeUnderWay(t, f, func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) {
			delete(route, "service")
			route["weightedBackends"] = []any{}
		})
	})
	for _, kind := range requestKinds {
		assert.Equal(t, http.StatusServiceUnavailable, statusOfKind(t, f, kind, "new-"+kind), kind)
	}
	assertNoUnanswered(t, f)
}

// Guards against a request that is lost when the limit on bodies is lowered below its size while its
// body is being sent.
func TestLoweredBodyLimitLetsHalfSentBodyFinish(t *testing.T) {
	const size = 200 << 10
	f := startUnderWayFleet(t, underWayOptions())
	connection, err := net.Dial("tcp", strings.TrimPrefix(f.Site.EntryURL(0, 0), "http://"))
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	body := strings.Repeat("b", size)
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: half\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n%s",
		site.OncePrefix, site.Host, site.Key, size, body[:size/2])
	require.NoError(t, err)
	time.Sleep(200 * time.Millisecond)
	f.configure(func(configuration map[string]any) { configuration["limits"].(map[string]any)["maxBodyBytes"] = 1000 })
	_, err = connection.Write([]byte(body[size/2:]))
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	answer, err := f.Call(t.Context(), 0, 0, http.MethodPost, site.OncePrefix, "new", nil, body)
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestEntityTooLarge, answer.Status)
	assertNoUnanswered(t, f)
}

// Guards against requests that are cut at their server when its region is no longer allowed.
func TestNarrowedResidencyLetsOpenRequestsFinish(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	changeUnderWay(t, f, restrictRoutes(site.RegionName(1)))
}

// Guards against requests, and connections between two requests, that are lost when the limits on
// headers and idle connections change.
func TestChangedLimitsLetOpenRequestsFinish(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	connection, err := net.Dial("tcp", strings.TrimPrefix(f.Site.EntryURL(0, 0), "http://"))
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	ask := func(id string) {
		_, err := fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Token %s\r\n\r\n", site.SafePrefix, site.Host, id, site.Key)
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, http.StatusOK, response.StatusCode)
	}
	ask("kept-before")
	changeUnderWay(t, f, func(configuration map[string]any) {
		limits := configuration["limits"].(map[string]any)
		limits["maxHeaderBytes"], limits["headerTimeoutMs"], limits["idleTimeoutMs"] = 600, 100, 1000
	})
	ask("kept-after")
}

// Guards against a configuration that can't be used and ends requests, or replaces the one in force.
func TestInvalidConfigurationChangesNothing(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	entries := f.Site.Options.Zones * f.Site.Options.Entries
	opened := openRequests(f, "open", underWayCount, requestKinds...)
	invalid := []string{`{"version": 100, "routes": [{"name": 7}]}`, `{"version": 103,`, `[]`, ``, `{"version": -1}`}
	for _, content := range invalid {
		f.Site.Store.PutRaw("op/config", []byte(content))
	}
	f.Eventually("every entry has rejected the last one", 2*time.Second, func() bool {
		return countEvents(f, logging.SnapshotRejected.Number, `"key":"op/config"`) >= entries
	})
	assertAnswered(t, f, opened.outcomes())
	for _, kind := range requestKinds {
		assert.Equal(t, http.StatusOK, statusOfKind(t, f, kind, "new-"+kind), kind)
	}
	f.configure(func(map[string]any) {})
	assertNoUnanswered(t, f)
}
