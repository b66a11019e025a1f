package shedding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// detectorAfter returns the detector of a route after a number of arrivals, five a second, with the
// given remaining times in turn.
func detectorAfter(count int, remaining ...time.Duration) (*RetryDetector, time.Duration) {
	detector, now := &RetryDetector{}, time.Duration(0)
	for i := range count {
		now += 200 * time.Millisecond
		detector.RecordArrival(now, remaining[i%len(remaining)])
	}
	return detector, now
}

// A retry has less remaining time than any first attempt, by at least the time it has waited.
func TestRetryIsIdentifiedByRemainingTime(t *testing.T) {
	detector, now := detectorAfter(60, 6*time.Second, 5600*time.Millisecond, 5100*time.Millisecond)
	assert.InDelta(t, 0.7, detector.RecordArrival(now, 4400*time.Millisecond).Seconds(), 0.05)
	assert.Zero(t, detector.RecordArrival(now, 5200*time.Millisecond), "first attempts differ by as much")
	assert.Zero(t, detector.RecordArrival(now, 0), "a caller without a deadline")
}

func TestFewArrivalsIdentifyNoRetries(t *testing.T) {
	detector, now := detectorAfter(15, 6*time.Second)
	assert.Zero(t, detector.RecordArrival(now, 3*time.Second), "arrivals of the first two seconds are ignored")
	sparse, now := detectorAfter(16, 6*time.Second, 5500*time.Millisecond)
	assert.Zero(t, sparse.RecordArrival(now, 5400*time.Millisecond), "with few samples the shortest may not have been seen")
	assert.Positive(t, sparse.RecordArrival(now, 4500*time.Millisecond))
}

// While refused callers may retry, their remaining times must not be learned as those of first
// attempts.
func TestNothingIsLearnedWhileRefusedCallersMayRetry(t *testing.T) {
	detector, now := detectorAfter(60, 6*time.Second)
	for i := range 40 {
		at := now + time.Duration(i)*40*time.Millisecond
		detector.RecordRefusal(at, 6*time.Second)
		detector.RecordArrival(at, 6*time.Second)
		detector.RecordArrival(at, 4500*time.Millisecond)
	}
	assert.Equal(t, 1500*time.Millisecond, detector.RecordArrival(now+2*time.Second, 4500*time.Millisecond))
}

// A process that starts during an outage must not take retries for first attempts.
func TestNothingIsLearnedRightAfterStartup(t *testing.T) {
	detector := &RetryDetector{}
	for i := range 50 {
		detector.RecordArrival(time.Duration(i)*20*time.Millisecond, 4*time.Second)
	}
	assert.Empty(t, detector.samples)
}

// One caller in a hundred that was refused by another entry must not hide other retries.
func TestOutlierIsDiscarded(t *testing.T) {
	detector, now := detectorAfter(80, 6*time.Second)
	detector.RecordArrival(now, 4*time.Second)
	assert.Equal(t, time.Second, detector.RecordArrival(now, 5*time.Second))
}

// Callers with a shorter deadline must not be taken for retries once they are more frequent than
// outliers.
func TestCallersWithAShorterDeadlineAreFirstAttempts(t *testing.T) {
	detector, now := detectorAfter(80, 6*time.Second, 6*time.Second, 6*time.Second, 6*time.Second, 6*time.Second, 3*time.Second)
	assert.Zero(t, detector.RecordArrival(now, 3*time.Second))
}

// There can't be more retries than first attempts: if all callers of a route seem to retry, their
// deadlines have changed and must be learned again, also during an overload that does not end.
func TestChangedDeadlinesAreRelearned(t *testing.T) {
	detector, now := detectorAfter(60, 6*time.Second)
	late := 0
	for i := range 400 {
		now += 50 * time.Millisecond
		if i < 200 {
			detector.RecordRefusal(now, 3*time.Second)
		}
		if detector.RecordArrival(now, 3*time.Second) > 0 {
			late++
		}
	}
	assert.Less(t, late, 200)
	assert.Zero(t, detector.RecordArrival(now, 3*time.Second))
	assert.Equal(t, time.Second, detector.RecordArrival(now, 2*time.Second))
}

// detectorStartedInOverload returns the detector of a route that starts during an overload, after a
// number of rounds of callers with the given remaining times, all of them refused.
func detectorStartedInOverload(rounds int, remaining ...time.Duration) *RetryDetector {
	detector := &RetryDetector{}
	for round := range rounds {
		for _, value := range remaining {
			now := time.Duration(round) * 50 * time.Millisecond
			detector.RecordRefusal(now, value)
			detector.RecordArrival(now, value)
		}
	}
	return detector
}

// A process that starts during an overload must identify retries by the delay that refusals ask
// for, counted from the longest remaining time.
func TestRetriesAreIdentifiedAfterStartupInOverload(t *testing.T) {
	detector := detectorStartedInOverload(20, 6*time.Second, 5200*time.Millisecond, 4600*time.Millisecond)
	assert.Empty(t, detector.samples, "nothing was learned")
	assert.InDelta(t, 0.92, detector.RecordArrival(time.Second, 4600*time.Millisecond).Seconds(), 0.01, "a fifth of the remaining time")
	assert.Zero(t, detector.RecordArrival(time.Second, 5200*time.Millisecond))
	assert.Zero(t, detector.RecordArrival(time.Second, 3*time.Second), "no retry waits that long")
}

func TestFewStartupArrivalsIdentifyNoRetries(t *testing.T) {
	detector := detectorStartedInOverload(3, 6*time.Second, 4600*time.Millisecond)
	assert.Zero(t, detector.RecordArrival(time.Second, 4600*time.Millisecond))
}

// There can't be more retries than first attempts: where more arrivals seem to be retries, their
// remaining time is the typical one.
func TestMoreRetriesThanFirstAttemptsAreNotRetries(t *testing.T) {
	detector := detectorStartedInOverload(20, 6*time.Second, 4600*time.Millisecond, 4700*time.Millisecond, 4800*time.Millisecond)
	assert.Zero(t, detector.RecordArrival(time.Second, 4600*time.Millisecond))
}

// Samples from a period without refusals must replace the startup estimate.
func TestSamplesReplaceStartupEstimate(t *testing.T) {
	detector := detectorStartedInOverload(20, 6*time.Second, 4600*time.Millisecond)
	for at := 5 * time.Second; at < 7*time.Second; at += 100 * time.Millisecond {
		detector.RecordArrival(at, 6*time.Second)
		detector.RecordArrival(at, 4600*time.Millisecond)
	}
	assert.Zero(t, detector.RecordArrival(7*time.Second, 4600*time.Millisecond))
}

// The refusal of a caller without a deadline must not shorten the period after startup in which
// nothing is learned.
func TestRefusalWithoutDeadlineKeepsStartupPeriod(t *testing.T) {
	detector := &RetryDetector{}
	detector.RecordRefusal(time.Millisecond, 0)
	for i := range 20 {
		detector.RecordArrival(time.Duration(i+2)*time.Millisecond, 4*time.Second)
	}
	assert.Empty(t, detector.samples)
}
