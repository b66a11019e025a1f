// Package budget limits the retries that a service receives to a ratio of its requests and a slack. The
// limit holds in any window over a whole fleet without shared state: each member spends a ratio of its own
// requests and a fixed share of the slack.
//
// A member that restarts has forgotten what it spent before. So the limit is divided by age as well:
// members that have counted for a whole window spend establishedFraction of it, and those that started
// within the window startingFraction, of which the slack accrues with their age. Whatever the number of
// lives in a window, one of them at most was established at its beginning, and the ages of all others sum to
// no more than the window. The package does no I/O and reads no clock.
package budget

import (
	"math"
	"time"
)

// Fractions of the limit; their sum is at most 1.
const (
	establishedFraction = 0.8
	startingFraction    = 0.2
)

// bucketCount is the number of buckets that a window is divided into. Requests are counted in the newest
// bucketCount buckets, which cover a window at most, and retries in one more, which cover it at least.
const bucketCount = 100

// Options configures a Budget.
type Options struct {
	// Ratio is the number of retries that the fleet may make per request, Slack the number beside these.
	Ratio float64
	Slack int
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

// Budget counts the requests and retries of one service at one member. Times are since the start of the
// member's process.
type Budget struct {
	options  Options
	requests [bucketCount + 1]int
	retries  [bucketCount + 1]int
	// newest is the number of the newest bucket, counted from the start.
	newest int64
	// resumed is set once the budget goes on with the account of a former life; coveredBefore is how far that
	// reaches back before the start.
	resumed       bool
	coveredBefore time.Duration
	// reserve is that of the last account, sinceAccount the number of retries since then.
	reserve, sinceAccount int
}

// New returns an empty budget.
func New(options Options) *Budget { return &Budget{options: options} }

// SetLimit changes the ratio and the slack; counts are kept.
func (b *Budget) SetLimit(ratio float64, slack int) { b.options.Ratio, b.options.Slack = ratio, slack }

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.index(b.newest)]++
}

// Spend spends one retry and reports whether there was one. The slack is divided among the given number of
// members.
func (b *Budget) Spend(now time.Duration, members int) bool {
	if b.State(now, members).Remaining() < 1 {
		return false
	}
	b.retries[b.index(b.newest)]++
	b.sinceAccount++
	return true
}

// State is what a budget counts in the window that ends now.
type State struct {
	Requests int
	Retries  int
	// AllowedByRatio is the number of retries that the requests allow, AllowedBySlack this member's share of
	// the slack.
	AllowedByRatio float64
	AllowedBySlack float64
	// Established is set once the member has counted for a whole window.
	Established bool
	// Resumed is set if the budget goes on with the account of a former life.
	Resumed bool
}

// Remaining returns how many retries may be spent.
func (s State) Remaining() float64 {
	return s.AllowedByRatio + s.AllowedBySlack - float64(s.Retries)
}

// State returns what the budget counts.
func (b *Budget) State(now time.Duration, members int) State {
	b.advance(now)
	state := State{Established: b.covered(now) >= b.options.Window, Resumed: b.resumed}
	for number := b.newest; number > b.newest-bucketCount; number-- {
		state.Requests += b.requests[b.index(number)]
	}
	for _, retries := range b.retries {
		state.Retries += retries
	}
	// One member more is assumed, so that a member that joins finds its share unspent.
	fraction, slackShare := establishedFraction, float64(b.options.Slack)/float64(members+1)
	if !state.Established {
		fraction = startingFraction
		slackShare *= float64(b.covered(now)) / float64(b.options.Window)
	}
	state.AllowedByRatio = fraction * b.options.Ratio * float64(state.Requests)
	state.AllowedBySlack = fraction * slackShare
	return state
}

// covered returns the time for which the member's requests and retries are counted.
func (b *Budget) covered(now time.Duration) time.Duration { return now + b.coveredBefore }

// number returns the number of the bucket of a time.
func (b *Budget) number(at time.Duration) int64 {
	return int64(math.Floor(float64(at) / float64(b.options.Window/bucketCount)))
}

// index returns the position of a bucket.
func (b *Budget) index(number int64) int64 {
	const length = bucketCount + 1
	return (number%length + length) % length
}

// advance clears the buckets that have left the window.
func (b *Budget) advance(now time.Duration) {
	current := b.number(now)
	if current-b.newest > bucketCount {
		clear(b.requests[:])
		clear(b.retries[:])
		b.newest = current
		return
	}
	for b.newest < current {
		b.newest++
		b.requests[b.index(b.newest)], b.retries[b.index(b.newest)] = 0, 0
	}
}
