package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A server that switches versions, serves nothing or does not answer its agent is excluded, and the refusal
// says which.
func TestEligibilityReasons(t *testing.T) {
	now := epoch
	request := &Request{Engine: &Engine{}}
	changing, empty, unreachable, leaving, ejected := modelServer(now, 0), modelServer(now, 0), modelServer(now, 0), modelServer(now, 0), modelServer(now, 0)
	changing.report.SwitchPlanned, changing.report.SwitchIn = true, 100*time.Millisecond
	empty.report.Version = 0
	unreachable.report.Reachable = false
	leaving.listing.server.Draining = true
	ejected.ID = "i-2"
	core := testCore("z", nil)
	core.health.SetServers("s", []string{"i-1", "i-2"})
	eject(core, ejected, now)
	for want, server := range map[Eligibility]*Candidate{
		excludedSwitching: changing, excludedEmpty: empty, excludedUnreachable: unreachable, excludedLeaving: leaving, excludedEjected: ejected,
	} {
		assert.Equal(t, want, core.eligibility(server, request, now))
	}
}
