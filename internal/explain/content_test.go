package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The story of a request that was withheld for its content tells which servers ended under it, and who
// found that out, though no line of these names the request.
func TestWithheldContentIsExplained(t *testing.T) {
	lines, err := Read(strings.NewReader(`
{"ts":"2026-01-01T00:00:01Z","msg":"server ended under requests","process":"entry-b","event":"PV4210","server":"i-1","requests":2,"contents":["aa","bb"]}
{"ts":"2026-01-01T00:00:02Z","msg":"server ended under requests","process":"entry-b","event":"PV4210","server":"i-2","requests":1,"contents":["cc"]}
{"ts":"2026-01-01T00:00:03Z","msg":"content quarantined","process":"entry-a","event":"PV4211","content":"aa","servers":["i-1","i-3"],"left":3600,"entry":"10.0.0.9"}
{"ts":"2026-01-01T00:01:00Z","msg":"content withheld","process":"entry-a","event":"PV4110","request":"r","content":"aa","reason":"content-quarantined","servers":["i-1","i-3"],"left":3540}
{"ts":"2026-01-01T00:01:00Z","msg":"request given up","process":"entry-a","event":"PV4104","request":"r","status":503,"reason":"content-quarantined","execution":"not-run"}
`))
	require.NoError(t, err)
	story := Explain(lines, "r")
	assert.Len(t, story.Lines, 4, "the end of the server that had another content is left out")
	assert.Contains(t, story.Cause, "certain not to have run")
	assert.Contains(t, story.Cause, `servers have ended under its content aa, the last ones ["i-1","i-3"] (content-quarantined, for 3540 s more)`)
	assert.Contains(t, story.Cause, "10.0.0.9 found that out at 00:00:03.000")
}
