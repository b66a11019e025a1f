package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
)

// validRecord returns the record of a run in which every guarantee held, with one request of each
// kind, an announced version and a server that left.
func validRecord(start time.Time) Record {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	run := func(id, server string, version uint64, seconds float64) site.Run {
		return site.Run{RequestID: id, Server: server, Version: version, Tenant: site.Tenant, At: at(seconds)}
	}
	return Record{
		Attempts: []Attempt{
			{ID: "once", Kind: CallOnce, Entry: "entry-0-0", Sent: at(1), Ended: at(1.1), Status: 200, Complete: true, Correct: true},
			{ID: "stream", Kind: CallStream, Entry: "entry-0-0", Sent: at(40), Ended: at(41), Status: 200, Complete: true, Correct: true},
			{ID: "refused", Kind: CallSafe, Entry: "entry-0-0", Sent: at(2), Ended: at(2.1), Status: 503, Complete: true},
		},
		Runs: []site.Run{run("once", "p-1", 0, 1), run("stream", "i-1", 2, 40)},
		Arrivals: []site.Arrival{
			{RequestID: "once", Server: "p-1", Path: site.OncePrefix, Region: site.RegionName(1), At: at(1)},
			{RequestID: "stream", Server: "i-1", Path: site.StreamPrefix, Region: site.RegionName(2), At: at(40)},
		},
		Residencies:          site.Residencies{site.OncePrefix: {site.RegionName(0), site.RegionName(1)}},
		VersionAnnouncements: []VersionAnnouncement{{Version: 2, At: at(20)}},
		Departures:           []Departure{{Server: "i-2", At: at(30)}},
		Restrictions: []Restriction{
			{At: at(0), Residencies: site.Residencies{site.OncePrefix: {site.RegionName(0), site.RegionName(1)}}},
			{At: at(50), Residencies: site.Residencies{site.OncePrefix: {site.RegionName(0)}}},
			{At: at(60), Residencies: site.Residencies{site.OncePrefix: {site.RegionName(0), site.RegionName(1)}}},
		},
		Deliveries: []site.Delivery{
			{RequestID: "once", Server: "p-1", Zone: site.ZoneName(1), At: at(1)},
			{RequestID: "stream", Server: "i-1", Zone: site.ZoneName(2), Cold: true, At: at(40)},
			{RequestID: "stream", Server: "i-1", Zone: site.ZoneName(2), Cold: true, At: at(41)},
			{RequestID: "once", Server: "i-4", Zone: site.ZoneName(1), At: at(90.4)},
			{RequestID: "once", Server: "i-4", Zone: site.ZoneName(1), At: at(90.6)},
			{RequestID: "once", Server: "i-4", Zone: site.ZoneName(1), At: at(90.7)},
			{RequestID: "once", Server: "i-5", Zone: site.ZoneName(1), At: at(96.5)}, {RequestID: "once", Server: "i-5", Zone: site.ZoneName(1), At: at(96.6)},
			{RequestID: "once", Server: "i-5", Zone: site.ZoneName(1), At: at(96.7)},
		},
		Notices: []site.ServerNotice{
			{RequestID: "stream", Server: "i-1", At: at(39), Leaving: true},
			{RequestID: "once", Server: "i-4", At: at(90), Backoff: 2 * time.Second},
			{RequestID: "once", Server: "i-5", At: at(93), Limited: true, PerSecond: 0.5}, {RequestID: "once", Server: "i-5", At: at(99), Limited: true, PerSecond: 0.5},
		},
		Crashes: []site.ServerCrash{
			{Server: "i-7", RequestID: "ending-0-1-0", At: at(80)}, {Server: "i-8", RequestID: "ending-0-1-1", At: at(81)}, {Server: "i-9", RequestID: "ending-0-1-2", At: at(82)},
			{Server: "i-6", RequestID: "ending-1-1-0", At: at(82)},
		},
		CrashSenders: map[string]string{"ending-0-1-3": "entry-0-0", "part-1-1-9": "entry-0-0"},
		Evacuations:  []Evacuation{{Zone: site.ZoneName(2), Requested: at(30), Ended: at(38)}, {Zone: site.ZoneName(0), Requested: at(39)}},
		Reloads:      []Interval{{From: at(70), To: at(72), Name: "entry-0-0"}},
		Stops:        []Interval{{From: at(40.5), To: at(48.5), Name: "entry-0-0"}},
		VersionApply: 8 * time.Second, Drain: 3 * time.Second, Grace: 8 * time.Second,
		ConfigurationApply: 2 * time.Second, EvacuationApply: 3 * time.Second, ColdLimit: 1,
		RetryLimit: site.RetryLimit{Ratio: 0.2, Slack: 3, Window: 10 * time.Second},
	}
}

