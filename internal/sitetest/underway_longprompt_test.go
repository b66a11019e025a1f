package sitetest

import (
	"testing"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// startLongPromptFleet starts a fleet whose model servers read a prompt for longer than an agent's
// reports may stop before the agent counts as silent.
func startLongPromptFleet(t *testing.T) *Fleet {
	options := underWayOptions()
	options.ReadPerSecond, options.TimeoutMs = shortPrompt/1.7, 8000
	f := Start(t, options)
	f.configure(func(configuration map[string]any) {
		site.ChangeRoutes(configuration, func(route map[string]any) { route["targetLatencyMs"] = 4000 })
	})
	return f
}

// Guards against streams that are given up, before their first event, because their servers are no
// longer listed: the entries then closed their links to the agents, and took that for the agents'
// silence.
func TestDelistedServersLetStreamsWithLongPromptsFinish(t *testing.T) {
	f := startLongPromptFleet(t)
	opened := openRequests(f, "open", 4, "patient-stream")
	for _, server := range f.Site.Models {
		server.StopHeartbeats()
	}
	assertAnswered(t, f, opened.outcomes())
	assertNotRunTwice(t, f, "patient-stream")
}

// Guards against streams that are given up, before their first event, because their service is
// removed: the entries then closed their links to its agents, and took that for the agents' silence.
func TestRemovedServiceLetsStreamsWithLongPromptsFinish(t *testing.T) {
	f := startLongPromptFleet(t)
	opened := openRequests(f, "open", 4, "patient-stream")
	f.configure(func(configuration map[string]any) { site.RemoveNamed(configuration, "services", site.ModelService) })
	assertAnswered(t, f, opened.outcomes())
	assertNotRunTwice(t, f, "patient-stream")
}

// startSlowStreams starts a fleet and streams that have an event every half a second, which is longer
// than an attempt at a server under suspicion may be silent.
func startSlowStreams(t *testing.T) (*Fleet, *openedRequests) {
	options := underWayOptions()
	options.EventTime = slowStreamEventTime
	f := Start(t, options)
	opened := openRequests(f, "open", underWayCount, "slow-stream")
	time.Sleep(slowStreamEventTime + 100*time.Millisecond)
	return f, opened
}

// Guards against callers of streams under way whose connections are closed in the middle, without an
// end, because the service of the streams is removed.
func TestRemovedServiceLetsSlowStreamsFinish(t *testing.T) {
	f, opened := startSlowStreams(t)
	f.configure(func(configuration map[string]any) { site.RemoveNamed(configuration, "services", site.ModelService) })
	assertAnswered(t, f, opened.outcomes())
	assertNotRunTwice(t, f, "slow-stream")
}

// Guards against the same cut because the servers of the streams are no longer listed.
func TestDelistedServersLetSlowStreamsFinish(t *testing.T) {
	f, opened := startSlowStreams(t)
	for _, server := range f.Site.Models {
		server.StopHeartbeats()
	}
	assertAnswered(t, f, opened.outcomes())
	assertNotRunTwice(t, f, "slow-stream")
}
