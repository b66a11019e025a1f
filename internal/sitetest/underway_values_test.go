package sitetest

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/logging"
)

// oddValues are values that the fields of a configuration may have by the format. Where a field is not
// a number of that range, the configuration is rejected.
var oddValues = []any{nil, 0, -1, 1e300, math.MaxInt64}

// oddChanges are the fields that get odd values, by name, as a change that sets one.
var oddChanges = map[string]func(configuration map[string]any, value any){}

func init() {
	for _, field := range []string{
		"name", "host", "routeType", "timeoutMs", "targetLatencyMs", "targetGapMs", "priority", "service", "weightedBackends",
		"maxAttempts", "allowAnonymous", "streamResume", "allowedRegions",
	} {
		oddChanges["routes."+field] = func(configuration map[string]any, value any) {
			site.ChangeRoutes(configuration, func(route map[string]any) { route[field] = value })
		}
	}
	oddChanges["routes.weight"] = func(configuration map[string]any, value any) {
		site.ChangeRoutes(configuration, func(route map[string]any) {
			service := map[string]any{"service": route["service"], "weight": value}
			route["weightedBackends"] = []any{service, service}
		})
	}
	for _, field := range []string{
		"slots", "kvCacheTokens", "stride", "step_ms", "per_seq_ms", "context_per_k", "read_per_s", "chunk", "usual", "models", "layers", "chunks", "chunkBytes",
	} {
		oddChanges["engine."+field] = func(configuration map[string]any, value any) { engineOf(configuration)[field] = value }
	}
	for _, field := range []string{"prompt", "answer"} {
		oddChanges["engine.usual."+field] = func(configuration map[string]any, value any) {
			engineOf(configuration)["usual"].(map[string]any)[field] = value
		}
	}
	for _, field := range []string{"coldStartS", "coldPerS", "maxConnections", "engine", "origin", "linkMbps"} {
		oddChanges["services."+field] = func(configuration map[string]any, value any) {
			for _, service := range configuration["services"].([]any) {
				service.(map[string]any)[field] = value
			}
		}
	}
	for _, field := range []string{"maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"} {
		oddChanges["limits."+field] = func(configuration map[string]any, value any) { configuration["limits"].(map[string]any)[field] = value }
	}
	for _, field := range []string{"routes", "services", "limits", "tenants"} {
		oddChanges[field] = func(configuration map[string]any, value any) { configuration[field] = value }
	}
}

func engineOf(configuration map[string]any) map[string]any {
	return configuration["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
}

// configureOnce publishes a configuration with a change that later ones do not have, waits until the
// entry has applied or rejected it, and reports whether it applied it.
func (f *Fleet) configureOnce(change func(configuration map[string]any)) (applied bool) {
	f.t.Helper()
	version, revision := f.Site.ConfigureOnce(change)
	rejected := fmt.Sprintf(`"revision":%d,`, revision)
	f.Eventually("the configuration is applied or rejected", 2*time.Second, func() bool {
		applied = f.configurationApplied(version)
		return applied || countEvents(f, logging.SnapshotRejected.Number, rejected) > 0
	})
	return applied
}

// Guards against values of a configuration that make the handlers of requests panic, or that end a
// process: each request is answered or refused, whatever the configuration holds, and a usable
// configuration is in force again after it.
func TestOddConfigurationValuesLeaveNoRequestUnanswered(t *testing.T) {
	groups := map[string][]string{}
	for _, field := range slices.Sorted(maps.Keys(oddChanges)) {
		group, _, _ := strings.Cut(field, ".")
		groups[group] = append(groups[group], field)
	}
	for group, fields := range groups {
		t.Run(group, func(t *testing.T) {
			t.Parallel()
			sendBesideOddValues(t, fields)
		})
	}
}

func sendBesideOddValues(t *testing.T, fields []string) {
	options := DefaultOptions()
	options.Zones, options.Entries, options.ModelServers = 1, 1, 1
	options.TimeoutMs, options.EventTime = 400, time.Millisecond
	f := Start(t, options)
	for _, field := range fields {
		for _, value := range oddValues {
			name := fmt.Sprintf("%s=%v", field, value)
			if !f.configureOnce(func(configuration map[string]any) { oddChanges[field](configuration, value) }) {
				continue
			}
			var running sync.WaitGroup
			for _, kind := range requestKinds {
				running.Go(func() {
					result := f.send(t.Context(), kind, 0, 0, name+"-"+kind)
					assert.NoError(t, result.err, "%s of %s", kind, name)
				})
			}
			running.Wait()
		}
	}
	assert.Zero(t, countEvents(f, logging.HandlerPanicked.Number, ""), "handlers panicked")
	f.configure(func(map[string]any) {})
	for _, kind := range requestKinds {
		require.Equal(t, http.StatusOK, statusOfKind(t, f, kind, "after-"+kind), kind)
	}
}
