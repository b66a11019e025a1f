package sitetest

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
)

// The tests of this file open requests of every kind, change the configuration, and have the servers
// of a zone break off. The further attempts of a request go by the configuration that it was admitted
// under, except that they go to no region which the present one does not allow.

// breakOffAfter opens requests, changes the configuration and has the servers of the first zone break
// off. It requires that requests which may be repeated are answered nonetheless, that others are
// failed and not repeated, and returns the outcomes and the moment before the servers broke off.
func breakOffAfter(t *testing.T, f *Fleet, change func(configuration map[string]any)) (outcomes []outcome, brokenAt time.Time) {
	t.Helper()
	opened := openRequests(f, "open", underWayCount, requestKinds...)
	f.configure(change)
	brokenAt = time.Now()
	breakOffZone(f, 0)
	outcomes = opened.outcomes()
	var repeatable []outcome
	failed := 0
	for _, result := range outcomes {
		if !strings.Contains(result.id, "-once-") {
			repeatable = append(repeatable, result)
			continue
		}
		require.NoError(t, result.err, result.id)
		if result.answer.Status != http.StatusOK {
			assert.Equal(t, http.StatusBadGateway, result.answer.Status, result.id)
			failed++
		}
	}
	assertAnswered(t, f, repeatable)
	assertNotRunTwice(t, f, "once")
	assert.Positive(t, failed, "once-only requests were at servers that broke off")
	assert.NotEmpty(t, furtherAttempts(f, "stream", brokenAt), "streams were at servers that broke off")
	assert.NotEmpty(t, furtherAttempts(f, "safe", brokenAt), "repeatable requests were at servers that broke off")
	return outcomes, brokenAt
}

// Guards against streams that are cut, and repeatable requests that fail, because their route is gone
// when a server breaks off.
func TestFurtherAttemptsAfterRemovalOfRoutes(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	breakOffAfter(t, f, func(configuration map[string]any) { site.RemoveNamed(configuration, "routes") })
}

// Guards against further attempts that are denied, or sent with less time, for a timeout that was
// shortened after the request was admitted.
func TestFurtherAttemptsAfterShortenedTimeout(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	breakOffAfter(t, f, func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) { route["timeoutMs"] = 100 })
	})
}

// Guards against further attempts past the deadline that a request was admitted with, because its
// route's timeout was lengthened.
func TestFurtherAttemptsAfterLengthenedTimeoutKeepTheDeadline(t *testing.T) {
	const timeout = 800 * time.Millisecond
	f := startUnderWayFleet(t, underWayOptions())
	f.configure(func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) { route["timeoutMs"] = timeout.Milliseconds() }, "safe")
	})
	opened := openRequests(f, "open", underWayCount, "safe")
	f.configure(func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) { route["timeoutMs"] = 4000 }, "safe")
	})
	breakOffZone(f, 0)
	for _, result := range opened.outcomes() {
		require.NoError(t, result.err, result.id)
		assert.Equal(t, http.StatusGatewayTimeout, result.answer.Status, result.id)
		assert.InDelta(t, timeout.Seconds(), result.duration.Seconds(), 0.4, result.id)
	}
}

// Guards against streams that are cut because their route allows fewer attempts than when they began.
func TestFurtherAttemptsAfterLoweredAttempts(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	breakOffAfter(t, f, func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) { route["maxAttempts"] = 1 })
	})
}

// Guards against streams that are cut, half way through, because their route is no longer resumable.
func TestFurtherAttemptsAfterRouteIsNoLongerResumable(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	breakOffAfter(t, f, func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) { route["streamResume"] = false }, "stream")
	})
}

// Guards against the opposite: a request that was admitted when it could not be repeated is not
// repeated when its route becomes repeatable.
func TestNoFurtherAttemptsAfterRouteBecomesRepeatable(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	breakOffAfter(t, f, func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) { route["routeType"] = "idempotent" }, "once")
	})
}

