package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const repeatLines = `{"ts":"2026-12-02T10:00:00Z","process":"entry-1","event":"PV4109","msg":"x","request":"refused","servers":{"usable":2},"soonest":0.3,"limit":0.2,"since_first_attempt":1.25}
{"ts":"2026-12-02T10:00:00Z","process":"entry-1","event":"PV4104","msg":"x","request":"refused","execution":"not-run","reason":"overloaded","status":503}
{"ts":"2026-12-02T10:00:01Z","process":"entry-1","event":"PV4101","msg":"x","request":"answered","since_first_attempt":1.5}
{"ts":"2026-12-02T10:00:02Z","process":"entry-1","event":"PV4102","msg":"x","request":"answered","status":200,"server":"s"}
{"ts":"2026-12-02T10:00:01Z","process":"entry-1","event":"PV4101","msg":"x","request":"first","since_first_attempt":0}
{"ts":"2026-12-02T10:00:02Z","process":"entry-1","event":"PV4102","msg":"x","request":"first","status":200,"server":"s"}
`

// The cause mentions that the caller had been refused before.
func TestCauseMentionsRepeatedAttempts(t *testing.T) {
	lines, err := Read(strings.NewReader(repeatLines))
	require.NoError(t, err)
	assert.Contains(t, Explain(lines, "refused").Cause, "the caller had retried, 1.250 s or more after its first attempt")
	assert.Contains(t, Explain(lines, "answered").Cause, "the caller had retried, 1.500 s or more")
	assert.NotContains(t, Explain(lines, "first").Cause, "retried")
}

const orderLines = `{"ts":"2026-12-02T10:00:00Z","process":"entry-1","event":"PV3000","msg":"x","model":"m","version":2}
{"ts":"2026-12-02T10:00:01Z","process":"agent-1","event":"PV3006","msg":"x","version":2}
{"ts":"2026-12-02T10:00:02Z","process":"agent-1","event":"PV3006","msg":"x","version":2}
{"ts":"2026-12-02T10:00:03Z","process":"entry-1","event":"PV4109","msg":"x","request":"refused","servers":{"usable":2},"soonest":0.3,"limit":0.2}
{"ts":"2026-12-02T10:00:03Z","process":"entry-1","event":"PV4104","msg":"x","request":"refused","execution":"not-run","reason":"overloaded","status":503}
`

// Guards against a server that is ordered twice and counts as two.
func TestRepeatedOrderCountsOneServer(t *testing.T) {
	lines, err := Read(strings.NewReader(orderLines))
	require.NoError(t, err)
	assert.Contains(t, Explain(lines, "refused").Cause, "1 servers had been ordered")
}

const unansweredLines = `{"ts":"2026-12-02T10:00:00Z","process":"entry-1","event":"PV4101","msg":"x","request":"panicked"}
{"ts":"2026-12-02T10:00:01Z","process":"entry-1","event":"PV4112","msg":"x","request":"panicked","panic":"broken"}
{"ts":"2026-12-02T10:00:01Z","process":"entry-1","event":"PV4111","msg":"x","request":"panicked","cause":"panic","took":1.25}
{"ts":"2026-12-02T10:00:00Z","process":"entry-1","event":"PV4101","msg":"x","request":"stopped"}
{"ts":"2026-12-02T10:00:01Z","process":"entry-1","event":"PV4111","msg":"x","request":"stopped","cause":"stop","took":0.5}
`

// Guards against a request without an ending whose cause nobody can tell.
func TestRequestWithoutAnAnswerIsExplained(t *testing.T) {
	lines, err := Read(strings.NewReader(unansweredLines))
	require.NoError(t, err)
	assert.Contains(t, Explain(lines, "panicked").Cause, "without a complete answer after 1.250 s: panic; its handler panicked: broken")
	assert.Contains(t, Explain(lines, "stopped").Cause, "after 0.500 s: stop")
}

const deniedRetryLines = `{"ts":"2026-12-02T10:00:00Z","process":"entry-1","event":"PV4101","msg":"x","request":"denied"}
{"ts":"2026-12-02T10:00:01Z","process":"entry-1","event":"PV4105","msg":"x","request":"denied","reason":"backend-failed","server":"s"}
{"ts":"2026-12-02T10:00:01Z","process":"entry-1","event":"PV4106","msg":"x","request":"denied","because":"budget","window_requests":40,"window_retries":8,"allowed_by_ratio":6.4,"allowed_by_slack":2.1,"members":9,"process_age":4.5,"established":false}
{"ts":"2026-12-02T10:00:01Z","process":"entry-1","event":"PV4104","msg":"x","request":"denied","execution":"unknown","reason":"backend-failed","status":502}
`

// Guards against a retry that the budget denied without anything telling what it was spent on.
func TestDeniedRetryIsExplainedByItsBudget(t *testing.T) {
	lines, err := Read(strings.NewReader(deniedRetryLines))
	require.NoError(t, err)
	assert.Contains(t, Explain(lines, "denied").Cause,
		"budget (8 retries were spent in the window; 6.4 were allowed for its 40 requests, and 2.1 as this entry's share of the slack among 9 entries; the process had run for 4.5 s; it spends less until a whole window has passed, since a former process of this entry may have spent the rest)")
}
