package health

import (
	"math"
	"time"
)

// Outcome is what an attempt has shown of the server that it was sent to.
type Outcome int

// The outcomes.
const (
	// Served is an answer that the server gave whole and meant as such.
	Served Outcome = iota + 1
	// Errored is an answer that tells of a failure; it may be the request's own.
	Errored
	// Declined is an answer that says that the request was not run.
	Declined
	// Broken is a connection or an answer that broke off.
	Broken
	// Overdue is an answer that takes many times as long as usual; it may still come.
	Overdue
	// Unreachable is a connection that did not come up: nothing was sent.
	Unreachable

	outcomes = int(Unreachable) + 1
)

var outcomeNames = [outcomes]string{Served: "served", Errored: "errored", Declined: "declined", Broken: "broken", Overdue: "overdue", Unreachable: "unreached"}

func (o Outcome) String() string { return outcomeNames[o] }

// Figures of the evidence. It is a cumulative sum of logarithmic likelihood ratios (Page's
// test): each outcome adds how much likelier it is of a server that fails than of one like
// the service's others, and the sum does not fall below 0. Unlike a number of failures in a
// row it finds servers that fail a part of their requests; unlike a fixed share of failures it
// is blind to what fails at every server of the service alike.
const (
	// failingShare is how much more of the requests a failing server spoils than the others
	// do, at the least that is looked for.
	failingShare = 0.3
	// suspectAt makes a server suspect: one failure where failures are rare.
	suspectAt = 2.5
	// ejectAt ejects it: two such failures. Where 14 in 100 answers of every server are failures,
	// each is out for less than a fiftieth of the time.
	ejectAt = 5
	// trialAt makes a trial one that failed: one failure where less than about one request in
	// ten fails so. At the limit of a fleet more answers than that are overdue at times, and a
	// server that was well stayed out for eight seconds more.
	trialAt = 1.5
	// evidenceCap bounds what has to be forgotten before a sound server is believed.
	evidenceCap = 10
	// evidenceHalfLife is the time in which half of the evidence is forgotten: a server gets a
	// request of each entry every few seconds.
	evidenceHalfLife = 5 * time.Second
	// rateHalfLife is the same for the rates of the service.
	rateHalfLife = 10 * time.Second
	// priorAttempts is how many attempts the rates below weigh as much as.
	priorAttempts = 10
	// repeatedRate is the least assumed rate of failures of a request that has failed before:
	// it may be the request's own fault.
	repeatedRate = 0.5
)

// priorRates are the shares of each failure that are taken for usual at the least, so that one
// failure among many requests says no more than one among few.
var priorRates = [outcomes]float64{Errored: 0.02, Declined: 0.1, Broken: 0.02, Overdue: 0.05, Unreachable: 0.01}

// rates counts the outcomes of requests of a class, with older ones forgotten by and by.
type rates struct {
	counts [outcomes]float64
	at     time.Duration
}

func (r *rates) forget(now time.Duration) {
	if factor := remembered(now-r.at, rateHalfLife); factor < 1 {
		for outcome := range r.counts {
			r.counts[outcome] *= factor
		}
	}
	r.at = max(r.at, now)
}

func (r *rates) add(outcome Outcome, now time.Duration) {
	r.forget(now)
	r.counts[outcome]++
}

func (r *rates) remove(part *rates) {
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

// usualRate is the share of a failure that is usual at the other servers of a service.
func usualRate(all, own *rates, outcome Outcome) float64 {
	others := max(0, all.attempts()-own.attempts())
	failed := max(0, all.counts[outcome]-own.counts[outcome])
	return max(priorRates[outcome], (failed+priorAttempts*priorRates[outcome])/(others+priorAttempts))
}

// weightOf is what an outcome adds to the evidence against a server.
func weightOf(all, own *rates, outcome Outcome, repeated bool) float64 {
	if outcome == Served {
		// (1-failing)/(1-usual), where failing = usual + failingShare*(1-usual).
		return math.Log(1 - failingShare)
	}
	usual := usualRate(all, own, outcome)
	if repeated {
		usual = max(usual, repeatedRate)
	}
	return math.Log((usual + failingShare*(1-usual)) / usual)
}

// remembered is the part of what has been counted that is left after a time.
func remembered(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
