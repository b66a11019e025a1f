package health

import (
	"fmt"
	"math"
	"time"
)

// Limits of words: what an entry of this code can't have said is a fault of the entry, or of the
// way here.
const (
	// LongestSpan bounds ages and spans, which are no longer than an entry runs.
	LongestSpan = 10 * 365 * 24 * time.Hour
	// mostCounted bounds the counts of attempts: keptCount makes their sum at most
	// 1/(1-keptCount), beside the recentServed that are counted when a period of failures begins.
	mostCounted = 2 * recentServed
)

// InvalidWord tells of a word that can't be meant.
type InvalidWord struct {
	Server, Entry string
	Field         string
	Value         any
}

func (e *InvalidWord) Error() string {
	return fmt.Sprintf("health of server %q by entry %q: %s is %v, out of its bounds", e.Server, e.Entry, e.Field, e.Value)
}

// Check reports what of a word can't be meant; a word that was decoded is to be checked before it
// is held. Left is negative once an ejection has ended.
func (w Word) Check() error {
	leastRound := 0
	if w.Ejected {
		leastRound = 1
	}
	for _, one := range []struct {
		field string
		value any
		sound bool
	}{
		{"since", w.Since, 0 <= w.Since && w.Since <= LongestSpan},
		{"changed", w.Changed, 0 <= w.Changed && w.Changed <= LongestSpan},
		{"left", w.Left, -LongestSpan <= w.Left && w.Left <= longestEjection},
		{"answered", w.Answered, 0 <= w.Answered && w.Answered <= LongestSpan},
		{"tried", w.Tried, 0 <= w.Tried && w.Tried <= LongestSpan},
		{"round", w.Round, leastRound <= w.Round && w.Round <= maximumRounds},
		{"evidence", w.Evidence, 0 <= w.Evidence && w.Evidence <= evidenceCap},
		{"failed", w.Failed, 0 <= w.Failed && w.Failed <= mostCounted},
		{"served", w.Served, 0 <= w.Served && w.Served <= mostCounted},
	} {
		if !one.sound {
			return &InvalidWord{Server: w.Server, Entry: w.Entry, Field: one.field, Value: one.value}
		}
	}
	return nil
}

// limited is a word within its bounds, whatever the caller has checked.
func (w Word) limited() Word {
	w.Since, w.Changed = clamp(w.Since, 0, LongestSpan), clamp(w.Changed, 0, LongestSpan)
	w.Answered, w.Tried = clamp(w.Answered, 0, LongestSpan), clamp(w.Tried, 0, LongestSpan)
	w.Left = clamp(w.Left, -LongestSpan, longestEjection)
	w.Round = min(max(w.Round, 0), maximumRounds)
	if w.Ejected {
		w.Round = max(w.Round, 1)
	}
	w.Evidence, w.Failed, w.Served = limitedCount(w.Evidence, evidenceCap), limitedCount(w.Failed, mostCounted), limitedCount(w.Served, mostCounted)
	return w
}

func clamp(value, least, most time.Duration) time.Duration { return min(max(value, least), most) }

func limitedCount(value, most float64) float64 {
	if math.IsNaN(value) {
		return 0
	}
	return min(max(value, 0), most)
}
