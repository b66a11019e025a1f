package rollout

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/dissemination"
)

func baseOptions() Options {
	return Options{
		Machines: 120, Zones: 3, Regions: 3, Chunks: 96, Strategy: dissemination.StrategyRotated,
		Duplex: DuplexFull, Seed: 1, OriginCopies: 1,
	}
}

func TestRolloutWithoutFaultsIsNearTheLowerBound(t *testing.T) {
	result := Simulate(baseOptions())
	assert.Equal(t, 120, result.Live)
	assert.LessOrEqual(t, result.Ratio, 1.35)
	assert.LessOrEqual(t, result.OriginCopies, 1.05)
	assert.InDelta(t, 2.0, result.ZoneCrossings, 0.2, "each chunk enters each of the other zones once")
}

func TestTheSameSeedGivesTheSameResult(t *testing.T) {
	options := baseOptions()
	options.Dead, options.Stalled, options.Corrupt, options.StaleList = 0.02, 0.02, 0.01, 0.05
	assert.Equal(t, Simulate(options), Simulate(options))
}

func TestEveryFaultMixConvergesWithinTheOriginBudget(t *testing.T) {
	for seed := range uint64(8) {
		options := baseOptions()
		options.Seed = seed
		options.Dead, options.Stalled, options.Corrupt, options.StaleList = 0.04, 0.04, 0.01, 0.1
		options.Partition = seed%2 == 1
		result := Simulate(options)
		assert.True(t, result.Converged, "seed %d: %d live, %d dead", seed, result.Live, result.Dead)
		assert.LessOrEqual(t, result.OriginCopies, 4.0, "seed %d", seed)
		assert.Zero(t, result.MixedOrPartial, "seed %d", seed)
	}
}

func TestEveryStrategyCompletes(t *testing.T) {
	for _, strategy := range dissemination.Strategies {
		options := baseOptions()
		options.Machines, options.Chunks, options.Strategy = 24, 32, strategy
		result := Simulate(options)
		assert.True(t, result.Converged, string(strategy))
	}
}

// A plan that was not a tree made a fetcher loop without completing.
func TestPullCompletesWhenMachinesAvoidEachOther(t *testing.T) {
	options := baseOptions()
	options.Strategy, options.Stalled, options.Dead = dissemination.StrategyPull, 0.05, 0.05
	assert.True(t, Simulate(options).Converged)
}

func TestHeldChunksAreNotFetchedAgain(t *testing.T) {
	options := baseOptions()
	options.HeldFraction = 0.6
	result := Simulate(options)
	assert.True(t, result.Converged)
	assert.LessOrEqual(t, result.OriginCopies, 0.5, "about 40 of 100 chunks are missing")
}

func TestHalfDuplexCompletes(t *testing.T) {
	options := baseOptions()
	options.Duplex = DuplexHalf
	assert.True(t, Simulate(options).Converged)
}

func TestCorruptWeightsAreCountedWithoutVerification(t *testing.T) {
	options := baseOptions()
	options.Corrupt, options.SkipVerification = 0.01, true
	assert.Positive(t, Simulate(options).MixedOrPartial)
}
