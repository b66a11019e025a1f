package site2

import (
	"net/http"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Figures of the case of hoarded connections. The server is that of a service of one server with 8 slots and 48
// connections, as on the users' pages; its queue holds a few more.
const (
	hoardedLength      = 60 * time.Second
	hoardedSlots       = 8
	hoardedQueue       = 24
	hoardedConnections = 48
	longKeepAlive      = 60 * time.Second
	shortKeepAlive     = 2 * time.Second
	reportInterval     = 5 * time.Second
)

func init() { scenarios["hoarded"] = scenario{options: smallSite, play: playHoarded} }

// playHoarded has the server of the later service keep idle connections for a minute, and say so.
func playHoarded(c *play) (bool, error) {
	keepAlive := shortKeepAlive
	if c.trouble {
		keepAlive = longKeepAlive
	}
	server := newCappedServer(c.site.Store, cappedOptions{
		id: "archive-0", service: laterService, zone: site.ZoneName(0), ip: c.site.Options.PlainIP(0, laterMachine),
		slots: hoardedSlots, queue: hoardedQueue, maxConnections: hoardedConnections, keepAlive: keepAlive, runTime: plainRunTime,
	})
	if err := server.start(); err != nil {
		return false, err
	}
	c.record.line("the later service's server accepts %d connections and keeps idle ones for %s", hoardedConnections, keepAlive)
	c.addLaterRoutes(hoardedConnections)
	go func() {
		for range time.Tick(reportInterval) {
			c.record.line("at the later service's server: %s", server.state())
		}
	}()
	traffic := newTraffic(c)
	c.addFirstTraffic(traffic)
	traffic.add(kind{name: "later-once", method: http.MethodPost, prefix: laterOncePrefix, body: "a small body", deadline: plainDeadline, isLater: true}, onceInterval)
	answers := traffic.run(hoardedLength)
	c.record.line("at the later service's server: %s", server.state())
	return c.judgeLaterRoutes(answers, []laterServer{server}), nil
}
