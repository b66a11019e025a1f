package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
)

// validRecord is a run in which every promise held: one request of each kind, a version
// that was named and a server that left.
func validRecord(began time.Time) Record {
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
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
		Notices: []site.Ask{
			{RequestID: "stream", Server: "i-1", At: at(39), Leaving: true},
			{RequestID: "once", Server: "i-4", At: at(90), Rest: 2 * time.Second},
			{RequestID: "once", Server: "i-5", At: at(93), Limited: true, PerSecond: 0.5}, {RequestID: "once", Server: "i-5", At: at(99), Limited: true, PerSecond: 0.5},
		},
		Crashes: []site.End{
			{Server: "i-7", RequestID: "ending-0-1-0", At: at(80)}, {Server: "i-8", RequestID: "ending-0-1-1", At: at(81)}, {Server: "i-9", RequestID: "ending-0-1-2", At: at(82)},
			{Server: "i-6", RequestID: "ending-1-1-0", At: at(82)},
		},
		CrashSenders: map[string]string{"ending-0-1-3": "entry-0-0"},
		Evacuations:  []Evacuation{{Zone: site.ZoneName(2), Requested: at(30), Ended: at(38)}, {Zone: site.ZoneName(0), Requested: at(39)}},
		Reloads:      []Interval{{From: at(70), To: at(72), Name: "entry-0-0"}},
		Stops:        []Interval{{From: at(40.5), To: at(48.5), Name: "entry-0-0"}},
		VersionApply: 8 * time.Second, Drain: 3 * time.Second, Grace: 8 * time.Second,
		ConfigurationApply: 2 * time.Second, EvacuationApply: 3 * time.Second, ColdLimit: 1,
	}
}

// The check of each promise finds what breaks it, and only that.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	began := time.Now()
	require.Empty(t, Check(validRecord(began)))
	deliver := func(server string, seconds float64) site.Delivery {
		return site.Delivery{RequestID: "once", Server: server, Zone: site.ZoneName(1), At: began.Add(time.Duration(seconds * float64(time.Second)))}
	}
	for _, one := range []struct {
		promise Guarantee
		spoil   func(*Record)
	}{
		{CompleteOwnAnswer, func(r *Record) { r.Attempts[1].Correct = false }},
		{AtMostOnce, func(r *Record) { r.Runs = append(r.Runs, r.Runs[0]) }},
		{RefusedNotExecuted, func(r *Record) { r.Attempts[0].Status = 503 }},
		{ConsistentWeights, func(r *Record) { r.Runs[1].Spoilt = true }},
		{CallerIsolation, func(r *Record) { r.Runs[0].KeySeen = true }},
		{CallerIsolation, func(r *Record) { r.Runs[0].Tenant = "another" }},
		{VersionInTime, func(r *Record) { r.Runs[1].Version = 1 }},
		{NoWorkToLeaving, func(r *Record) { r.Runs[1].Server = "i-2" }},
		{AllowedRegions, func(r *Record) { r.Arrivals[0].Region = site.RegionName(2) }},
		{AllowedRegions, func(r *Record) { r.Arrivals[0].Region = "" }},
		{StopDropsNothing, func(r *Record) { r.Attempts[1].Complete, r.Attempts[1].Correct = false, false }},
		{AllowedRegions, func(r *Record) { r.Arrivals[0].At = began.Add(55 * time.Second) }},
		{NoWorkToEvacuated, func(r *Record) { r.Deliveries[1].At = began.Add(34 * time.Second) }},
		{NoWorkToEvacuated, func(r *Record) {
			r.Deliveries[2].Zone, r.Deliveries[2].At = site.ZoneName(0), began.Add(52*time.Second)
		}},
		{ColdLimitKept, func(r *Record) { r.Deliveries[2].At = began.Add(40900 * time.Millisecond) }},
		{ReloadDropsNothing, func(r *Record) {
			r.Attempts[2].Sent, r.Attempts[2].Ended, r.Attempts[2].Complete = began.Add(71*time.Second), began.Add(73*time.Second), false
		}},
		{ReloadDropsNothing, func(r *Record) {
			r.Attempts[2].Sent, r.Attempts[2].Ended, r.Attempts[2].Status = began.Add(69*time.Second), began.Add(70100*time.Millisecond), 0
		}},
		{QueryOfDeathContained, func(r *Record) {
			for range allowedLateSends + 1 {
				r.Arrivals = append(r.Arrivals, site.Arrival{RequestID: "ending-0-1-3", Server: "i-1", Path: site.StreamPrefix, Region: site.RegionName(2), At: began.Add(86 * time.Second)})
			}
		}},
		{NoWorkToLeaving, func(r *Record) { r.Notices[0].At = began.Add(31 * time.Second) }},
		{BackoffKept, func(r *Record) { r.Deliveries = append(r.Deliveries, deliver("i-4", 91)) }},
		{RateLimitKept, func(r *Record) {
			for range site.LimitSlack + 1 {
				r.Deliveries = append(r.Deliveries, deliver("i-5", 97))
			}
		}},
	} {
		record := validRecord(began)
		one.spoil(&record)
		found := Check(record)
		if assert.Len(t, found, 1, one.promise) {
			assert.Equal(t, one.promise, found[0].Guarantee)
		}
	}
}

