package health

import (
	"testing"
	"time"
)

// BenchmarkChoice is what a choice among 60 servers asks, and an attempt that is served.
func BenchmarkChoice(b *testing.B) {
	tracker := New("e0")
	ids := names("s", 60)
	tracker.SetServers("service", ids)
	tracker.SetMembers(names("e", 15))
	now := time.Duration(0)
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		now += ms
		for _, id := range ids {
			if tracker.State(id, now) != InOrder {
				b.Fatal(id)
			}
		}
		tracker.Observe(Attempt{Server: ids[index%len(ids)], Class: "route", Outcome: Served, Sent: now - 10*ms}, now)
	}
}
