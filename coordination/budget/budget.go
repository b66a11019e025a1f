// Package budget holds the repeats that a service receives to a share of the
// requests for it. The bound holds over a whole fleet without shared state: each
// member spends a share of its own requests, and a fixed part of the slack. It
// does no I/O and reads no clock.
package budget

import "time"

// buckets is how finely the window is counted.
const buckets = 20

// Options tunes a Budget.
type Options struct {
	// Ratio is how many repeats each request allows.
	Ratio float64
	// Window is the time over which requests and repeats are counted.
	Window time.Duration
}

// Budget counts the requests and repeats of one service at one member.
type Budget struct {
	options  Options
	requests [buckets]int
	repeats  [buckets]int
	// newest is the number of the newest bucket since the clock's zero.
	newest int64
}

// New returns an empty budget.
func New(options Options) *Budget { return &Budget{options: options} }

// SetRatio changes how many repeats each request allows; what is counted stays.
func (b *Budget) SetRatio(ratio float64) { b.options.Ratio = ratio }

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.newest%buckets]++
}

// Spend spends one repeat, if there is one: the repeats of the window must stay
// within the ratio of its requests and this member's part of the slack.
func (b *Budget) Spend(now time.Duration, slackPart float64) bool {
	if b.Remaining(now, slackPart) < 1 {
		return false
	}
	b.repeats[b.newest%buckets]++
	return true
}

// Remaining returns how many repeats may be spent now.
func (b *Budget) Remaining(now time.Duration, slackPart float64) float64 {
	b.advance(now)
	requests, repeats := 0, 0
	for index := range buckets {
		requests += b.requests[index]
		repeats += b.repeats[index]
	}
	return b.options.Ratio*float64(requests) + slackPart - float64(repeats)
}

// advance empties the buckets that have left the window.
func (b *Budget) advance(now time.Duration) {
	current := int64(now / (b.options.Window / buckets))
	if current-b.newest >= buckets {
		b.requests, b.repeats = [buckets]int{}, [buckets]int{}
		b.newest = current
		return
	}
	for b.newest < current {
		b.newest++
		b.requests[b.newest%buckets], b.repeats[b.newest%buckets] = 0, 0
	}
}

// cautiousMembers is how many members are assumed until the others are known.
const cautiousMembers = 16

// SlackShare is a member's part of a slack that all members share. Members that
// join must find their part unspent, so that one more than seen is reckoned with.
func SlackShare(slack, mostSeen int, settled bool) float64 {
	members := mostSeen + 1
	if !settled {
		members = max(members, cautiousMembers)
	}
	return float64(slack) / float64(members)
}
