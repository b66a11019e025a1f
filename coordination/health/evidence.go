package health

import (
	"math"
	"time"
)

// Outcome is the result of an attempt, as far as it says something about the server.
type Outcome int

// The outcomes of an attempt.
const (
	// Served is a complete answer that reports no failure.
	Served Outcome = iota + 1
	// Errored is an answer that reports a failure, which the request itself may have caused.
	Errored
	// Declined is an answer that says that the request was not run.
	Declined
	// Broken is a connection or an answer that broke off.
	Broken
	// Overdue is an answer that takes many times as long as typical. It may still arrive.
	Overdue
	// Unreachable is a connection that could not be established: nothing was sent.
	Unreachable

	outcomeCount = int(Unreachable) + 1
)

var outcomeNames = [outcomeCount]string{Served: "served", Errored: "errored", Declined: "declined", Broken: "broken", Overdue: "overdue", Unreachable: "unreached"}

func (o Outcome) String() string { return outcomeNames[o] }

// Parameters of the evidence, which is a cumulative sum of log-likelihood ratios (CUSUM, Page's
// test): each outcome adds how much likelier it is at a failing server than at one like the
// service's others, and the sum does not fall below 0. Unlike a count of consecutive failures, it
// detects servers that fail only some of their requests. Unlike a fixed failure ratio, it ignores
// failures that affect every server of the service alike.
const (
	// failingRatio is the smallest excess of failures, relative to the service's other servers,
	// that the test is designed to detect.
	failingRatio = 0.3
	// suspectThreshold makes a server suspect: one failure where failures are rare.
	suspectThreshold = 2.5
	// ejectThreshold ejects a server: two such failures. Where 14 in 100 answers of every server
	// are failures, each server is ejected for less than a fiftieth of the time.
	ejectThreshold = 5
	// trialFailedThreshold is the evidence at which a trial counts as failed: one failure where
	// less than about one request in ten fails that way. When a fleet is at its limit, a larger
	// part of the answers is overdue at times, and a server that was healthy stayed ejected for
	// eight seconds longer.
	trialFailedThreshold = 1.5
	// maxEvidence limits the evidence that must decay before a healthy server is used again.
	maxEvidence = 10
	// evidenceHalfLife is the half-life of the evidence. It is chosen for entries that send a server
	// a request every few seconds.
	evidenceHalfLife = 5 * time.Second
	// rateHalfLife is the half-life of the service's outcome rates.
	rateHalfLife = 10 * time.Second
	// priorAttempts is the weight of priorRates, as a number of attempts.
	priorAttempts = 10
	// retryFailureRate is the smallest assumed failure rate of a request that has failed before,
	// since the request itself may be the cause.
	retryFailureRate = 0.5
)

// priorRates are the smallest assumed baseline rates of each failure, so that one failure among
// many requests weighs no more than one among few.
var priorRates = [outcomeCount]float64{Errored: 0.02, Declined: 0.1, Broken: 0.02, Overdue: 0.05, Unreachable: 0.01}

// rates counts the outcomes of requests of a class with exponential decay.
type rates struct {
	counts    [outcomeCount]float64
	updatedAt time.Duration
}

func (r *rates) decay(now time.Duration) {
	if factor := decayFactor(now-r.updatedAt, rateHalfLife); factor < 1 {
		for outcome := range r.counts {
			r.counts[outcome] *= factor
		}
	}
	r.updatedAt = max(r.updatedAt, now)
}

func (r *rates) add(outcome Outcome, now time.Duration) {
	r.decay(now)
	r.counts[outcome]++
}

func (r *rates) subtract(part *rates) {
	for outcome, count := range part.counts {
		r.counts[outcome] = max(0, r.counts[outcome]-count)
	}
}

func (r *rates) attempts() float64 {
	sum := 0.0
	for _, count := range r.counts {
		sum += count
	}
	return sum
}

// baselineRate returns the rate of a failure at the other servers of a service.
func baselineRate(all, own *rates, outcome Outcome) float64 {
	others := max(0, all.attempts()-own.attempts())
	failed := max(0, all.counts[outcome]-own.counts[outcome])
	return max(priorRates[outcome], (failed+priorAttempts*priorRates[outcome])/(others+priorAttempts))
}

// logLikelihoodRatio returns what an outcome adds to the evidence against a server.
func logLikelihoodRatio(all, own *rates, outcome Outcome, retry bool) float64 {
	if outcome == Served {
		// (1-failing)/(1-baseline), where failing = baseline + failingRatio*(1-baseline).
		return math.Log(1 - failingRatio)
	}
	baseline := baselineRate(all, own, outcome)
	if retry {
		baseline = max(baseline, retryFailureRate)
	}
	return math.Log((baseline + failingRatio*(1-baseline)) / baseline)
}

// decayFactor returns the fraction of a count that remains at an age.
func decayFactor(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
