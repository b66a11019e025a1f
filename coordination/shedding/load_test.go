package shedding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// lateFraction is the default of the entries' flag.
const lateFraction = 0.15

// Admission policies. unprioritized treats retries like first attempts.
var (
	prioritized   = policy{maxWait: prioritizedWait, retryDelay: retryLate, prioritize: true}
	unprioritized = policy{maxWait: func(_ *fleet, _ *entry, limit time.Duration, _ Arrival) time.Duration { return limit }, retryDelay: retrySoon}
	// lateQuota admits late callers like any other as long as they take at most one slot in twenty.
	lateQuota = policy{maxWait: lateQuotaWait, retryDelay: retryLate}
)

func prioritizedWait(f *fleet, e *entry, limit time.Duration, arrival Arrival) time.Duration {
	return MaxWait(limit, arrival, e.overload.LateFraction(f.now, lateFraction))
}

func lateQuotaWait(f *fleet, _ *entry, limit time.Duration, arrival Arrival) time.Duration {
	if arrival.Elapsed == 0 {
		f.tokens = min(10, f.tokens+0.05)
		return limit
	}
	if f.tokens < 1 {
		return limit / 2
	}
	f.tokens--
	return limit
}

func retryLate(wait, limit time.Duration, arrival Arrival) time.Duration {
	return MinRetryDelay(wait, limit, 100*time.Millisecond, 1500*time.Millisecond, arrival)
}

func retrySoon(wait, limit time.Duration, _ Arrival) time.Duration {
	return MinRetryDelay(wait, limit, 100*time.Millisecond, 1500*time.Millisecond, Arrival{})
}

// warmup is the time before the load rises.
const warmup = 4 * time.Second

// loadQueryAge is the age of a load query's response when a request that relied on it arrives.
const loadQueryAge = 40 * time.Millisecond

func alwaysUp(int, time.Duration) bool { return true }

// requestKinds returns three kinds of requests as a fleet at full load receives them, together 605
// a second times the given load: prompts of 1290, 787 and 607 tokens, answers of 22, 22 and 14
// events, and deadlines of up to 6 s that differ by 0.9 s.
func requestKinds(load func(at time.Duration) float64) []kind {
	var kinds []kind
	for route, k := range []struct{ perSecond, prompt, events, target, value float64 }{
		{247, 1290, 22, 500, 2.4}, {182, 787, 22, 400, 2}, {176, 607, 14, 400, 1.5},
	} {
		kinds = append(kinds, kind{
			rate: func(at time.Duration) float64 { return load(at) * k.perSecond }, route: route,
			prompt: k.prompt, events: k.events, target: time.Duration(k.target) * time.Millisecond, value: k.value,
			minTimeout: 5100 * time.Millisecond, maxTimeout: 6 * time.Second,
		})
	}
	return kinds
}

// steadyLoad returns a constant load after a warmup below capacity.
func steadyLoad(load float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < warmup {
			return min(load, 0.55)
		}
		return load
	}
}

// burstLoad returns a load that is higher from second 6 to second 9.
func burstLoad(base, higher float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 6*time.Second && at < 9*time.Second {
			return higher
		}
		return base
	}
}

// optimalRatio estimates the fraction of the total credit that the capacity of a scenario allows.
// In each tenth of a second the servers take as many requests as they can: first those that arrived
// within the last 0.4 s, then late ones, which wait for up to 2 s.
func optimalRatio(sc scenario) float64 {
	f := newFleet(sc, unprioritized)
	var workPerRequest, value, rates float64
	for i, k := range sc.kinds {
		rate := k.rate(warmup)
		for range 2000 {
			c := f.newCaller(i)
			reading := float64(c.prompt) / figures.ReadPerSecond
			writing := float64(c.events*figures.Stride) * (figures.StepMilliseconds + float64(figures.Slots)*figures.PerSequence) / 1000
			workPerRequest += rate * (reading + writing/float64(figures.Slots)) / 2000
			value += rate * c.value / 2000
		}
		rates += rate
	}
	workPerRequest, value = workPerRequest/rates, value/rates
	const span = 100 * time.Millisecond
	var maxCredit, credit float64
	var backlog []float64
	for at := time.Duration(0); at < duration+2*time.Second; at += span {
		requested, capacity := 0.0, 0.0
		for _, k := range sc.kinds {
			if at < duration {
				requested += k.rate(at) * span.Seconds()
			}
		}
		for i := range serverCount {
			if sc.up(i, at) {
				capacity += span.Seconds() / workPerRequest
			}
		}
		maxCredit, backlog = maxCredit+requested*value, append(backlog, requested)
		take := func(from, to int, weight float64) {
			for i := max(0, len(backlog)-from); i < len(backlog)-to; i++ {
				taken := min(backlog[i], capacity)
				backlog[i], capacity, credit = backlog[i]-taken, capacity-taken, credit+weight*taken*value
			}
		}
		take(4, 0, 1)
		take(20, 4, lateCredit)
	}
	return credit / maxCredit
}

