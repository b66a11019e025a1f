package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// An agent that has a whole older version changes over to it though the newest lacks pieces: the
// time that it told runs out as the word ages.
func TestSwitchToAWholeOlderVersionCounts(t *testing.T) {
	s := newScript(t, "a1", "b1")
	s.at(time.Second)
	s.hear("a1", 550*time.Millisecond, LoadReport{Version: 1, FetchingVersion: 3, MissingPieces: 50, SwitchPlanned: true, SwitchIn: 600 * time.Millisecond})
	assert.Equal(t, excludedSwitching, s.core.eligibility(s.candidate("a1"), s.request(), s.now))
}
