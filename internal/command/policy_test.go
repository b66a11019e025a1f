package command

import (
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/forward"
)

// The defaults of the flags must equal those of the policy, and every weight out of range must be
// rejected.
func TestEntryPolicyFlagsAreValidated(t *testing.T) {
	var command entryCommand
	_, err := flags.NewParser(&command, flags.None).ParseArgs(nil)
	require.NoError(t, err)
	assert.Equal(t, forward.DefaultPolicy(), command.Decisions)
	require.NoError(t, command.Decisions.Check())
	for _, argument := range []string{"--refusal-share=11", "--in-time-share=1", "--late-share=1.1", "--late-share=-0.1", "--unseen-load=-1", "--unseen-load=3", "--lateness=NaN", "--switch-weight=2.1", "--scarcity=2.1", "--sample-size=0"} {
		_, err := flags.NewParser(&command, flags.None).ParseArgs([]string{argument})
		require.NoError(t, err, argument)
		var invalid *fault.InvalidSetting
		assert.ErrorAs(t, command.Decisions.Check(), &invalid, argument)
		command = entryCommand{Decisions: forward.DefaultPolicy()}
	}
}
