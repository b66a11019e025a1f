package health

import (
	"fmt"
	"math"
	"time"
)

// Limits of report fields. A value that an entry of this version can't send is a fault of the
// sender or of the transport.
const (
	// MaxDuration limits ages and durations, which can't exceed the run time of an entry.
	MaxDuration = 10 * 365 * 24 * time.Hour
	// maxCount limits the counts of attempts. With attemptDecay their sum is at most
	// 1/(1-attemptDecay), plus the maxRecentServed attempts that are counted when a failure period
	// begins.
	maxCount = 2 * maxRecentServed
)

// InvalidReportError describes a report with an invalid field.
type InvalidReportError struct {
	Server, Entry string
	Field         string
	Value         any
}

func (e *InvalidReportError) Error() string {
	return fmt.Sprintf("health report on server %q by entry %q: %s is %v, out of bounds", e.Server, e.Entry, e.Field, e.Value)
}

// Validate returns an error if a field of the report is out of bounds. A decoded report must be
// validated before it is stored. Remaining is negative after the end of an ejection.
func (r Report) Validate() error {
	minRound := 0
	if r.Ejected {
		minRound = 1
	}
	for _, check := range []struct {
		field string
		value any
		valid bool
	}{
		{"since", r.FailureAge, 0 <= r.FailureAge && r.FailureAge <= MaxDuration},
		{"changed", r.StateAge, 0 <= r.StateAge && r.StateAge <= MaxDuration},
		{"left", r.Remaining, -MaxDuration <= r.Remaining && r.Remaining <= maxEjection},
		{"answered", r.AnswerAge, 0 <= r.AnswerAge && r.AnswerAge <= MaxDuration},
		{"tried", r.LostTrialAge, 0 <= r.LostTrialAge && r.LostTrialAge <= MaxDuration},
		{"round", r.Round, minRound <= r.Round && r.Round <= maxRounds},
		{"evidence", r.Evidence, 0 <= r.Evidence && r.Evidence <= maxEvidence},
		{"failed", r.Failed, 0 <= r.Failed && r.Failed <= maxCount},
		{"served", r.Served, 0 <= r.Served && r.Served <= maxCount},
	} {
		if !check.valid {
			return &InvalidReportError{Server: r.Server, Entry: r.Entry, Field: check.field, Value: check.value}
		}
	}
	return nil
}

// clamped returns the report with all fields within their bounds, whether or not the caller has
// validated it.
func (r Report) clamped() Report {
	r.FailureAge, r.StateAge = clampDuration(r.FailureAge, 0, MaxDuration), clampDuration(r.StateAge, 0, MaxDuration)
	r.AnswerAge, r.LostTrialAge = clampDuration(r.AnswerAge, 0, MaxDuration), clampDuration(r.LostTrialAge, 0, MaxDuration)
	r.Remaining = clampDuration(r.Remaining, -MaxDuration, maxEjection)
	r.Round = min(max(r.Round, 0), maxRounds)
	if r.Ejected {
		r.Round = max(r.Round, 1)
	}
	r.Evidence, r.Failed, r.Served = clampCount(r.Evidence, maxEvidence), clampCount(r.Failed, maxCount), clampCount(r.Served, maxCount)
	return r
}

func clampDuration(value, lower, upper time.Duration) time.Duration {
	return min(max(value, lower), upper)
}

func clampCount(value, upper float64) float64 {
	if math.IsNaN(value) {
		return 0
	}
	return min(max(value, 0), upper)
}
