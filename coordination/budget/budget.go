// Package budget limits the retries that a service receives to a ratio of its requests. The limit
// holds over a whole fleet without shared state: each member spends a ratio of its own requests and
// a fixed share of the slack. The package does no I/O and reads no clock.
package budget

import "time"

// bucketCount is the number of buckets that a window is divided into.
const bucketCount = 20

// Options configures a Budget.
type Options struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

// Budget counts the requests and retries of one service at one member.
type Budget struct {
	options  Options
	requests [bucketCount]int
	retries  [bucketCount]int
	// newest is the number of the newest bucket, counted from the clock's zero.
	newest int64
}

// New returns an empty budget.
func New(options Options) *Budget { return &Budget{options: options} }

// SetRatio changes the number of retries allowed per request; counts are kept.
func (b *Budget) SetRatio(ratio float64) { b.options.Ratio = ratio }

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.newest%bucketCount]++
}

// Spend spends one retry and reports whether there was one: the retries of the window must stay
// within the ratio of its requests plus this member's share of the slack.
func (b *Budget) Spend(now time.Duration, slackShare float64) bool {
	if b.Remaining(now, slackShare) < 1 {
		return false
	}
	b.retries[b.newest%bucketCount]++
	return true
}

// Remaining returns how many retries may be spent now.
func (b *Budget) Remaining(now time.Duration, slackShare float64) float64 {
	return b.State(now, slackShare).Remaining()
}

// State is what a budget counts in the window that ends now.
type State struct {
	Requests int
	Retries  int
	// AllowedByRatio is the number of retries that the requests allow, AllowedBySlack this member's share of
	// the slack.
	AllowedByRatio float64
	AllowedBySlack float64
}

// Remaining returns how many retries may be spent.
func (s State) Remaining() float64 {
	return s.AllowedByRatio + s.AllowedBySlack - float64(s.Retries)
}

// State returns what the budget counts.
func (b *Budget) State(now time.Duration, slackShare float64) State {
	b.advance(now)
	state := State{AllowedBySlack: slackShare}
	for index := range bucketCount {
		state.Requests += b.requests[index]
		state.Retries += b.retries[index]
	}
	state.AllowedByRatio = b.options.Ratio * float64(state.Requests)
	return state
}

// advance clears the buckets that have left the window.
func (b *Budget) advance(now time.Duration) {
	current := int64(now / (b.options.Window / bucketCount))
	if current-b.newest >= bucketCount {
		b.requests, b.retries = [bucketCount]int{}, [bucketCount]int{}
		b.newest = current
		return
	}
	for b.newest < current {
		b.newest++
		b.requests[b.newest%bucketCount], b.retries[b.newest%bucketCount] = 0, 0
	}
}

// assumedMembers is the number of members assumed until the others are known.
const assumedMembers = 16

// SlackShare returns a member's share of the slack of all members. maxMembers is the largest number
// of members known at a time; membersKnown is false for a member that has just started and may not
// know all others. One member more is assumed, so that a member that joins finds its share unspent.
func SlackShare(slack, maxMembers int, membersKnown bool) float64 {
	members := maxMembers + 1
	if !membersKnown {
		members = max(members, assumedMembers)
	}
	return float64(slack) / float64(members)
}
