package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/internal/fleet"
)

// The trial of a server that was not reached has the time that the service's answers usually
// take: those of a service that answers after half a second else all fail, for good.
func TestTrialHasTheUsualTime(t *testing.T) {
	f, w := healthFleet(fleet.Repeatable, 3)
	server := f.server("i-0")
	eject(f.targets, server.Candidate)
	time.Sleep(300 * time.Millisecond)
	choice, refusal := f.targets.choose(w)
	require.Nil(t, refusal)
	require.True(t, choice.Trial)
	w.sentAt = time.Now()
	judge := w.silence(server, 0)
	assert.NoError(t, judge(450*time.Millisecond, 500*time.Millisecond))
}

// The only server of a service is given the usual time too, whatever it has shown before.
func TestOnlyServerHasTheUsualTime(t *testing.T) {
	f, w := healthFleet(fleet.Repeatable, 1)
	server := f.server("i-0")
	eject(f.targets, server.Candidate)
	require.Equal(t, health.Ejected.String(), f.state("i-0"))
	choice, refusal := f.targets.choose(w)
	require.Nil(t, refusal)
	w.sentAt = time.Now()
	judge := w.silence(choice.target, 0)
	assert.NoError(t, judge(450*time.Millisecond, 500*time.Millisecond))
}
