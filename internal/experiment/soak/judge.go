package soak

import (
	"fmt"
	"net/http"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Guarantee names a guarantee that a violation breaks.
type Guarantee string

// The guarantees that are checked.
const (
	CompleteOwnAnswer     Guarantee = "whole own answer"
	AtMostOnce            Guarantee = "at most once"
	RefusedNotExecuted    Guarantee = "a refusal is true"
	ConsistentWeights     Guarantee = "no partial or mixed weights"
	CallerIsolation       Guarantee = "the caller's key stays here"
	VersionInTime         Guarantee = "versions in time"
	NoWorkToLeaving       Guarantee = "a leaving server gets no new work"
	StopDropsNothing      Guarantee = "a planned stop cuts nothing"
	RecoveryInTime        Guarantee = "recovery in time"
	AllowedRegions        Guarantee = "requests stay in their allowed regions"
	NoWorkToEvacuated     Guarantee = "an evacuated zone gets no new work"
	ColdLimitKept         Guarantee = "cold servers get what they bear"
	ReloadDropsNothing    Guarantee = "changed settings cut nothing"
	NoUnexpectedExit      Guarantee = "no process ends by itself"
	QueryOfDeathContained Guarantee = "a query of death is kept from servers"
	CrashingPartContained Guarantee = "a part of prompts that crashes servers is kept from them"
	SoundRequestsBegin    Guarantee = "requests that share parts with crashing ones begin at their first attempt"
	BackoffKept           Guarantee = "a server that asks for rest gets it"
	RateLimitKept         Guarantee = "a server gets no more than it names"
	ChangeAfterRestore    Guarantee = "a change after a restore of the store is in force"
	RetryLimitKept        Guarantee = "a service receives no more retries than the limit allows"
	EveryRequestEnds      Guarantee = "every request that was read ends with an answer or a refusal"
)

// RequestKind says how often a request may run.
type RequestKind int

// The kinds of requests.
const (
	// CallOnce may run at most once, CallSafe may run more often; CallStream is a stream that
	// may be resumed.
	CallOnce RequestKind = iota + 1
	CallSafe
	CallStream
)

// Attempt is one request as its caller observed it.
type Attempt struct {
	ID   string
	Kind RequestKind
	// Entry is the process that it was sent to.
	Entry string
	Sent  time.Time
	Ended time.Time
	// Written is when the last byte of the request was sent; zero if that failed. Deadline is the end
	// of the time that the request gives the entry.
	Written  time.Time
	Deadline time.Time
	// Status is 0 when no response header was received.
	Status int
	// Complete is set when the answer was read to its end, Correct when it is the answer to
	// this request with nothing missing.
	Complete bool
	Correct  bool
}

// Interval is a time in which something was disturbed.
type Interval struct {
	From time.Time
	To   time.Time
	// Name is the affected process or server, empty for the whole fleet.
	Name string
}

// overlaps reports whether the interval, extended by recoveryMargin, overlaps the period between two times.
func (s Interval) overlaps(from, to time.Time) bool {
	return s.From.Before(to) && s.To.Add(recoveryMargin).After(from)
}

// Departure is a server's announcement that it leaves.
type Departure struct {
	Server string
	At     time.Time
	// AfterRestore is set when the store had just come back from a copy.
	AfterRestore bool
}

// VersionAnnouncement is the announcement of a version of the weights.
type VersionAnnouncement struct {
	Version uint64
	At      time.Time
}

// Record is everything that a run has recorded.
type Record struct {
	Attempts     []Attempt
	Runs         []site.Run
	Arrivals     []site.Arrival
	Disturbances []Interval
	Stops        []Interval
	// Kills are the times in which entries and agents were killed and not yet started again. BreakOffs are
	// the times in which servers crashed or could break off connections.
	Kills                []Interval
	BreakOffs            []Interval
	Departures           []Departure
	VersionAnnouncements []VersionAnnouncement
	// Residencies apply from before the first process starts.
	Residencies site.Residencies
	// Restrictions are the region restrictions of the published configurations, in order. The
	// first was published before any process started.
	Restrictions []Restriction
	Deliveries   []site.Delivery
	// Notices are the server notices in responses. LimitTimes are the times in which servers announced a rate limit.
	Notices     []site.ServerNotice
	LimitTimes  []Interval
	Evacuations []Evacuation
	// Crashes are the servers that requests have crashed, CrashSenders the entries that such requests were sent to.
	Crashes      []site.ServerCrash
	CrashSenders map[string]string
	// PartTraffic are the times in which requests with a crashing part were sent.
	PartTraffic []PartTraffic
	// RouteProbes are requests on routes that were published after a restore of the store.
	RouteProbes []RouteProbe
	// Reloads are the intervals in which changed settings take effect.
	Reloads []Interval
	// VersionApply and the durations below are the platform's time limits.
	VersionApply       time.Duration
	ConfigurationApply time.Duration
	EvacuationApply    time.Duration
	Drain              time.Duration
	Grace              time.Duration
	// ColdLimit is how many requests a cold server may receive in any second.
	ColdLimit float64
	// RetryLimit is how many retries a service may receive in a window.
	RetryLimit site.RetryLimit
}

// Violation is one violated guarantee.
type Violation struct {
	Guarantee Guarantee
	At        time.Time
	Request   string
	Detail    string
}

// Margins of the checks.
const (
	// recoveryMargin is how long after a disturbance time limits are not checked.
	recoveryMargin = 3 * time.Second
	// slack is added to time limits for messages in flight.
	slack = 300 * time.Millisecond
)

// Check returns every violated guarantee in a record.
func Check(record Record) []Violation {
	var found []Violation
	runs, arrived := record.runsByRequest(), record.arrivedIDs()
	for _, attempt := range record.Attempts {
		found = append(found, record.checkUnanswered(attempt, runs[attempt.ID], arrived[attempt.ID])...)
		found = append(found, checkAttempt(attempt, runs[attempt.ID])...)
		found = append(found, record.checkStop(attempt)...)
		found = append(found, record.checkReload(attempt)...)
	}
	for _, run := range record.Runs {
		found = append(found, record.checkRun(run)...)
	}
	for _, arrival := range record.Arrivals {
		if record.Residencies.Outside(arrival) {
			found = append(found, Violation{
				Guarantee: AllowedRegions, At: arrival.At, Request: arrival.RequestID, Detail: "it arrived at " + arrival.Server + " in " + arrival.Region,
			})
		}
	}
	senders := record.senders()
	found = append(found, record.checkRestrictions(senders)...)
	found = append(found, record.checkEvacuations(senders)...)
	found = append(found, record.checkCrashes()...)
	found = append(found, record.checkServedBesideParts(runs)...)
	found = append(found, record.checkProbes()...)
	found = append(found, record.checkNotices(senders)...)
	found = append(found, record.checkRetries()...)
	return append(found, record.checkCold()...)
}

// runsByRequest returns the executions of each request.
func (r Record) runsByRequest() map[string][]site.Run {
	runs := map[string][]site.Run{}
	for _, run := range r.Runs {
		runs[run.RequestID] = append(runs[run.RequestID], run)
	}
	return runs
}

func checkAttempt(attempt Attempt, runs []site.Run) []Violation {
	var found []Violation
	add := func(guarantee Guarantee, detail string) {
		found = append(found, Violation{Guarantee: guarantee, At: attempt.Ended, Request: attempt.ID, Detail: detail})
	}
	if attempt.Status == http.StatusOK && attempt.Complete && !attempt.Correct {
		add(CompleteOwnAnswer, "a complete answer has missing parts or belongs to another request, from "+attempt.Entry)
	}
	if attempt.Kind == CallOnce && len(runs) > 1 {
		add(AtMostOnce, fmt.Sprintf("ran %d times", len(runs)))
	}
	if meansNotExecuted(attempt.Status) && len(runs) > 0 {
		add(RefusedNotExecuted, fmt.Sprintf("%s answered %d, and it ran at %s", attempt.Entry, attempt.Status, runs[0].Server))
	}
	return found
}

// meansNotExecuted reports whether a status guarantees that the request has not run.
func meansNotExecuted(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkRun checks one execution of a request at a server.
func (r Record) checkRun(run site.Run) []Violation {
	var found []Violation
	add := func(guarantee Guarantee, detail string) {
		found = append(found, Violation{Guarantee: guarantee, At: run.At, Request: run.RequestID, Detail: run.Server + ": " + detail})
	}
	if run.Corrupt {
		add(ConsistentWeights, "it ran on missing or corrupt pieces")
	}
	if run.KeyReceived || run.Tenant != site.Tenant {
		add(CallerIsolation, "it arrived with the caller's key or another tenant")
	}
	for _, naming := range r.VersionAnnouncements {
		due := naming.At.Add(r.VersionApply + slack)
		if run.Version != 0 && run.Version < naming.Version && run.At.After(due) && r.nothingDisturbed(naming.At, run.At) {
			add(VersionInTime, fmt.Sprintf("it ran on version %d, %s after %d was announced", run.Version, run.At.Sub(naming.At), naming.Version))
		}
	}
	for _, departure := range r.Departures {
		undisturbed := r.nothingDisturbed
		if departure.AfterRestore {
			undisturbed = r.nothingElseDisturbed
		}
		if run.Server == departure.Server && run.At.After(departure.At.Add(r.Drain+slack)) && undisturbed(departure.At, run.At) {
			add(NoWorkToLeaving, fmt.Sprintf("it ran %s after the server announced that it leaves", run.At.Sub(departure.At)))
		}
	}
	return found
}

// checkStop checks a request that was in progress at an entry when the entry was stopped
// gracefully, while nothing else was disturbed.
func (r Record) checkStop(attempt Attempt) []Violation {
	if attempt.Status == 0 || attempt.Complete {
		return nil
	}
	for _, stop := range r.Stops {
		inProgress := attempt.Entry == stop.Name && attempt.Sent.Before(stop.From) && attempt.Ended.After(stop.From) && attempt.Ended.Before(stop.From.Add(r.Grace))
		if inProgress && r.nothingDisturbed(attempt.Sent, attempt.Ended) {
			return []Violation{{Guarantee: StopDropsNothing, At: attempt.Ended, Request: attempt.ID, Detail: attempt.Entry + " cut it " + attempt.Ended.Sub(stop.From).String() + " after its stop"}}
		}
	}
	return nil
}

// nothingDisturbed reports whether nothing was disturbed from recoveryMargin before one time to
// another.
func (r Record) nothingDisturbed(from, to time.Time) bool {
	for _, interval := range r.Disturbances {
		if interval.overlaps(from, to) {
			return false
		}
	}
	return true
}
