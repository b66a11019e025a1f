package shedding

import (
	"slices"
	"time"
)

// Limits of what is learned about a route's callers.
const (
	// maxSamples is the number of first attempts kept: half a minute of a route that receives two
	// requests a second at an entry.
	maxSamples = 64
	// minSamples is the number of first attempts needed to identify retries. At full load an entry
	// receives one or two first attempts a second for a route; with 16, most entries still knew
	// nothing when an overload began eight seconds after their start.
	minSamples = 6
	// sparseMargin times the range of the samples, divided by their number, is how much shorter
	// than the shortest sample a first attempt may be. For evenly distributed samples the shortest
	// lies on average one such quotient above the true minimum.
	sparseMargin = 2
	// samplesPerOutlier is the number of samples for each one that is discarded as an outlier, such
	// as a caller that retries after a refusal by another entry. A group of callers with shorter
	// deadlines is no longer taken for retries once it makes up about 5 in 100.
	samplesPerOutlier = 32
	// maxRetryRatio is the ratio of apparent retries to arrivals above which they can't all be
	// retries, since each first attempt is followed by at most one. The deadlines of the route's
	// callers must have changed, so learning starts over.
	maxRetryRatio = 0.75
	// retryWeight is the weight of one arrival in that ratio, which covers about the last hundred
	// arrivals.
	retryWeight = 0.01
)

// RetryDetector learns the remaining time that callers of one route have at their first attempt,
// and identifies retries by their shorter remaining time: it is reduced by the time since the first
// attempt. The zero value knows nothing and reports every arrival as a first attempt.
type RetryDetector struct {
	// samples holds the remaining times of the latest first attempts; next is the index of the
	// oldest.
	samples []time.Duration
	next    int
	// minFirstAttempt is the shortest remaining time of a first attempt.
	minFirstAttempt time.Duration
	// learnAfter is the time after which no caller that was refused here can still retry. At
	// startup it is set as if the first arrival had been refused, because retries of refusals
	// before the start look like first attempts.
	learnAfter time.Duration
	// retryRatio is the ratio of apparent retries among the latest arrivals.
	retryRatio float64
	// startup identifies retries until enough first attempts are known.
	startup startupArrivals
}

// RecordArrival records a request with the caller's remaining time, 0 if unknown. It returns a
// lower bound of the time since the caller's first attempt; 0 means a first attempt, as far as is
// known.
func (d *RetryDetector) RecordArrival(now, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	if d.learnAfter == 0 {
		d.RecordRefusal(now, remaining)
	}
	if !d.hasEnoughSamples() {
		return d.recordStartupArrival(now, remaining)
	}
	elapsed := d.elapsed(remaining)
	d.updateRetryRatio(elapsed > 0)
	if now >= d.learnAfter {
		d.addSample(remaining)
	}
	return elapsed
}

// hasEnoughSamples reports whether enough first attempts are known to identify retries.
func (d *RetryDetector) hasEnoughSamples() bool { return len(d.samples) >= minSamples }

// recordStartupArrival records an arrival and compares it with the others since startup, which
// include retries.
func (d *RetryDetector) recordStartupArrival(now, remaining time.Duration) time.Duration {
	d.startup.add(remaining)
	if now >= d.learnAfter {
		d.addSample(remaining)
		return 0
	}
	return d.startup.elapsed(remaining)
}

func (d *RetryDetector) elapsed(remaining time.Duration) time.Duration {
	return max(0, d.minFirstAttempt-remaining)
}

// updateRetryRatio updates the ratio of retries, and discards everything learned if more callers
// seem to have retried than possible.
func (d *RetryDetector) updateRetryRatio(isRetry bool) {
	d.retryRatio *= 1 - retryWeight
	if isRetry {
		d.retryRatio += retryWeight
	}
	if d.retryRatio > maxRetryRatio {
		*d = RetryDetector{}
	}
}

// addSample adds the remaining time of a first attempt. It is called only while no refused caller
// can be retrying.
func (d *RetryDetector) addSample(remaining time.Duration) {
	if len(d.samples) < maxSamples {
		d.samples = append(d.samples, remaining)
	} else {
		d.samples[d.next] = remaining
		d.next = (d.next + 1) % maxSamples
	}
	var kept [maxSamples]time.Duration
	sorted := kept[:copy(kept[:], d.samples)]
	slices.Sort(sorted)
	shortest := sorted[len(sorted)/samplesPerOutlier]
	valueRange := sorted[len(sorted)-1] - shortest
	d.minFirstAttempt = shortest - sparseMargin*valueRange/time.Duration(len(sorted))
}

// RecordRefusal records the refusal of a caller with the given remaining time, which may retry. A
// caller without a deadline is ignored, because nothing is learned from its retry either.
func (d *RetryDetector) RecordRefusal(now, remaining time.Duration) {
	if remaining <= 0 {
		return
	}
	d.learnAfter = max(d.learnAfter, now+time.Duration(MaxRetryFraction*float64(remaining)))
}
