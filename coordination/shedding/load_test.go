package shedding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// lateShare is the default of the entries' flag.
const lateShare = 0.15

// Ways to answer a day. equal treats callers that came back like any other.
var (
	inOrder = way{wait: lateBehind, told: toldLate, rank: true}
	equal   = way{wait: func(_ *fleet, _ *entry, most time.Duration, _ Arrival) time.Duration { return most }, told: toldSoon}
	// shareOfPlaces admits late callers like any other as long as they have no more than one in
	// twenty of the places.
	shareOfPlaces = way{wait: oneInTwenty, told: toldLate}
)

func lateBehind(f *fleet, e *entry, most time.Duration, arrival Arrival) time.Duration {
	return MaxWait(most, arrival, e.pressure.LateFraction(f.now, lateShare))
}

func oneInTwenty(f *fleet, _ *entry, most time.Duration, arrival Arrival) time.Duration {
	if arrival.Elapsed == 0 {
		f.tokens = min(10, f.tokens+0.05)
		return most
	}
	if f.tokens < 1 {
		return most / 2
	}
	f.tokens--
	return most
}

func toldLate(wait, most time.Duration, arrival Arrival) time.Duration {
	return MinRetryDelay(wait, most, 100*time.Millisecond, 1500*time.Millisecond, arrival)
}

func toldSoon(wait, most time.Duration, _ Arrival) time.Duration {
	return MinRetryDelay(wait, most, 100*time.Millisecond, 1500*time.Millisecond, Arrival{})
}

// ramp is how long a day is calm at first.
const ramp = 4 * time.Second

// askedAge is the age of an agent's answer when a request arrives by it.
const askedAge = 40 * time.Millisecond

func always(int, time.Duration) bool { return true }

// streams are three kinds of requests as a full fleet gets them, 605 a second together: with
// prompts of 1290, 787 and 607 tokens and answers of 22, 22 and 14 events, deadlines of 6 s
// that differ by 0.9 s, and a number of times that load.
func streams(load func(at time.Duration) float64) []kind {
	var kinds []kind
	for route, one := range []struct{ perSecond, prompt, events, target, worth float64 }{
		{247, 1290, 22, 500, 2.4}, {182, 787, 22, 400, 2}, {176, 607, 14, 400, 1.5},
	} {
		kinds = append(kinds, kind{
			rate: func(at time.Duration) float64 { return load(at) * one.perSecond }, route: route,
			prompt: one.prompt, events: one.events, target: time.Duration(one.target) * time.Millisecond, worth: one.worth,
			leastTime: 5100 * time.Millisecond, mostTime: 6 * time.Second,
		})
	}
	return kinds
}

// steady is a load that begins calm, as days do.
func steady(load float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < ramp {
			return min(load, 0.55)
		}
		return load
	}
}

// between is a load that is higher from second 6 to 9.
func between(usual, higher float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 6*time.Second && at < 9*time.Second {
			return higher
		}
		return usual
	}
}

// best is the share of the credit that the places of a day could give: each tenth of a second
// the servers take as many as they can, first of those that have come within the last four
// tenths, then of the late ones, who wait for two seconds.
func best(d day) float64 {
	f := newFleet(d, equal)
	var work, worth, rates float64
	for i, k := range d.kinds {
		rate := k.rate(ramp)
		for range 2000 {
			c := f.newCaller(i)
			reading := float64(c.prompt) / figures.ReadPerSecond
			writing := float64(c.events*figures.Stride) * (figures.StepMilliseconds + float64(figures.Slots)*figures.PerSequence) / 1000
			work += rate * (reading + writing/float64(figures.Slots)) / 2000
			worth += rate * c.worth / 2000
		}
		rates += rate
	}
	work, worth = work/rates, worth/rates
	const span = 100 * time.Millisecond
	var owed, credit float64
	var over []float64
	for at := time.Duration(0); at < length+2*time.Second; at += span {
		asked, places := 0.0, 0.0
		for _, k := range d.kinds {
			if at < length {
				asked += k.rate(at) * span.Seconds()
			}
		}
		for i := range serverCount {
			if d.up(i, at) {
				places += span.Seconds() / work
			}
		}
		owed, over = owed+asked*worth, append(over, asked)
		take := func(from, to int, share float64) {
			for i := max(0, len(over)-from); i < len(over)-to; i++ {
				taken := min(over[i], places)
				over[i], places, credit = over[i]-taken, places-taken, credit+share*taken*worth
			}
		}
		take(4, 0, 1)
		take(20, 4, lateCredit)
	}
	return credit / owed
}

