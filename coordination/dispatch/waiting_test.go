package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// An agent with a complete older version switches to it though pieces of the newest are missing: the
// announced time until the switch runs out as the report ages.
func TestSwitchToACompleteOlderVersionCounts(t *testing.T) {
	s := newScript(t, "a1", "b1")
	s.at(time.Second)
	s.report("a1", 550*time.Millisecond, LoadReport{Version: 1, FetchingVersion: 3, MissingPieces: 50, SwitchPlanned: true, SwitchIn: 600 * time.Millisecond})
	assert.Equal(t, excludedSwitching, s.core.eligibility(s.candidate("a1"), s.request(), s.now))
}