// Guards against further attempts that fail with the removal of their tenant, or that are sent
// without its name.
func TestFurtherAttemptsAfterRemovalOfTenant(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	breakOffAfter(t, f, func(configuration map[string]any) {
		configuration["tenants"] = []any{map[string]any{"name": "tenant-two", "apiKeys": []string{site.Key}}}
	})
	for _, run := range f.Site.Requests.Runs() {
		assert.Equal(t, site.Tenant, run.Tenant, run.RequestID)
	}
}

// Guards against further attempts that fail because their key was revoked.
func TestFurtherAttemptsAfterRevocationOfKey(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	breakOffAfter(t, f, revoke)
}

// Guards against answers that are put together from two services: further attempts stay in the
// service that the request was admitted to.
func TestFurtherAttemptsStayInTheServiceOfARouteThatMoved(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	startSecondService(t, f)
	_, brokenAt := breakOffAfter(t, f, moveRoutes(secondService))
	for _, arrival := range furtherAttempts(f, "safe", brokenAt) {
		assert.Equal(t, site.PlainService, arrival.Service, arrival.RequestID)
	}
}

// Guards against streams that are cut because the present configuration has no service for their
// further attempts.
func TestFurtherAttemptsAfterRemovalOfServices(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	breakOffAfter(t, f, func(configuration map[string]any) {
		site.RemoveNamed(configuration, "services", site.ModelService, site.PlainService)
	})
}

// Guards against further attempts that panic, or fail, because their route has no services any more.
func TestFurtherAttemptsOfARouteWithoutServices(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	breakOffAfter(t, f, func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) {
			delete(route, "service")
			route["weightedBackends"] = []any{}
		})
	})
}

// Guards against further attempts that fail because the body, which was read under a higher limit, is
// larger than the present one.
func TestFurtherAttemptsAfterLoweredBodyLimit(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	breakOffAfter(t, f, func(configuration map[string]any) { configuration["limits"].(map[string]any)["maxBodyBytes"] = 1 })
}

// HOME: guards against further attempts in a region that the present configuration does not allow.
func TestFurtherAttemptsKeepToNarrowedRegions(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	_, brokenAt := breakOffAfter(t, f, restrictRoutes(site.RegionName(1)))
	for _, kind := range requestKinds {
		for _, arrival := range furtherAttempts(f, kind, brokenAt) {
			assert.Equal(t, site.RegionName(1), arrival.Region, arrival.RequestID)
		}
	}
}

// HOME: guards against further attempts in a region that is allowed only since the request was
// admitted.
func TestFurtherAttemptsKeepToRegionsOfAdmission(t *testing.T) {
	options := underWayOptions()
	options.PlainServers = 2
	f := startUnderWayFleet(t, options, restrictRoutes(site.RegionName(0)))
	opened := openRequests(f, "open", underWayCount, "stream", "safe")
	f.configure(restrictRoutes())
	for _, services := range []map[string]*site.Server{f.Site.Models, f.Site.Plain} {
		for _, server := range services {
			if server.Running() > 0 {
				server.BreakOff()
				break
			}
		}
	}
	assertAnswered(t, f, opened.outcomes())
	for _, arrival := range f.Site.Requests.Arrivals() {
		assert.Equal(t, site.RegionName(0), arrival.Region, arrival.RequestID)
	}
}

// Guards against streams that are cut because the agents of a removed service report, some time after
// its removal, that their servers hold no weights.
func TestLaterFurtherAttemptsAfterRemovalOfServices(t *testing.T) {
	f := startUnderWayFleet(t, underWayOptions())
	opened := openRequests(f, "open", underWayCount, "stream")
	f.configure(func(configuration map[string]any) { site.RemoveNamed(configuration, "services", site.ModelService) })
	time.Sleep(600 * time.Millisecond)
	brokenAt := time.Now()
	breakOffZone(f, 0)
	assertAnswered(t, f, opened.outcomes())
	assert.NotEmpty(t, furtherAttempts(f, "stream", brokenAt))
}
