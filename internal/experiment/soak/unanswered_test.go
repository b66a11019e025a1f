package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
)

// cutRecord returns a sound record with one more request: a stream that was sent at second 100, ran at one server
// at once and was cut at second 101, half way through its answer.
func cutRecord(start time.Time) Record {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	record := validRecord(start)
	record.Attempts = append(record.Attempts, Attempt{
		ID: "cut", Kind: CallStream, Entry: "entry-1-0", Sent: at(100), Written: at(100.01), Ended: at(101), Deadline: at(106), Status: 200,
	})
	record.Runs = append(record.Runs, site.Run{RequestID: "cut", Server: "i-3", Version: 2, Tenant: site.Tenant, At: at(100.1)})
	record.Arrivals = append(record.Arrivals, site.Arrival{RequestID: "cut", Server: "i-3", Path: site.StreamPrefix, Region: site.RegionName(2), At: at(100.1)})
	return record
}

// notPassedOn changes the cut request of a record to one that reached no server and whose connection ended without
// a byte of an answer, a time after it was sent.
func notPassedOn(r *Record, after time.Duration) {
	request := &r.Attempts[len(r.Attempts)-1]
	request.Status, request.Ended = 0, request.Written.Add(after)
	r.Runs, r.Arrivals = r.Runs[:len(r.Runs)-1], r.Arrivals[:len(r.Arrivals)-1]
}

// A request that was sent as a whole and ends with neither an answer nor a refusal is a violation, unless its
// entry was killed, the server at which it last ran broke off, its deadline had passed, or it crossed the close of its
// connection by a stopping entry.
func TestRequestsWithoutAnEndingAreFound(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	last := func(r *Record) *Attempt { return &r.Attempts[len(r.Attempts)-1] }
	rerun := func(r *Record) {
		r.Runs = append(r.Runs, site.Run{RequestID: "cut", Server: "i-11", Version: 2, Tenant: site.Tenant, At: at(100.6)})
	}
	stop := Interval{From: at(98), To: at(106), Name: "entry-1-0"}
	for _, test := range []struct {
		name    string
		found   int
		prepare func(*Record)
	}{
		{"cut in the answer", 1, func(*Record) {}},
		{"no answer at all", 1, func(r *Record) { last(r).Status = 0 }},
		{"cut in an error answer", 1, func(r *Record) { last(r).Status = 502 }},
		{"answered", 0, func(r *Record) { last(r).Complete, last(r).Correct = true, true }},
		{"refused", 0, func(r *Record) {
			notPassedOn(r, time.Millisecond)
			last(r).Status, last(r).Complete = 503, true
		}},
		{"answered with an error", 0, func(r *Record) { last(r).Status, last(r).Complete = 502, true }},
		{"not sent as a whole", 0, func(r *Record) {
			notPassedOn(r, time.Second)
			last(r).Written = time.Time{}
		}},
		{"passed on, though the caller could not tell that it was sent as a whole", 1, func(r *Record) { last(r).Written, last(r).Status = time.Time{}, 0 }},

		{"at its deadline", 0, func(r *Record) { last(r).Ended = at(106) }},
		{"shortly before its deadline", 1, func(r *Record) { last(r).Ended = at(105.999) }},

		{"its entry was killed meanwhile", 0, func(r *Record) { r.Kills = []Interval{{From: at(100.9), To: at(101.6), Name: "entry-1-0"}} }},
		{"it was sent to an entry that was just killed", 0, func(r *Record) { r.Kills = []Interval{{From: at(99.9), To: at(100.6), Name: "entry-1-0"}} }},
		{"its entry was killed before and runs again", 1, func(r *Record) { r.Kills = []Interval{{From: at(99), To: at(99.7), Name: "entry-1-0"}} }},
		{"its entry was killed afterwards", 1, func(r *Record) { r.Kills = []Interval{{From: at(101.1), To: at(102), Name: "entry-1-0"}} }},
		{"another process was killed", 1, func(r *Record) { r.Kills = []Interval{{From: at(100.9), To: at(101.6), Name: "entry-1-1"}} }},
		{"its entry was suspended meanwhile", 1, func(r *Record) { r.Disturbances = []Interval{{From: at(100.2), To: at(100.9), Name: "entry-1-0"}} }},
		{"the store was down", 1, func(r *Record) { r.Disturbances = []Interval{{From: at(99), To: at(102)}} }},

		{"its server broke off", 0, func(r *Record) { r.BreakOffs = []Interval{{From: at(100.8), To: at(100.9), Name: "i-3"}} }},
		{"its server could break off when it began", 0, func(r *Record) { r.BreakOffs = []Interval{{From: at(98), To: at(100.2), Name: "i-3"}} }},
		{"its server broke off before it began", 1, func(r *Record) { r.BreakOffs = []Interval{{From: at(98), To: at(100), Name: "i-3"}} }},
		{"its server broke off afterwards", 1, func(r *Record) { r.BreakOffs = []Interval{{From: at(101.1), To: at(102), Name: "i-3"}} }},
		{"another server broke off", 1, func(r *Record) { r.BreakOffs = []Interval{{From: at(100.8), To: at(100.9), Name: "i-11"}} }},
		{"its server broke off and it was continued at a sound one", 1, func(r *Record) {
			r.BreakOffs = []Interval{{From: at(100.4), To: at(100.5), Name: "i-3"}}
			rerun(r)
		}},
		{"the server at which it was continued broke off", 0, func(r *Record) {
			r.BreakOffs = []Interval{{From: at(100.8), To: at(100.9), Name: "i-11"}}
			rerun(r)
		}},
		{"its server broke off, but no answer had begun", 1, func(r *Record) {
			r.BreakOffs = []Interval{{From: at(100.8), To: at(100.9), Name: "i-3"}}
			last(r).Status = 0
		}},
		{"another request crashed its server", 0, func(r *Record) {
			r.Crashes = append(r.Crashes, site.ServerCrash{Server: "i-3", RequestID: "ending-1-1-1", At: at(101.05)})
		}},
		{"another request crashed another server", 1, func(r *Record) {
			r.Crashes = append(r.Crashes, site.ServerCrash{Server: "i-11", RequestID: "ending-1-1-1", At: at(100.9)})
		}},

		{"crossed the close of its connection by a stopping entry", 0, func(r *Record) {
			notPassedOn(r, crossingTime)
			r.Stops = append(r.Stops, stop)
		}},
		{"ended later after it was sent than a close can cross", 1, func(r *Record) {
			notPassedOn(r, crossingTime+time.Millisecond)
			r.Stops = append(r.Stops, stop)
		}},
		{"ended at once, though its entry was not told to stop", 1, func(r *Record) { notPassedOn(r, time.Millisecond) }},
		{"ended at once, while another entry stopped", 1, func(r *Record) {
			notPassedOn(r, time.Millisecond)
			r.Stops = append(r.Stops, Interval{From: stop.From, To: stop.To, Name: "entry-1-1"})
		}},
		{"ended at once in a stop, though a server had received it", 1, func(r *Record) {
			arrival := r.Arrivals[len(r.Arrivals)-1]
			notPassedOn(r, time.Millisecond)
			r.Arrivals = append(r.Arrivals, arrival)
			r.Stops = append(r.Stops, stop)
		}},
		{"no answer in a stop, though a server had begun", 1, func(r *Record) {
			last(r).Status = 0
			r.Stops = append(r.Stops, stop)
		}},

		{"half answered in the last part of its entry's grace period", 0, func(r *Record) {
			r.Stops = append(r.Stops, Interval{From: at(97.1), To: at(105.1), Name: "entry-1-0"})
			last(r).Ended = at(104)
		}},
		{"the same, sent before the stop", 0, func(r *Record) {
			r.Stops = append(r.Stops, Interval{From: at(100.2), To: at(108.2), Name: "entry-1-0"})
			last(r).Deadline, last(r).Ended = at(110), at(108)
		}},
		{"the same, without any answer", 1, func(r *Record) {
			r.Stops = append(r.Stops, Interval{From: at(97.1), To: at(105.1), Name: "entry-1-0"})
			last(r).Ended, last(r).Status = at(104), 0
		}},
		{"the same, sent more than 3 s after the stop signal", 1, func(r *Record) {
			r.Stops = append(r.Stops, Interval{From: at(96.9), To: at(104.9), Name: "entry-1-0"})
			last(r).Ended = at(104)
		}},
		{"the same, before the last part", 1, func(r *Record) {
			r.Stops = append(r.Stops, Interval{From: at(97.1), To: at(105.1), Name: "entry-1-0"})
			last(r).Ended = at(103.7)
		}},
		{"the same, after the grace period", 1, func(r *Record) {
			r.Stops = append(r.Stops, Interval{From: at(97.1), To: at(105.1), Name: "entry-1-0"})
			last(r).Ended = at(105.2)
		}},
		{"the same, while another entry stops", 1, func(r *Record) {
			r.Stops = append(r.Stops, Interval{From: at(97.1), To: at(105.1), Name: "entry-1-1"})
			last(r).Ended = at(104)
		}},
	} {
		record := cutRecord(start)
		test.prepare(&record)
		var found []Violation
		for _, violation := range Check(record) {
			if violation.Guarantee == EveryRequestEnds {
				found = append(found, violation)
			}
		}
		if assert.Len(t, found, test.found, test.name) && test.found > 0 {
			assert.Equal(t, "cut", found[0].Request, test.name)
		}
	}
}

