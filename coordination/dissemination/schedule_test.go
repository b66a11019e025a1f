package dissemination

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A machine that is the root of many chunks requests each from the origin when it is
// due, a few chunks ahead, and not all at the start.
func TestOriginReadsArePaced(t *testing.T) {
	const (
		chunks   = 60
		interval = 30 * time.Millisecond
	)
	fetcher := NewFetcher(Options{
		Self: "a", Plan: NewPlan(StrategyRotated, NewRoster([]Machine{{ID: "a", Zone: "z", Region: "r"}})), Chunks: chunks,
		MaxFetches: chunks, OriginWindow: chunks, OriginInterval: interval, ProgressTimeout: time.Second,
	})
	startTime := 5 * time.Second
	fetcher.Start(startTime)
	requested := 0
	for step := time.Duration(0); step <= chunks*interval; step += interval {
		fetcher.Tick(startTime + step)
		for _, action := range fetcher.TakeActions() {
			assert.Equal(t, FetchOrigin, action.Kind)
			fetcher.RecordFetched("", action.Chunk, startTime+step)
			requested++
		}
		due := int(step/interval) + originLead + 1
		assert.Equal(t, min(due, chunks), requested, "after %s", step)
	}
}

// Times of the tests with an unavailable origin, as agents use them: a piece of 24 KiB takes
// 45 ms over a link of 4.4 Mbit/s; agents tick every 50 ms and wait 0.3 s for progress.
const (
	testOriginInterval  = 50 * time.Millisecond
	testTickInterval    = 50 * time.Millisecond
	testProgressTimeout = 300 * time.Millisecond
)

// runOriginTest runs a machine that is the root of all chunks against an origin that is
// unavailable for a while, and returns the time of each attempt.
func runOriginTest(t *testing.T, unavailable func(now time.Duration) bool, until time.Duration) (attempts []time.Duration, fetcher *Fetcher) {
	t.Helper()
	const chunks = 60
	fetcher = NewFetcher(Options{
		Self: "a", Plan: NewPlan(StrategyRotated, NewRoster([]Machine{{ID: "a", Zone: "z", Region: "r"}})), Chunks: chunks,
		MaxFetches: 10, OriginWindow: chunks, OriginInterval: testOriginInterval, ProgressTimeout: testProgressTimeout, LagChunks: 24,
	})
	fetcher.Start(0)
	for now := time.Duration(0); now < until; now += testTickInterval {
		fetcher.Tick(now)
		for _, action := range fetcher.TakeActions() {
			attempts = append(attempts, now)
			if unavailable(now) {
				fetcher.RecordFetchFailure("", action.Chunk, Unreachable, now)
			} else {
				fetcher.RecordFetched("", action.Chunk, now)
			}
		}
	}
	return attempts, fetcher
}

// Requests to an unavailable origin are paced at the rate at which it would send chunks, and
// all chunks arrive within about the time of one copy once it is available again.
func TestRetriesOfAnUnavailableOriginArePaced(t *testing.T) {
	const recoveredAt = 8 * time.Second
	attempts, fetcher := runOriginTest(t, func(now time.Duration) bool { return now > time.Second && now < recoveredAt }, recoveredAt+4*time.Second)
	assert.Zero(t, fetcher.Missing())
	attemptsInOutage := 0
	for _, at := range attempts {
		if at > 2*time.Second && at < recoveredAt {
			attemptsInOutage++
		}
	}
	assert.LessOrEqual(t, attemptsInOutage, 6*20+20, "the link carries twenty per second")
	assert.Greater(t, attemptsInOutage, 40, "attempts are frequent enough to detect its return")
}

// A single failure while other chunks arrive is retried soon.
func TestSingleOriginFailureIsRetriedSoon(t *testing.T) {
	failed := false
	_, fetcher := runOriginTest(t, func(now time.Duration) bool {
		fails := !failed && now > time.Second
		failed = failed || fails
		return fails
	}, 3600*time.Millisecond)
	assert.True(t, failed)
	assert.Zero(t, fetcher.Missing(), "a copy takes 3 s")
}

// While the origin is unavailable, every machine of a zone finds that all others lack every chunk.
// Machines that are not a chunk's root request one chunk at a time from the origin, and rarely.
func TestReadersDoNotQueueAtAnUnavailableOrigin(t *testing.T) {
	var machines []Machine
	for _, id := range []MachineID{"a", "b", "c", "d", "e", "f"} {
		machines = append(machines, Machine{ID: id, Zone: "z", Region: "r"})
	}
	plan := NewPlan(StrategyRotated, NewRoster(machines))
	fetcher := NewFetcher(Options{
		Self: "a", Plan: plan, Chunks: 60, MaxFetches: 10, OriginWindow: 60, OriginInterval: testOriginInterval,
		ProgressTimeout: testProgressTimeout, LagChunks: 24,
	})
	fetcher.Start(0)
	requested := 0
	type pendingFetch struct {
		chunk  int
		endsAt time.Duration
	}
	var pending []pendingFetch
	for now := time.Duration(0); now < 8*time.Second; now += testTickInterval {
		for len(pending) > 0 && pending[0].endsAt <= now {
			fetcher.RecordFetchFailure("", pending[0].chunk, Stalled, now)
			pending = pending[1:]
		}
		fetcher.Tick(now)
		for _, action := range fetcher.TakeActions() {
			switch action.Kind {
			case Query:
				fetcher.RecordDenial(action.Peer, action.Chunk)
			case FetchOrigin:
				if _, hasParent := plan.Parent(action.Chunk, "a"); hasParent {
					requested++
				}
				pending = append(pending, pendingFetch{chunk: action.Chunk, endsAt: now + 1500*time.Millisecond})
			}
		}
	}
	assert.Positive(t, requested, "others replace a stopped root")
	assert.LessOrEqual(t, requested, 6, "one at a time, of 1.5 s each")
}

// Machines know that the root of a chunk is alive and do not read the origin in its place while the
// origin is unavailable. The confirmation ages from machine to machine, so that it expires some time
// after the root has stopped.
func TestOriginIsLeftToALiveRoot(t *testing.T) {
	plan := NewPlan(StrategyRotated, NewRoster([]Machine{{ID: "a", Zone: "z", Region: "r"}, {ID: "b", Zone: "z", Region: "r"}, {ID: "c", Zone: "z", Region: "r"}}))
	const chunk = 0
	options := Options{Plan: plan, Chunks: 1, MaxFetches: 4, OriginInterval: testOriginInterval, ProgressTimeout: testProgressTimeout}
	for _, self := range []MachineID{"a", "b", "c"} {
		if _, hasParent := plan.Parent(chunk, self); hasParent {
			options.Self = self
		}
	}
	fetcher := NewFetcher(options)
	fetcher.Start(0)
	_, expected := fetcher.Expects(chunk, time.Second)
	assert.False(t, expected)
	fetcher.RecordPending("root", chunk, 0, time.Second)
	age, expected := fetcher.Expects(chunk, 1200*time.Millisecond)
	assert.True(t, expected)
	assert.Equal(t, 200*time.Millisecond, age)
	fetcher.RecordPending("other", chunk, 3*time.Second, 4*time.Second)
	_, expected = fetcher.Expects(chunk, 4*time.Second)
	assert.False(t, expected, "an outdated confirmation does not count")
}