// The check of each guarantee reports its violation and nothing else.
func TestEachViolationIsFound(t *testing.T) {
	start := time.Now()
	require.Empty(t, Check(validRecord(start)))
	deliver := func(server string, seconds float64) site.Delivery {
		return site.Delivery{RequestID: "once", Server: server, Zone: site.ZoneName(1), At: start.Add(time.Duration(seconds * float64(time.Second)))}
	}
	for _, test := range []struct {
		guarantee Guarantee
		corrupt   func(*Record)
	}{
		{CompleteOwnAnswer, func(r *Record) { r.Attempts[1].Correct = false }},
		{AtMostOnce, func(r *Record) { r.Runs = append(r.Runs, r.Runs[0]) }},
		{RefusedNotExecuted, func(r *Record) { r.Attempts[0].Status = 503 }},
		{ConsistentWeights, func(r *Record) { r.Runs[1].Corrupt = true }},
		{CallerIsolation, func(r *Record) { r.Runs[0].KeyReceived = true }},
		{CallerIsolation, func(r *Record) { r.Runs[0].Tenant = "another" }},
		{VersionInTime, func(r *Record) { r.Runs[1].Version = 1 }},
		{NoWorkToLeaving, func(r *Record) { r.Runs[1].Server = "i-2" }},
		{AllowedRegions, func(r *Record) { r.Arrivals[0].Region = site.RegionName(2) }},
		{AllowedRegions, func(r *Record) { r.Arrivals[0].Region = "" }},
		{StopDropsNothing, func(r *Record) { r.Attempts[1].Complete, r.Attempts[1].Correct = false, false }},
		{AllowedRegions, func(r *Record) { r.Arrivals[0].At = start.Add(55 * time.Second) }},
		{NoWorkToEvacuated, func(r *Record) { r.Deliveries[1].At = start.Add(34 * time.Second) }},
		{NoWorkToEvacuated, func(r *Record) {
			r.Deliveries[2].Zone, r.Deliveries[2].At = site.ZoneName(0), start.Add(52*time.Second)
		}},
		{ColdLimitKept, func(r *Record) { r.Deliveries[2].At = start.Add(40900 * time.Millisecond) }},
		{ReloadDropsNothing, func(r *Record) {
			r.Attempts[2].Sent, r.Attempts[2].Ended, r.Attempts[2].Complete = start.Add(71*time.Second), start.Add(73*time.Second), false
		}},
		{ReloadDropsNothing, func(r *Record) {
			r.Attempts[2].Sent, r.Attempts[2].Ended, r.Attempts[2].Status = start.Add(69*time.Second), start.Add(70100*time.Millisecond), 0
		}},
		{QueryOfDeathContained, func(r *Record) {
			for range allowedLateSends + 1 {
				r.Arrivals = append(r.Arrivals, site.Arrival{RequestID: "ending-0-1-3", Server: "i-1", Path: site.StreamPrefix, Region: site.RegionName(2), At: start.Add(86 * time.Second)})
			}
		}},
		{CrashingPartContained, func(r *Record) {
			for number := range allowedPartCrashes {
				r.Crashes = append(r.Crashes, site.ServerCrash{Server: "i-7", RequestID: fmt.Sprintf("part-1-1-%d", number), At: start.Add(82 * time.Second)})
			}
			for range allowedLateSends + 1 {
				r.Arrivals = append(r.Arrivals, site.Arrival{RequestID: "part-1-1-9", Server: "i-1", Path: site.StreamPrefix, Region: site.RegionName(2), At: start.Add(86 * time.Second)})
			}
		}},
		{SoundRequestsBegin, func(r *Record) {
			r.PartTraffic = []PartTraffic{{Interval: Interval{From: start.Add(79 * time.Second), To: start.Add(95 * time.Second)}}}
			for number := range minComparedStreams {
				begun, refused := fmt.Sprintf("begun-%d", number), fmt.Sprintf("refused-%d", number)
				r.Attempts = append(r.Attempts,
					Attempt{ID: begun, Kind: CallStream, Entry: "entry-0-0", Sent: start.Add(60 * time.Second), Ended: start.Add(61 * time.Second), Status: 200, Complete: true, Correct: true},
					Attempt{ID: refused, Kind: CallStream, Entry: "entry-0-0", Sent: start.Add(89 * time.Second), Ended: start.Add(89 * time.Second), Status: 503, Complete: true})
				r.Runs = append(r.Runs, site.Run{RequestID: begun, Server: "i-1", Version: 2, Tenant: site.Tenant, At: start.Add(60 * time.Second)})
			}
		}},
		{NoWorkToLeaving, func(r *Record) { r.Notices[0].At = start.Add(31 * time.Second) }},
		{BackoffKept, func(r *Record) { r.Deliveries = append(r.Deliveries, deliver("i-4", 91)) }},
		{RetryLimitKept, func(r *Record) {
			for range r.RetryLimit.Slack + 1 {
				r.Arrivals = append(r.Arrivals, r.Arrivals[1])
			}
		}},
		{RateLimitKept, func(r *Record) {
			for range site.LimitSlack + 1 {
				r.Deliveries = append(r.Deliveries, deliver("i-5", 97))
			}
		}},
	} {
		record := validRecord(start)
		test.corrupt(&record)
		found := Check(record)
		if assert.Len(t, found, 1, test.guarantee) {
			assert.Equal(t, test.guarantee, found[0].Guarantee)
		}
	}
}

