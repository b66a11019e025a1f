package dissemination

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A machine that is the root of many chunks asks the origin for each when its turn
// comes, a few chunks ahead, not for all at the start.
func TestOriginIsReadInTurns(t *testing.T) {
	const (
		chunks   = 60
		interval = 30 * time.Millisecond
	)
	fetcher := NewFetcher(Options{
		Self: "a", Plan: NewPlan(StrategyRotated, NewRoster([]Machine{{ID: "a", Zone: "z", Region: "r"}})), Chunks: chunks,
		MaxFetches: chunks, OriginWindow: chunks, OriginInterval: interval, ProgressTimeout: time.Second,
	})
	begin := 5 * time.Second
	fetcher.Start(begin)
	asked := 0
	for step := time.Duration(0); step <= chunks*interval; step += interval {
		fetcher.Tick(begin + step)
		for _, action := range fetcher.TakeActions() {
			assert.Equal(t, FetchOrigin, action.Kind)
			fetcher.RecordFetched("", action.Chunk, begin+step)
			asked++
		}
		due := int(step/interval) + originAhead + 1
		assert.Equal(t, min(due, chunks), asked, "after %s", step)
	}
}

// Times of the tests with an origin that is away, those of the agents: a piece of 24 KiB takes
// 45 ms over a link of 4.4 Mbit/s; agents look each 50 ms, and wait 0.3 s for progress.
const (
	pieceTime  = 50 * time.Millisecond
	lookPeriod = 50 * time.Millisecond
	patience   = 300 * time.Millisecond
)

// originOfTest plays machines that are the roots of all chunks with an origin that is away
// for a while, and returns when each attempt was made.
func originOfTest(t *testing.T, away func(now time.Duration) bool, until time.Duration) (attempts []time.Duration, fetcher *Fetcher) {
	t.Helper()
	const chunks = 60
	fetcher = NewFetcher(Options{
		Self: "a", Plan: NewPlan(StrategyRotated, NewRoster([]Machine{{ID: "a", Zone: "z", Region: "r"}})), Chunks: chunks,
		MaxFetches: 10, OriginWindow: chunks, OriginInterval: pieceTime, ProgressTimeout: patience, LagChunks: 24,
	})
	fetcher.Start(0)
	for now := time.Duration(0); now < until; now += lookPeriod {
		fetcher.Tick(now)
		for _, action := range fetcher.TakeActions() {
			attempts = append(attempts, now)
			if away(now) {
				fetcher.RecordFetchFailure("", action.Chunk, Unreachable, now)
			} else {
				fetcher.RecordFetched("", action.Chunk, now)
			}
		}
	}
	return attempts, fetcher
}

// An origin that is away is asked at the pace at which it would hand chunks out, and gives
// all of them within about one copy's time once it is back.
func TestOriginThatIsAwayIsAskedInTurns(t *testing.T) {
	const back = 8 * time.Second
	attempts, fetcher := originOfTest(t, func(now time.Duration) bool { return now > time.Second && now < back }, back+4*time.Second)
	assert.Zero(t, fetcher.Missing())
	inOutage := 0
	for _, at := range attempts {
		if at > 2*time.Second && at < back {
			inOutage++
		}
	}
	assert.LessOrEqual(t, inOutage, 6*20+20, "twenty a second is what the link carries")
	assert.Greater(t, inOutage, 40, "its return is noticed")
}

// A single failure, while other chunks come, is made up for at once.
func TestOriginIsAskedAgainSoonAfterOneFailure(t *testing.T) {
	failed := false
	_, fetcher := originOfTest(t, func(now time.Duration) bool {
		fails := !failed && now > time.Second
		failed = failed || fails
		return fails
	}, 3600*time.Millisecond)
	assert.True(t, failed)
	assert.Zero(t, fetcher.Missing(), "a copy takes 3 s")
}

// While the origin is away every machine of a zone finds that all others lack every chunk.
// Those that are not a chunk's root ask the origin for one at a time, and seldom.
func TestReadersDoNotQueueUpAtAnOriginThatIsAway(t *testing.T) {
	var machines []Machine
	for _, id := range []MachineID{"a", "b", "c", "d", "e", "f"} {
		machines = append(machines, Machine{ID: id, Zone: "z", Region: "r"})
	}
	plan := NewPlan(StrategyRotated, NewRoster(machines))
	fetcher := NewFetcher(Options{
		Self: "a", Plan: plan, Chunks: 60, MaxFetches: 10, OriginWindow: 60, OriginInterval: pieceTime,
		ProgressTimeout: patience, LagChunks: 24,
	})
	fetcher.Start(0)
	asked := 0
	type pendingFetch struct {
		chunk int
		ends  time.Duration
	}
	var pending []pendingFetch
	for now := time.Duration(0); now < 8*time.Second; now += lookPeriod {
		for len(pending) > 0 && pending[0].ends <= now {
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
					asked++
				}
				pending = append(pending, pendingFetch{chunk: action.Chunk, ends: now + 1500*time.Millisecond})
			}
		}
	}
	assert.Positive(t, asked, "a root that is gone is stood in for")
	assert.LessOrEqual(t, asked, 6, "one at a time, of 1.5 s each")
}

// Machines learn that the root of a chunk lives, and do not read the origin in its place while
// that is away. The word ages on its way, so that it ends some time after the root has.
func TestRootThatLivesIsLeftTheOrigin(t *testing.T) {
	plan := NewPlan(StrategyRotated, NewRoster([]Machine{{ID: "a", Zone: "z", Region: "r"}, {ID: "b", Zone: "z", Region: "r"}, {ID: "c", Zone: "z", Region: "r"}}))
	const chunk = 0
	options := Options{Plan: plan, Chunks: 1, MaxFetches: 4, OriginInterval: pieceTime, ProgressTimeout: patience}
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
	assert.False(t, expected, "others know no better")
}
