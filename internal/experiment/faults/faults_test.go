package faults

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func options(schedules int) Options {
	return Options{Schedules: schedules, Seed: 7, FaultsPerSchedule: 10}
}

func TestPromisesHoldUnderEverySchedule(t *testing.T) {
	result := Run(options(400))
	for _, promise := range Promises {
		assert.Zero(t, result.Violations[promise], "%s: %+v", promise, result.First)
	}
	for _, kind := range Kinds {
		assert.Positive(t, result.Faults[kind], string(kind))
	}
	assert.Greater(t, result.AnsweredShare, 0.9)
}

func TestEachSafeguardBites(t *testing.T) {
	bites := map[Safeguard]Promise{
		SafeguardTombstones: AtMostOnce,
		SafeguardFence:      OrdersForward,
		SafeguardVerify:     WholeVersion,
		SafeguardMonotonic:  NeverBack,
		SafeguardEscrow:     LimitHeld,
		SafeguardPinning:    WholeVersion,
		SafeguardDrain:      StopCutsNone,
	}
	for _, safeguard := range Safeguards {
		broken := options(600)
		broken.Break = safeguard
		result := Run(broken)
		assert.Positive(t, result.Violations[bites[safeguard]], string(safeguard))
	}
}

func TestAFailureIsShrunk(t *testing.T) {
	broken := options(50)
	broken.Break = SafeguardMonotonic
	result := Run(broken)
	assert.NotNil(t, result.First)
	assert.LessOrEqual(t, len(result.First.Faults), 3, "%v", result.First.Faults)
}

func TestTheSameSeedGivesTheSameResult(t *testing.T) {
	assert.Equal(t, Run(options(20)), Run(options(20)))
}
