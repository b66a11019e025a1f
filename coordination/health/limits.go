package health

import (
	"fmt"
	"math"
	"time"
)

// Limits of words: what an entry of this code can't have said is a fault of the entry, or of the
// way here.
const (
	// MaxDuration bounds ages and spans, which are no longer than an entry runs.
	MaxDuration = 10 * 365 * 24 * time.Hour
	// mostCounted bounds the counts of attempts: keptCount makes their sum at most
	// 1/(1-keptCount), beside the recentServed that are counted when a period of failures begins.
	mostCounted = 2 * recentServed
)

// InvalidReportError tells of a word that can't be meant.
type InvalidReportError struct {
	Server, Entry string
	Field         string
	Value         any
}

func (e *InvalidReportError) Error() string {
	return fmt.Sprintf("health of server %q by entry %q: %s is %v, out of its bounds", e.Server, e.Entry, e.Field, e.Value)
}

// Validate reports what of a word can't be meant; a word that was decoded is to be checked before it
// is held. Left is negative once an ejection has ended.
func (w Report) Validate() error {
	leastRound := 0
	if w.Ejected {
		leastRound = 1
	}
	for _, one := range []struct {
		field string
		value any
		sound bool
	}{
		{"since", w.FailureAge, 0 <= w.FailureAge && w.FailureAge <= MaxDuration},
		{"changed", w.StateAge, 0 <= w.StateAge && w.StateAge <= MaxDuration},
		{"left", w.Remaining, -MaxDuration <= w.Remaining && w.Remaining <= longestEjection},
		{"answered", w.AnswerAge, 0 <= w.AnswerAge && w.AnswerAge <= MaxDuration},
		{"tried", w.LostTrialAge, 0 <= w.LostTrialAge && w.LostTrialAge <= MaxDuration},
		{"round", w.Round, leastRound <= w.Round && w.Round <= maximumRounds},
		{"evidence", w.Evidence, 0 <= w.Evidence && w.Evidence <= evidenceCap},
		{"failed", w.Failed, 0 <= w.Failed && w.Failed <= mostCounted},
		{"served", w.Served, 0 <= w.Served && w.Served <= mostCounted},
	} {
		if !one.sound {
			return &InvalidReportError{Server: w.Server, Entry: w.Entry, Field: one.field, Value: one.value}
		}
	}
	return nil
}

// limited is a word within its bounds, whatever the caller has checked.
func (w Report) limited() Report {
	w.FailureAge, w.StateAge = clamp(w.FailureAge, 0, MaxDuration), clamp(w.StateAge, 0, MaxDuration)
	w.AnswerAge, w.LostTrialAge = clamp(w.AnswerAge, 0, MaxDuration), clamp(w.LostTrialAge, 0, MaxDuration)
	w.Remaining = clamp(w.Remaining, -MaxDuration, longestEjection)
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
