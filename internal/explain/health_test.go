package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const healthLines = `{"ts":"2026-12-02T10:00:00Z","process":"entry-1","event":"PV4105","msg":"x","request":"first","attempt":1,"server":"i-1","reason":"backend-failed"}
{"ts":"2026-12-02T10:00:00.1Z","process":"entry-1","event":"PV4104","msg":"x","request":"first","execution":"unknown"}
{"ts":"2026-12-02T10:00:00.25Z","process":"entry-1","event":"PV4204","msg":"x","server":"i-1","by":"told","entry":"10.0.0.7","for":1}
{"ts":"2026-12-02T10:00:00.5Z","process":"entry-1","event":"PV4105","msg":"x","request":"under-way","attempt":1,"server":"i-1","reason":"overdue"}
{"ts":"2026-12-02T10:00:00.5Z","process":"entry-1","event":"PV4104","msg":"x","request":"under-way","execution":"unknown"}
{"ts":"2026-12-02T10:00:01.4Z","process":"entry-1","event":"PV4209","msg":"x","request":"trial","server":"i-1"}
{"ts":"2026-12-02T10:00:01.5Z","process":"entry-1","event":"PV4105","msg":"x","request":"trial","attempt":1,"server":"i-1","reason":"backend-failed"}
{"ts":"2026-12-02T10:00:01.5Z","process":"entry-1","event":"PV4104","msg":"x","request":"trial","execution":"unknown"}
{"ts":"2026-12-02T10:00:05Z","process":"entry-2","event":"PV4105","msg":"x","request":"elsewhere","attempt":1,"server":"i-1","reason":"backend-failed"}
{"ts":"2026-12-02T10:00:05Z","process":"entry-2","event":"PV4104","msg":"x","request":"elsewhere","execution":"unknown"}
`

func TestEjectionOfFailingServerIsExplained(t *testing.T) {
	lines, err := Read(strings.NewReader(healthLines))
	require.NoError(t, err)
	assert.Contains(t, Explain(lines, "first").Cause, "the server was ejected 0.250 s after that, reported by entry 10.0.0.7")
	assert.Contains(t, Explain(lines, "under-way").Cause, "the server had been ejected 0.250 s before")
	assert.Contains(t, Explain(lines, "trial").Cause, "the request was a trial of that server, which had been ejected or was unreachable for its agent")
	assert.NotContains(t, Explain(lines, "elsewhere").Cause, "ejected")
}