// seeds is the number of seeds averaged for a scenario; a single seed varies by 0.01.
const seeds = 5

// simulateSeeds returns the mean fraction of the optimal credit over the seeds, and the sum of the
// counts.
func simulateSeeds(sc scenario, p policy) (float64, outcome) {
	sum := outcome{byKind: make([]count, len(sc.kinds))}
	for class := range sum.bySize {
		sum.bySize[class] = make([]count, len(sc.kinds))
	}
	for sc.seed = range seeds {
		run := simulate(sc, p)
		sum.all.add(run.all)
		sum.large.add(run.large)
		for i := range run.byKind {
			sum.byKind[i].add(run.byKind[i])
			for class := range sum.bySize {
				sum.bySize[class][i].add(run.bySize[class][i])
			}
		}
		for second := range run.retries {
			sum.retries[second].add(run.retries[second])
		}
	}
	return sum.all.credit / sum.all.maxCredit / optimalRatio(sc), sum
}

func (c *count) add(other count) {
	c.requests, c.inTime, c.late = c.requests+other.requests, c.inTime+other.inTime, c.late+other.late
	c.refused, c.refusedTwice = c.refused+other.refused, c.refusedTwice+other.refusedTwice
	c.maxCredit, c.credit = c.maxCredit+other.maxCredit, c.credit+other.credit
}

// requireMinCredit requires that a scenario earns at least a fraction of the optimal credit, and
// that it would not if retries were treated like first attempts. To detect starvation it requires
// that each kind and the largest tenth are served at least half as often as all requests.
func requireMinCredit(t *testing.T, sc scenario, floor float64) outcome {
	t.Helper()
	ratio, out := simulateSeeds(sc, prioritized)
	baselineRatio, baseline := simulateSeeds(sc, unprioritized)
	t.Logf("optimum %.3f; fraction of it %.3f, without priorities %.3f; in time %d, without %d; late %d, %d; refused twice %d, %d of %d",
		optimalRatio(sc), ratio, baselineRatio, out.all.inTime, baseline.all.inTime, out.all.late, baseline.all.late, out.all.refusedTwice, baseline.all.refusedTwice, out.all.requests)
	quotaRatio, quota := simulateSeeds(sc, lateQuota)
	t.Logf("with a quota of slots for late callers %.3f; in time %d, late %d, refused twice %d", quotaRatio, quota.all.inTime, quota.all.late, quota.all.refusedTwice)
	assert.GreaterOrEqual(t, ratio, floor)
	assert.Less(t, baselineRatio, floor, "the floor is met even without priorities, so it proves nothing")
	for i := range out.byKind {
		assert.Greater(t, out.byKind[i].servedRatio(), out.all.servedRatio()/2, "kind %d", i)
	}
	assert.Greater(t, out.large.servedRatio(), out.all.servedRatio()/2, "the largest tenth")
	return out
}

// Sustained overload: 605 requests a second at 58 servers of 12 slots, 1.25 times their capacity.
func TestSustainedOverload(t *testing.T) {
	requireMinCredit(t, scenario{kinds: requestKinds(steadyLoad(1)), up: alwaysUp, reportAge: loadQueryAge}, 0.81)
}

// All entries restart during a sustained overload, so that none has had a period without refusals
// in which to learn its callers' deadlines.
func TestEntriesStartingDuringOverload(t *testing.T) {
	requireMinCredit(t, scenario{kinds: requestKinds(steadyLoad(1)), up: alwaysUp, reportAge: loadQueryAge, restartAt: 6 * time.Second}, 0.81)
}

// A third of the servers is lost for six seconds, at a load within the capacity of all.
func TestLossOfAThirdOfServers(t *testing.T) {
	up := func(server int, at time.Duration) bool {
		return server%3 > 0 || at < 6*time.Second || at > 12*time.Second
	}
	requireMinCredit(t, scenario{kinds: requestKinds(steadyLoad(0.71)), up: up, reportAge: loadQueryAge}, 0.905)
}

// 1.7 times the normal load for three seconds.
func TestBurstOfCallers(t *testing.T) {
	requireMinCredit(t, scenario{kinds: requestKinds(burstLoad(0.7, 1.2)), up: alwaysUp, reportAge: loadQueryAge}, 0.9)
}