// A violation reads the same in every check, so that it is printed once: runs that begin after the request's end
// don't change it.
func TestLaterRunsDoNotChangeAViolation(t *testing.T) {
	start := time.Now()
	record := cutRecord(start)
	before := Check(record)
	require.Len(t, before, 1)
	record.Runs = append(record.Runs, site.Run{RequestID: "cut", Server: "i-11", Version: 2, Tenant: site.Tenant, At: start.Add(102 * time.Second)})
	assert.Equal(t, before, Check(record))
}

// Each request that ends with neither an answer nor a refusal has one excuse, or none.
func TestExcusesAreCounted(t *testing.T) {
	record := cutRecord(time.Now())
	assert.Equal(t, map[excuse]int{noExcuse: 1}, record.excused())
	cut := &record.Attempts[len(record.Attempts)-1]
	record.BreakOffs = []Interval{{From: cut.Sent, To: cut.Ended, Name: "i-3"}}
	assert.Equal(t, map[excuse]int{serverBroke: 1}, record.excused())
	record.Kills = []Interval{{From: cut.Sent, To: cut.Ended, Name: cut.Entry}}
	assert.Equal(t, map[excuse]int{entryKilled: 1}, record.excused())
	cut.Deadline = cut.Ended
	assert.Equal(t, map[excuse]int{deadlinePast: 1}, record.excused())
	cut.Written, record.Arrivals = time.Time{}, nil
	assert.Equal(t, map[excuse]int{notSentWhole: 1}, record.excused())
}
