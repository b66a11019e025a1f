package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAllListEntriesExpire measures how long requests wait when the store loses the list entries of all
// servers and they return.
func BenchmarkAllListEntriesExpire(b *testing.B) {
	core, now := testCore("a", nil), epoch
	var fleet Fleet
	for number := range 3000 {
		fleet.Servers = append(fleet.Servers, Server{
			ID: fmt.Sprint("server-", number), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", number/200, number%200), Zone: "a", Slots: 16,
		})
	}
	for b.Loop() {
		core.Update(fleet, now)
		now = now.Add(time.Second)
		core.Update(Fleet{}, now)
	}
}