// A tenant with a third of the load sends four times as many requests for three seconds. The other
// tenants must be served at least as often as this one.
func TestBurstOfOneTenant(t *testing.T) {
	others, large := requestKinds(steadyLoad(0.47)), requestKinds(burstLoad(0.23, 0.92))
	out := requireMinCredit(t, scenario{kinds: append(others, large...), up: alwaysUp, reportAge: loadQueryAge}, 0.88)
	for i := range others {
		assert.GreaterOrEqual(t, out.byKind[i].servedRatio(), out.byKind[i+len(others)].servedRatio()-0.02, "kind %d", i)
	}
}

// A third of the servers restarts, four at a time, each unavailable for 1.5 s, at a load that
// leaves one slot in ten free.
func TestRollingRestartOfAThirdOfServers(t *testing.T) {
	up := func(server int, at time.Duration) bool {
		away := 6*time.Second + time.Duration(server/12)*1500*time.Millisecond
		return server%3 > 0 || at < away || at > away+1500*time.Millisecond
	}
	requireMinCredit(t, scenario{kinds: requestKinds(steadyLoad(0.8)), up: up, reportAge: loadQueryAge}, 0.9)
}

// No agent answers load queries, and status reports are up to 0.3 s old.
func TestStaleStatusReports(t *testing.T) {
	requireMinCredit(t, scenario{kinds: requestKinds(steadyLoad(0.93)), up: alwaysUp, reportAge: 300 * time.Millisecond}, 0.625)
}

// All servers are unavailable for three seconds.
func TestLossOfAllServers(t *testing.T) {
	up := func(_ int, at time.Duration) bool { return at < 8*time.Second || at > 11*time.Second }
	requireMinCredit(t, scenario{kinds: requestKinds(steadyLoad(0.71)), up: up, reportAge: loadQueryAge}, 0.95)
}

// Retries must be admitted again once an overload is over.
func TestLateCallersAreAdmittedAfterOverload(t *testing.T) {
	_, out := simulateSeeds(scenario{kinds: requestKinds(burstLoad(0.45, 1.3)), up: alwaysUp, reportAge: loadQueryAge}, prioritized)
	during, after := out.retries[8], out.retries[10]
	t.Logf("refused again in second 8: %d of %d; in second 10: %d of %d", during.refused, during.requests, after.refused, after.requests)
	assert.Greater(t, during.refused, during.requests/2, "retries are refused during the overload")
	assert.Less(t, after.refused, after.requests/4, "one second after the end, when earlier answers still occupy slots")
}

// simulateShortDeadlines runs a fleet at full load in which one caller in ten has a shorter timeout
// than the others of its route, and passes the counts of both groups to compare for each route.
func simulateShortDeadlines(maxTimeout, restartAt time.Duration, compare func(others, short count)) {
	normal, short := requestKinds(steadyLoad(0.9)), requestKinds(steadyLoad(0.1))
	for i := range short {
		short[i].minTimeout, short[i].maxTimeout = maxTimeout*85/100, maxTimeout
	}
	_, out := simulateSeeds(scenario{kinds: append(normal, short...), up: alwaysUp, reportAge: loadQueryAge, restartAt: restartAt}, prioritized)
	for i := range normal {
		compare(out.byKind[i], out.byKind[i+len(normal)])
	}
}

func (c *count) inTimeRatio() float64 { return float64(c.inTime) / float64(c.requests) }

// Guards against first attempts with a shorter deadline being taken for retries. Callers of a
// tenant that wait for 3 s, while the others of their routes wait for 6 s, must be served in time
// as often as these in a sustained overload. The same holds after a restart of all entries during
// the overload, and for other timeouts.
func TestShorterDeadlineIsNotTakenForRetry(t *testing.T) {
	same := func(others, short count) { assert.InDelta(t, others.inTimeRatio(), short.inTimeRatio(), 0.06) }
	simulateShortDeadlines(3*time.Second, 0, same)
	for maxTimeout := 2 * time.Second; maxTimeout <= 4*time.Second; maxTimeout += time.Second {
		simulateShortDeadlines(maxTimeout, 6*time.Second, same)
	}
}

// After such a restart, callers that wait for two thirds to five sixths of the typical time can't
// be told from retries. They must be served as often as the others, and in time at least half as
// often.
func TestCallersThatLookLikeRetriesAreServed(t *testing.T) {
	simulateShortDeadlines(5*time.Second, 6*time.Second, func(others, short count) {
		assert.Greater(t, short.servedRatio(), others.servedRatio()-0.05)
		assert.Greater(t, short.inTimeRatio(), others.inTimeRatio()/2)
	})
}