// Time limits are checked only where nothing was disturbed shortly before.
func TestTimeLimitsWaitForRecovery(t *testing.T) {
	start := time.Now()
	record := validRecord(start)
	record.Runs[1].Version = 1
	record.Disturbances = []Interval{{From: start.Add(15 * time.Second), To: start.Add(18 * time.Second)}}
	assert.Empty(t, Check(record), "the version was announced 2 s after the store recovered")
	record.Disturbances[0].To = start.Add(16 * time.Second)
	assert.Len(t, Check(record), 1)
}

// A request sent to a place that a newer configuration or an evacuation forbids is a violation only
// after the time limit, and only from a connected entry.
func TestPlacementLimitsHoldForConnectedEntries(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	record := validRecord(start)
	record.Arrivals[0].At, record.Deliveries[1].At = at(55), at(34)
	require.Len(t, Check(record), 2)
	for _, test := range []struct {
		name      string
		intervals []Interval
		found     int
	}{
		{"the store was down shortly before", []Interval{{From: at(30), To: at(32)}, {From: at(51), To: at(53)}}, 0},
		{"the entry was frozen", []Interval{{From: at(33), To: at(34)}, {From: at(54), To: at(56)}}, 0},
		{"the store recovered long before", []Interval{{From: at(29), To: at(30.5)}, {From: at(49), To: at(51)}}, 2},
		{"another entry was frozen", []Interval{{From: at(29), To: at(60), Name: "entry-1-0"}}, 2},
	} {
		record.Disturbances = test.intervals
		assert.Len(t, Check(record), test.found, test.name)
	}
	record = validRecord(start)
	record.Arrivals[0].At, record.Deliveries[1].At = at(51.5), at(32.5)
	assert.Empty(t, Check(record), "before the time limits")
	record.Arrivals[0].At, record.Deliveries[1].At = at(60.5), at(38.5)
	assert.Empty(t, Check(record), "after they were withdrawn")
}