// seeds of each day, whose mean counts: one alone moves by 0.01.
const seeds = 5

// result is the mean share of the best credit over the seeds, and the sum of the counts.
func result(d day, w way) (float64, outcome) {
	sum := outcome{byKind: make([]count, len(d.kinds))}
	for part := range sum.bySize {
		sum.bySize[part] = make([]count, len(d.kinds))
	}
	for d.seed = range seeds {
		one := play(d, w)
		sum.all.add(one.all)
		sum.large.add(one.large)
		for i := range one.byKind {
			sum.byKind[i].add(one.byKind[i])
			for part := range sum.bySize {
				sum.bySize[part][i].add(one.bySize[part][i])
			}
		}
		for second := range one.returned {
			sum.returned[second].add(one.returned[second])
		}
	}
	return sum.all.credit / sum.all.owed / best(d), sum
}

func (c *count) add(other count) {
	c.asked, c.inTime, c.late = c.asked+other.asked, c.inTime+other.inTime, c.late+other.late
	c.refused, c.twice = c.refused+other.refused, c.twice+other.twice
	c.owed, c.credit = c.owed+other.owed, c.credit+other.credit
}

// requireFloor plays a day and holds the credit to a floor, a share of the best, that the
// day misses when callers that came back are treated like any other. Nobody is starved: each
// kind and the largest tenth are served at least half as often as all.
func requireFloor(t *testing.T, d day, floor float64) outcome {
	t.Helper()
	reached, out := result(d, inOrder)
	without, before := result(d, equal)
	t.Logf("best %.3f; share of it %.3f, without %.3f; in time %d, without %d; late %d, %d; refused twice %d, %d of %d",
		best(d), reached, without, out.all.inTime, before.all.inTime, out.all.late, before.all.late, out.all.twice, before.all.twice, out.all.asked)
	shared, other := result(d, shareOfPlaces)
	t.Logf("with a share of the places for late ones %.3f; in time %d, late %d, refused twice %d", shared, other.all.inTime, other.all.late, other.all.twice)
	assert.GreaterOrEqual(t, reached, floor)
	assert.Less(t, without, floor, "the floor shows nothing: it is met without the order")
	for i := range out.byKind {
		assert.Greater(t, out.byKind[i].served(), out.all.served()/2, "kind %d", i)
	}
	assert.Greater(t, out.large.served(), out.all.served()/2, "the largest tenth")
	return out
}

// Overload that lasts: 605 streams a second at 58 servers of 12 places, a quarter more than
// these can do.
func TestFullFleet(t *testing.T) {
	requireFloor(t, day{kinds: streams(steady(1)), up: always, wordAge: askedAge}, 0.81)
}

// All entries start anew amid an overload that lasts: none has ever seen a calm moment to learn
// its callers from.
func TestEntriesThatStartInAnOverload(t *testing.T) {
	requireFloor(t, day{kinds: streams(steady(1)), up: always, wordAge: askedAge, restarts: 6 * time.Second}, 0.81)
}

// A third of the servers is lost for six seconds, under a load that all can carry.
func TestLossOfAThirdOfThePlaces(t *testing.T) {
	up := func(server int, at time.Duration) bool {
		return server%3 > 0 || at < 6*time.Second || at > 12*time.Second
	}
	requireFloor(t, day{kinds: streams(steady(0.71)), up: up, wordAge: askedAge}, 0.905)
}

// 1.7 times as many callers as usual for three seconds.
func TestManyCallersAtOnce(t *testing.T) {
	requireFloor(t, day{kinds: streams(between(0.7, 1.2)), up: always, wordAge: askedAge}, 0.9)
}

