package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/health"
)

// Guards against a panic of the entry when a server moves to another service, in whichever order the services
// are passed to the health tracker; each run draws the order anew.
func TestServersThatMoveBetweenServices(t *testing.T) {
	for range 20 {
		s := newScript(t, "a1", "a2")
		s.fleet.Servers = slices.Clone(s.fleet.Servers)
		for index := range s.fleet.Servers {
			s.fleet.Servers[index].Service = "r"
		}
		s.fleet.Servers = append(s.fleet.Servers, Server{ID: "a3", Service: "r", Address: "a3:1", Zone: "a", Slots: 16})
		s.update()
		s.at(time.Second)
		if !assert.NotPanics(t, func() {
			for range 4 {
				s.core.Observe(s.candidate("a3"), Outcome{Outcome: health.Broken, SentAt: s.now}, s.now)
			}
		}) {
			return
		}
	}
}