// Requests whose callers still wait are checked once the entry that they were sent to is recorded.
func TestRequestsInProgressAreCheckedLater(t *testing.T) {
	record := validRecord(time.Now())
	record.Deliveries[1].At = record.Evacuations[0].Requested.Add(4 * time.Second)
	answered := record.Attempts
	record.Attempts = nil
	assert.Empty(t, Check(record))
	record.Attempts = answered
	assert.Len(t, Check(record), 1)
}

// A server whose health is falsely reported good is no exception to at-most-once: a request that it
// began and then failed must not run again on another server.
func TestSecondRunAfterFalseHealthIsFound(t *testing.T) {
	record := validRecord(time.Now())
	lying := record.Runs[0]
	lying.Server = "p-lying"
	record.Runs = append(record.Runs, lying)
	record.Attempts[0].Status, record.Attempts[0].Correct = 500, false
	record.Disturbances = []Interval{{From: lying.At, To: lying.At.Add(time.Second), Name: "p-lying"}}
	found := Check(record)
	require.Len(t, found, 1)
	assert.Equal(t, AtMostOnce, found[0].Guarantee)
}

// The same seed always gives the same schedule, and 30 seeds together give every kind of fault.
func TestSchedulesComeFromTheSeed(t *testing.T) {
	assert.Equal(t, GenerateSchedule(7, time.Minute, 3, 3, Kinds), GenerateSchedule(7, time.Minute, 3, 3, Kinds))
	seen := map[Kind]bool{}
	for seed := range uint64(30) {
		for _, fault := range GenerateSchedule(seed, time.Minute, 3, 3, Kinds) {
			seen[fault.Kind] = true
			assert.Less(t, fault.At, time.Minute-4*time.Second)
			assert.GreaterOrEqual(t, fault.Duration, minFaultDuration)
		}
	}
	assert.Len(t, seen, len(Kinds))
	for _, fault := range GenerateSchedule(7, time.Minute, 3, 3, []Kind{Burst, ZoneTurnsCold}) {
		assert.Contains(t, []Kind{Burst, ZoneTurnsCold}, fault.Kind)
	}
}

// The answer of a stream is correct only when it has every event once and in order.
func TestCorrectAnswers(t *testing.T) {
	stream := Attempt{ID: "a", Kind: CallStream}
	assert.True(t, isCorrect(stream, "id: 1\ndata: a/1\n\nid: 2\ndata: a/2\n\n", "POST", "/stream/gloss", "", 2))
	assert.False(t, isCorrect(stream, "id: 1\ndata: a/1\n\n", "POST", "/stream/gloss", "", 2), "an event is missing")
	assert.False(t, isCorrect(stream, "id: 1\ndata: a/1\n\nid: 1\ndata: a/1\n\n", "POST", "/stream/gloss", "", 2), "an event is repeated")
	assert.False(t, isCorrect(stream, "id: 1\ndata: b/1\n\nid: 2\ndata: b/2\n\n", "POST", "/stream/gloss", "", 2), "events of another request")
	assert.True(t, isCorrect(Attempt{ID: "c", Kind: CallOnce}, "POST /once/save words of c", "POST", "/once/save", "words of c", 0))
	assert.False(t, isCorrect(Attempt{ID: "c", Kind: CallOnce}, "POST /once/save words of d", "POST", "/once/save", "words of c", 0))
}