// One tenant with a third of the load asks four times as often for three seconds: the others
// are served at least as often as it is.
func TestOneLargeTenant(t *testing.T) {
	others, large := streams(steady(0.47)), streams(between(0.23, 0.92))
	out := requireFloor(t, day{kinds: append(others, large...), up: always, wordAge: askedAge}, 0.88)
	for i := range others {
		assert.GreaterOrEqual(t, out.byKind[i].served(), out.byKind[i+len(others)].served()-0.02, "kind %d", i)
	}
}

// A third of the servers change over, four at a time, each away for 1.5 s, under a load that
// leaves one place in ten free.
func TestThirdOfTheServersChangesOver(t *testing.T) {
	up := func(server int, at time.Duration) bool {
		away := 6*time.Second + time.Duration(server/12)*1500*time.Millisecond
		return server%3 > 0 || at < away || at > away+1500*time.Millisecond
	}
	requireFloor(t, day{kinds: streams(steady(0.8)), up: up, wordAge: askedAge}, 0.9)
}

// No agent answers, and words are up to 0.3 s old.
func TestWordsOfAThirdOfASecond(t *testing.T) {
	requireFloor(t, day{kinds: streams(steady(0.93)), up: always, wordAge: 300 * time.Millisecond}, 0.625)
}

// All servers are away for three seconds.
func TestLossOfAllServers(t *testing.T) {
	up := func(_ int, at time.Duration) bool { return at < 8*time.Second || at > 11*time.Second }
	requireFloor(t, day{kinds: streams(steady(0.71)), up: up, wordAge: askedAge}, 0.95)
}

// Once an overload is over, callers that come back are admitted.
func TestLateCallersAreAdmittedOnceTheOverloadEnds(t *testing.T) {
	_, out := result(day{kinds: streams(between(0.45, 1.3)), up: always, wordAge: askedAge}, inOrder)
	during, after := out.returned[8], out.returned[10]
	t.Logf("refused again in second 8: %d of %d; in second 10: %d of %d", during.refused, during.asked, after.refused, after.asked)
	assert.Greater(t, during.refused, during.asked/2, "the overload refuses them")
	assert.Less(t, after.refused, after.asked/4, "from a second after its end, when answers begun before still fill places")
}

// hurried plays a full fleet in which one caller in ten waits for a shorter time than the others
// of its route, and calls compare with the counts of both for each route.
func hurried(most, restarts time.Duration, compare func(others, short count)) {
	usual, short := streams(steady(0.9)), streams(steady(0.1))
	for i := range short {
		short[i].leastTime, short[i].mostTime = most*85/100, most
	}
	_, out := result(day{kinds: append(usual, short...), up: always, wordAge: askedAge, restarts: restarts}, inOrder)
	for i := range usual {
		compare(out.byKind[i], out.byKind[i+len(usual)])
	}
}

func (c *count) inTimeShare() float64 { return float64(c.inTime) / float64(c.asked) }

// Callers of a tenant that wait for 3 s while the others of their routes wait for 6 s are
// served in time as often as these, in an overload that lasts; also where all entries start anew
// amid it, and for other shorter times.
func TestShorterDeadlineIsNotTakenForALateOne(t *testing.T) {
	same := func(others, short count) { assert.InDelta(t, others.inTimeShare(), short.inTimeShare(), 0.06) }
	hurried(3*time.Second, 0, same)
	for most := 2 * time.Second; most <= 4*time.Second; most += time.Second {
		hurried(most, 6*time.Second, same)
	}
}

// After such a start callers that wait for two thirds to five sixths of the usual time can't be
// told from those that came back. They are served as often as the others, and in time at least half
// as often.
func TestCallersThatLookLikeReturnsAreServed(t *testing.T) {
	hurried(5*time.Second, 6*time.Second, func(others, short count) {
		assert.Greater(t, short.served(), others.served()-0.05)
		assert.Greater(t, short.inTimeShare(), others.inTimeShare()/2)
	})
}
