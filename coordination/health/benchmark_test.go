package health

import (
	"testing"
	"time"
)

// BenchmarkSelection measures the state queries for a selection among 60 servers and the recording
// of one served attempt.
func BenchmarkSelection(b *testing.B) {
	tracker := New("e0")
	ids := names("s", 60)
	tracker.SetServers("service", ids)
	tracker.SetMembers(names("e", 15))
	now := time.Duration(0)
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		now += ms
		for _, id := range ids {
			if tracker.State(id, now) != Healthy {
				b.Fatal(id)
			}
		}
		tracker.Observe(Attempt{Server: ids[index%len(ids)], Class: "route", Outcome: Served, Sent: now - 10*ms}, now)
	}
}

// BenchmarkMayBeginTrial queries 60 servers, half of them on trial, at one of 15 entries.
func BenchmarkMayBeginTrial(b *testing.B) {
	tracker := New("e0")
	servers := names("s", 60)
	tracker.SetServers("service", servers)
	tracker.SetMembers(names("e", 15))
	for _, server := range servers[:30] {
		for range 2 {
			tracker.Observe(Attempt{Server: server, Outcome: Unreachable, Sent: time.Second}, time.Second)
		}
	}
	for b.Loop() {
		for _, server := range servers {
			tracker.MayBeginTrial(server, true, 2*time.Second)
		}
	}
}
