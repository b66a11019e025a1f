package shedding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// callersOf returns what a route has learned whose callers come five times a second, each
// with one of the times left in turn.
func callersOf(count int, left ...time.Duration) (*RetryDetector, time.Duration) {
	usual, now := &RetryDetector{}, time.Duration(0)
	for i := range count {
		now += 200 * time.Millisecond
		usual.RecordArrival(now, left[i%len(left)])
	}
	return usual, now
}

// A caller that came back has less time left than any first attempt, by as much as it has
// waited at least.
func TestReturningCallerIsKnownByItsTimeLeft(t *testing.T) {
	usual, now := callersOf(60, 6*time.Second, 5600*time.Millisecond, 5100*time.Millisecond)
	assert.InDelta(t, 0.7, usual.RecordArrival(now, 4400*time.Millisecond).Seconds(), 0.05)
	assert.Zero(t, usual.RecordArrival(now, 5200*time.Millisecond), "first attempts differ by as much")
	assert.Zero(t, usual.RecordArrival(now, 0), "a caller that does not say")
}

func TestNobodyIsJudgedByAFewArrivals(t *testing.T) {
	usual, now := callersOf(15, 6*time.Second)
	assert.Zero(t, usual.RecordArrival(now, 3*time.Second), "the first two seconds count for nothing")
	sparse, now := callersOf(16, 6*time.Second, 5500*time.Millisecond)
	assert.Zero(t, sparse.RecordArrival(now, 5400*time.Millisecond), "among a few the shortest is not yet seen")
	assert.Positive(t, sparse.RecordArrival(now, 4500*time.Millisecond))
}

// While refused callers may be coming back their times left are not taken for usual ones.
func TestNothingIsLearnedWhileRefusedCallersMayComeBack(t *testing.T) {
	usual, now := callersOf(60, 6*time.Second)
	for i := range 40 {
		at := now + time.Duration(i)*40*time.Millisecond
		usual.RecordRefusal(at, 6*time.Second)
		usual.RecordArrival(at, 6*time.Second)
		usual.RecordArrival(at, 4500*time.Millisecond)
	}
	assert.Equal(t, 1500*time.Millisecond, usual.RecordArrival(now+2*time.Second, 4500*time.Millisecond))
}

// A process that starts in an outage does not take those who come back for first attempts.
func TestAStartingProcessLearnsNothingAtOnce(t *testing.T) {
	usual := &RetryDetector{}
	for i := range 50 {
		usual.RecordArrival(time.Duration(i)*20*time.Millisecond, 4*time.Second)
	}
	assert.Empty(t, usual.left)
}

// One caller in a hundred that was refused elsewhere hides nobody.
func TestAStrayIsLeftOut(t *testing.T) {
	usual, now := callersOf(80, 6*time.Second)
	usual.RecordArrival(now, 4*time.Second)
	assert.Equal(t, time.Second, usual.RecordArrival(now, 5*time.Second))
}

// Callers with a shorter deadline are not taken for late ones, as soon as they are more than
// strays.
func TestCallersWithAShorterDeadlineAreFirstAttempts(t *testing.T) {
	usual, now := callersOf(80, 6*time.Second, 6*time.Second, 6*time.Second, 6*time.Second, 6*time.Second, 3*time.Second)
	assert.Zero(t, usual.RecordArrival(now, 3*time.Second))
}

// More callers can't have come back than have asked: when all of a route seem to, their
// deadlines have changed, also in an overload that does not end.
func TestChangedDeadlinesAreLearnedAnew(t *testing.T) {
	usual, now := callersOf(60, 6*time.Second)
	late := 0
	for i := range 400 {
		now += 50 * time.Millisecond
		if i < 200 {
			usual.RecordRefusal(now, 3*time.Second)
		}
		if usual.RecordArrival(now, 3*time.Second) > 0 {
			late++
		}
	}
	assert.Less(t, late, 200)
	assert.Zero(t, usual.RecordArrival(now, 3*time.Second))
	assert.Equal(t, time.Second, usual.RecordArrival(now, 2*time.Second))
}

// arrivals gives a route that starts in an overload callers with times left, each of them one
// after the other a number of times.
func arrivals(rounds int, left ...time.Duration) *RetryDetector {
	usual := &RetryDetector{}
	for round := range rounds {
		for _, one := range left {
			now := time.Duration(round) * 50 * time.Millisecond
			usual.RecordRefusal(now, one)
			usual.RecordArrival(now, one)
		}
	}
	return usual
}

// A process that starts in an overload knows those that come back by how long they were asked to
// wait, counted from the longest time left.
func TestReturnsAreKnownAfterAStartInAnOverload(t *testing.T) {
	usual := arrivals(20, 6*time.Second, 5200*time.Millisecond, 4600*time.Millisecond)
	assert.Empty(t, usual.left, "nothing was learned")
	assert.InDelta(t, 0.92, usual.RecordArrival(time.Second, 4600*time.Millisecond).Seconds(), 0.01, "a fifth of what is left")
	assert.Zero(t, usual.RecordArrival(time.Second, 5200*time.Millisecond))
	assert.Zero(t, usual.RecordArrival(time.Second, 3*time.Second), "nobody waits for half of the time")
}

func TestAFewMixedArrivalsJudgeNobody(t *testing.T) {
	usual := arrivals(3, 6*time.Second, 4600*time.Millisecond)
	assert.Zero(t, usual.RecordArrival(time.Second, 4600*time.Millisecond))
}

// Fewer can have come back than have asked: where more seem to, it is their usual time.
func TestMoreReturnsThanFirstAttemptsAreNone(t *testing.T) {
	usual := arrivals(20, 6*time.Second, 4600*time.Millisecond, 4700*time.Millisecond, 4800*time.Millisecond)
	assert.Zero(t, usual.RecordArrival(time.Second, 4600*time.Millisecond))
}

// What was learned in calm moments takes the place of the guess.
func TestCalmMomentsReplaceTheGuess(t *testing.T) {
	usual := arrivals(20, 6*time.Second, 4600*time.Millisecond)
	for at := 5 * time.Second; at < 7*time.Second; at += 100 * time.Millisecond {
		usual.RecordArrival(at, 6*time.Second)
		usual.RecordArrival(at, 4600*time.Millisecond)
	}
	assert.Zero(t, usual.RecordArrival(7*time.Second, 4600*time.Millisecond))
}

// A caller without a deadline that is refused does not end the caution of the start.
func TestRefusalWithoutADeadlineKeepsTheCautionOfTheStart(t *testing.T) {
	usual := &RetryDetector{}
	usual.RecordRefusal(time.Millisecond, 0)
	for i := range 20 {
		usual.RecordArrival(time.Duration(i+2)*time.Millisecond, 4*time.Second)
	}
	assert.Empty(t, usual.left)
}
