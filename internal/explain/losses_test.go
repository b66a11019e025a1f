package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const lossLines = `{"ts":"2026-12-02T10:00:01.2Z","process":"entry-1","event":"PV4102","msg":"x","status":200,"took":1.2,"first_event":0.1,"target":0.4,"target_gap":0.3,"longest_pause":0.2,"route":"a"}
{"ts":"2026-12-02T10:00:01.3Z","process":"entry-1","event":"PV4102","msg":"x","status":200,"took":1.2,"first_event":0.5,"target":0.4,"target_gap":0.3,"longest_pause":0.2,"route":"a"}
{"ts":"2026-12-02T10:00:03.4Z","process":"entry-2","event":"PV4102","msg":"x","status":200,"took":1,"first_event":0.1,"target":0.4,"target_gap":0.3,"longest_pause":0.6,"route":"b"}
{"ts":"2026-12-02T10:00:03.5Z","process":"entry-2","event":"PV4104","msg":"x","execution":"not-run","reason":"overloaded","took":0,"route":"b"}
{"ts":"2026-12-02T10:00:03.6Z","process":"entry-2","event":"PV4101","msg":"x"}
`

// A request is counted in the time window in which it started, and a loss under its reason.
func TestLossesAreCountedByTimeRouteAndProcess(t *testing.T) {
	lines, err := Read(strings.NewReader(lossLines))
	require.NoError(t, err)
	var text strings.Builder
	require.NoError(t, CountLosses(lines).Write(&text, 2*time.Second))
	assert.Regexp(t, `0\.0 +2 +1\.00 +0\.50 +1 late\n`, text.String())
	assert.Regexp(t, `2\.0 +2 +0\.50 +0\.00 +1 paused, 1 refused: overloaded\n`, text.String())
	assert.Regexp(t, `\na +2 +1\.00 +0\.50 +1 late\n`, text.String())
	assert.Regexp(t, `entry-2 +2 +0\.50 +0\.00`, text.String())
}

// Refusals of the largest tenth of a route are reported separately from the rest of the route.
func TestLossesAreSplitBySize(t *testing.T) {
	var text strings.Builder
	for prompt := 1; prompt <= 20; prompt++ {
		ending := `"event":"PV4102","status":200,"took":0.1`
		if prompt > 18 {
			ending = `"event":"PV4104","execution":"not-run","reason":"overloaded"`
		}
		fmt.Fprintf(&text, `{"ts":"2026-12-02T10:00:01.2Z","process":"entry-1","msg":"x","route":"a","prompt_tokens":%d,"answer_tokens":10,%s}`+"\n", 100*prompt, ending)
	}
	lines, err := Read(strings.NewReader(text.String()))
	require.NoError(t, err)
	var table strings.Builder
	require.NoError(t, CountLosses(lines).Write(&table, time.Second))
	assert.Regexp(t, `a largest tenth +2 +0\.00 +0\.00 +2 refused: overloaded\n`, table.String())
	assert.Regexp(t, `a fifth below +4 +1\.00`, table.String())
	assert.Regexp(t, `a smallest tenth +2 +1\.00`, table.String())
}
