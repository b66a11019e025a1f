package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An evacuation that the entry received long before the request is the cause of the refusal, unless
// it was lifted since. Evacuations that only other entries received are not.
const evacuationLines = `{"ts":"2026-12-02T10:00:00Z","process":"entry-1","event":"PV2009","msg":"x","zone":"hall-0","servers":2}
{"ts":"2026-12-02T10:00:01Z","process":"entry-1","event":"PV2009","msg":"x","zone":"hall-1","servers":2}
{"ts":"2026-12-02T10:00:02Z","process":"entry-1","event":"PV2010","msg":"x","zone":"hall-1","servers":2}
{"ts":"2026-12-02T10:00:03Z","process":"entry-2","event":"PV2009","msg":"x","zone":"hall-2","servers":2}
{"ts":"2026-12-02T10:00:42.5Z","process":"entry-1","event":"PV4109","msg":"x","request":"r","servers":{"zone evacuated":2}}
{"ts":"2026-12-02T10:00:42.5Z","process":"entry-1","event":"PV4104","msg":"x","request":"r","execution":"not-run","reason":"no-replica","status":503}
{"ts":"2026-12-02T10:00:43Z","process":"entry-1","event":"PV4109","msg":"x","request":"other","servers":{"ejected":2}}
{"ts":"2026-12-02T10:00:43Z","process":"entry-1","event":"PV4104","msg":"x","request":"other","execution":"not-run","reason":"no-replica","status":503}
`

func TestEvacuationIsTheCauseOfARefusal(t *testing.T) {
	lines, err := Read(strings.NewReader(evacuationLines))
	require.NoError(t, err)
	explanation := Explain(lines, "r")
	assert.Contains(t, explanation.Cause, "zone hall-0 had been evacuated 42.500 s before")
	assert.NotContains(t, explanation.Cause, "hall-1")
	assert.NotContains(t, explanation.Cause, "hall-2")
	assert.Equal(t, "hall-0", explanation.Lines[0].text("zone"), "the line is part of the explanation")
	assert.NotContains(t, Explain(lines, "other").Cause, "evacuated")
}
