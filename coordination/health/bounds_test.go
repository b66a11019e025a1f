package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func trackerOf(servers ...string) *Tracker {
	t := New("e0")
	t.SetServers("s", servers)
	return t
}

// A report of a faulty entry without a round must not crash the process that receives it.
func TestEjectionReportWithoutRound(t *testing.T) {
	tracker := trackerOf("a", "b", "c", "d")
	tracker.ApplyReport(Report{Server: "a", Entry: "e1", Ejected: true, Remaining: time.Millisecond, Failed: 2}, time.Second, time.Second)
	now := 2 * time.Second
	assert.Equal(t, OnTrial, tracker.State("a", now))
	assert.NotPanics(t, func() { tracker.Observe(Attempt{Server: "a", Outcome: Declined, Sent: now}, now) })
}

// A faulty entry can't have a server ejected for longer than maxEjection.
func TestEjectionReportWithExcessiveDuration(t *testing.T) {
	tracker := trackerOf("a", "b", "c", "d")
	tracker.ApplyReport(Report{Server: "a", Entry: "e1", Ejected: true, Remaining: 24 * time.Hour, Round: 1, Failed: 2}, time.Second, time.Second)
	assert.NotEqual(t, Ejected, tracker.State("a", 3*time.Second))
}

// A faulty round must not reduce the duration of later ejections to 0.
func TestEjectionReportWithExcessiveRound(t *testing.T) {
	tracker := trackerOf("a", "b", "c", "d")
	tracker.ApplyReport(Report{Server: "a", Entry: "e1", Ejected: true, Remaining: time.Millisecond, Round: 100, Failed: 2}, time.Second, time.Second)
	now := 2 * time.Second
	tracker.Observe(Attempt{Server: "a", Outcome: Broken, Sent: now}, now)
	assert.Equal(t, Ejected, tracker.State("a", now+100*time.Millisecond))
}

// A server that moves to another service keeps its record there, whichever of the two services is
// updated first.
func TestServerMovesToAnotherService(t *testing.T) {
	tracker := New("e0")
	tracker.SetServers("s", []string{"a"})
	tracker.SetServers("r", []string{"a", "b"})
	tracker.SetServers("s", nil)
	assert.NotPanics(t, func() {
		for range 4 {
			tracker.Observe(Attempt{Server: "b", Outcome: Broken, Sent: time.Second}, time.Second)
		}
	})
	tracker.Observe(Attempt{Server: "a", Outcome: Broken, Sent: time.Second}, time.Second)
	assert.Equal(t, Suspect, tracker.State("a", time.Second))
}

// A server returns soon even if only one entry of a large zone has requests.
func TestServerReturnsWhenOneEntryHasAllRequests(t *testing.T) {
	for _, members := range []int{3, 15} {
		for _, every := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, time.Second} {
			worst := time.Duration(0)
			for trial := range 20 {
				tracker := trackerOf("a", "b", "c", "d")
				var others []string
				for n := 1; n < members; n++ {
					others = append(others, fmt.Sprint("e", n))
				}
				tracker.SetMembers(others)
				at := time.Minute + time.Duration(trial)*37*time.Millisecond
				for range 2 {
					tracker.Observe(Attempt{Server: "a", Outcome: Unreachable, Sent: at}, at)
				}
				now := at
				for ; now < at+2*time.Minute && !tracker.MayBeginTrial("a", true, now); now += every {
				}
				worst = max(worst, now-at)
			}
			t.Log(members, every, worst)
			assert.LessOrEqual(t, worst, 10*time.Second, "%d members, a request each %s", members, every)
		}
	}
}