// Bounds of time hold only where nothing was disturbed shortly before.
func TestBoundsOfTimeWaitForCalm(t *testing.T) {
	began := time.Now()
	record := validRecord(began)
	record.Runs[1].Version = 1
	record.Disturbances = []Interval{{From: began.Add(15 * time.Second), To: began.Add(18 * time.Second)}}
	assert.Empty(t, Check(record), "the version was named 2 s after the store was back")
	record.Disturbances[0].To = began.Add(16 * time.Second)
	assert.Len(t, Check(record), 1)
}

// What was sent where a newer configuration or an evacuation forbids it counts from the bound
// on, and only at entries that were in touch.
func TestBoundsOfPlacesHoldForEntriesInTouch(t *testing.T) {
	began := time.Now()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	record := validRecord(began)
	record.Arrivals[0].At, record.Deliveries[1].At = at(55), at(34)
	require.Len(t, Check(record), 2)
	for _, one := range []struct {
		what  string
		spans []Interval
		found int
	}{
		{"the store was away shortly before", []Interval{{From: at(30), To: at(32)}, {From: at(51), To: at(53)}}, 0},
		{"the entry stood still", []Interval{{From: at(33), To: at(34)}, {From: at(54), To: at(56)}}, 0},
		{"the store came back long before", []Interval{{From: at(29), To: at(30.5)}, {From: at(49), To: at(51)}}, 2},
		{"another entry stood still", []Interval{{From: at(29), To: at(60), Name: "entry-1-0"}}, 2},
	} {
		record.Disturbances = one.spans
		assert.Len(t, Check(record), one.found, one.what)
	}
	record = validRecord(began)
	record.Arrivals[0].At, record.Deliveries[1].At = at(51.5), at(32.5)
	assert.Empty(t, Check(record), "before the bounds")
	record.Arrivals[0].At, record.Deliveries[1].At = at(60.5), at(38.5)
	assert.Empty(t, Check(record), "after they were taken back")
}

// Requests whose callers still wait are judged once it is known which entry they were sent to.
func TestRequestsUnderWayAreJudgedLater(t *testing.T) {
	record := validRecord(time.Now())
	record.Deliveries[1].At = record.Evacuations[0].Requested.Add(4 * time.Second)
	answered := record.Attempts
	record.Attempts = nil
	assert.Empty(t, Check(record))
	record.Attempts = answered
	assert.Len(t, Check(record), 1)
}

// Requests of a server that lies are as bound as all others: one that may run once has not run
// twice because the server failed it after it had begun.
func TestSecondRunAfterALyingServerIsFound(t *testing.T) {
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

// A seed always gives the same schedule, and many seeds give every kind of fault.
func TestSchedulesComeFromTheSeed(t *testing.T) {
	assert.Equal(t, GenerateSchedule(7, time.Minute, 3, 3, Kinds), GenerateSchedule(7, time.Minute, 3, 3, Kinds))
	struck := map[Kind]bool{}
	for seed := range uint64(30) {
		for _, fault := range GenerateSchedule(seed, time.Minute, 3, 3, Kinds) {
			struck[fault.Kind] = true
			assert.Less(t, fault.At, time.Minute-4*time.Second)
			assert.GreaterOrEqual(t, fault.Duration, minFaultDuration)
		}
	}
	assert.Len(t, struck, len(Kinds))
	for _, fault := range GenerateSchedule(7, time.Minute, 3, 3, []Kind{Burst, ZoneTurnsCold}) {
		assert.Contains(t, []Kind{Burst, ZoneTurnsCold}, fault.Kind)
	}
}

// A stream's answer is its own only when every event is there once and in order.
func TestOwnAnswers(t *testing.T) {
	stream := Attempt{ID: "a", Kind: CallStream}
	assert.True(t, isCorrect(stream, "id: 1\ndata: a/1\n\nid: 2\ndata: a/2\n\n", "POST", "/stream/gloss", "", 2))
	assert.False(t, isCorrect(stream, "id: 1\ndata: a/1\n\n", "POST", "/stream/gloss", "", 2), "one is missing")
	assert.False(t, isCorrect(stream, "id: 1\ndata: a/1\n\nid: 1\ndata: a/1\n\n", "POST", "/stream/gloss", "", 2), "one comes twice")
	assert.False(t, isCorrect(stream, "id: 1\ndata: b/1\n\nid: 2\ndata: b/2\n\n", "POST", "/stream/gloss", "", 2), "another's")
	assert.True(t, isCorrect(Attempt{ID: "c", Kind: CallOnce}, "POST /once/save words of c", "POST", "/once/save", "words of c", 0))
	assert.False(t, isCorrect(Attempt{ID: "c", Kind: CallOnce}, "POST /once/save words of d", "POST", "/once/save", "words of c", 0))
}
