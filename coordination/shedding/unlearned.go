package shedding

import (
	"slices"
	"time"
)

// Limits of the estimate used before any arrivals are known to be first attempts.
const (
	// maxStartupArrivals is the number of arrivals kept. An entry at full load receives as many for
	// a route within ten to thirty seconds.
	maxStartupArrivals = 32
	// minStartupArrivals is the number of arrivals needed for an estimate. At least half of all
	// arrivals are first attempts, so the longest of eight is a first attempt in all but one of 256
	// cases.
	minStartupArrivals = 8
)

// startupArrivals holds the remaining times of recent arrivals, first attempts and retries alike.
// It identifies retries if the process has started during an overload and has had no period without
// refusals to learn from. The estimate relies on when callers retry: a retry has at most
// 1-minRetryFraction of its first attempt's remaining time, because the refusal asked for that
// delay, and at least 1-MaxRetryFraction, because callers honor no longer delay. Arrivals above
// that range are first attempts; those below it are first attempts of callers with shorter
// deadlines. If all entries start during an overload, then without this estimate retries are never
// deprioritized: at 1.25 times the capacity the fleet earned 0.77 of the attainable credit, with it
// 0.83 (TestEntriesStartingDuringOverload).
type startupArrivals struct {
	remaining [maxStartupArrivals]time.Duration
	seen      int
}

// add records the remaining time of an arrival.
func (a *startupArrivals) add(remaining time.Duration) {
	a.remaining[a.seen%maxStartupArrivals] = remaining
	a.seen++
}

// elapsed returns a lower bound of the time since the first attempt of a caller with the given
// remaining time; 0 means a first attempt, as far as can be told.
func (a *startupArrivals) elapsed(remaining time.Duration) time.Duration {
	kept := a.remaining[:min(a.seen, maxStartupArrivals)]
	if len(kept) < minStartupArrivals {
		return 0
	}
	longest := slices.Max(kept)
	minFirst, minRetry := fractionOf(longest, 1-minRetryFraction), fractionOf(longest, 1-MaxRetryFraction)
	first, retries := 0, 0
	for _, value := range kept {
		switch {
		case value > minFirst:
			first++
		case value >= minRetry:
			retries++
		}
	}
	// Each first attempt is followed by at most one retry.
	if remaining > minFirst || remaining < minRetry || retries > first {
		return 0
	}
	return fractionOf(remaining, minRetryFraction/(1-minRetryFraction))
}

func fractionOf(total time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(total))
}
