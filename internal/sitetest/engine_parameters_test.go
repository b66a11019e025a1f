package sitetest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/logging"
)

// dropEngineParameters removes speed and size parameters from the published engine.
func dropEngineParameters(names ...string) func(configuration map[string]any) {
	return func(configuration map[string]any) {
		engine := configuration["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
		for _, name := range names {
			delete(engine, name)
		}
	}
}

// A configuration that lacks parameters of its engine is used, also under concurrent requests, and
// each entry logs the missing parameters once.
func TestMissingEngineParametersAreLogged(t *testing.T) {
	f := Start(t, DefaultOptions())
	version := f.Site.Configure(dropEngineParameters("read_per_s", "step_ms", "usual"))
	f.Eventually("the configuration is applied", 2*time.Second, func() bool { return f.configurationApplied(version) })
	var callers sync.WaitGroup
	for number := range 24 {
		callers.Go(func() {
			answer, err := f.Stream(context.Background(), number%2, number/2%2, fmt.Sprintf("lacking-%d", number), 5)
			if assert.NoError(t, err) {
				assert.Equal(t, http.StatusOK, answer.Status)
				assert.Len(t, answer.Events, 5)
			}
		})
	}
	callers.Wait()
	entries := f.Site.Options.Zones * f.Site.Options.Entries
	f.Eventually("every entry has logged the missing parameters", 2*time.Second, func() bool {
		return countEvents(f, logging.FiguresMissing.Number, `"figures":["step_milliseconds","read_per_second","usual_prompt","usual_answer"]`) == entries
	})
}
