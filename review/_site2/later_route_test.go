package site2

import (
	"fmt"
	"maps"
	"net/http"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// A configuration adds routes that lead to a plain service of their own. Its servers are the cases' own; the
// first routes lead to the emulated site's servers.
const (
	laterService    = "archive"
	laterOncePrefix = "/later-once/"
	laterSafePrefix = "/later-safe/"
	// laterMachine is the number of the later service's machine in each zone.
	laterMachine = 5
	// laterConnections is how many connections a server of the later service accepts, if that doesn't matter.
	laterConnections = 96
	// minLaterRequests and minLaterRatio are those of the rule CONFIG on routes that were added later.
	minLaterRequests = 20
	minLaterRatio    = 0.25
	// settleTime is how long a configuration has to be in force everywhere, and more.
	settleTime = 3 * time.Second
)

// Figures of the traffic: those of the small sites for their plain service on the later routes, and some on the
// first routes beside them.
const (
	onceInterval   = time.Second / 13
	safeInterval   = time.Second / 5
	firstInterval  = time.Second / 5
	streamInterval = time.Second / 10
	plainDeadline  = 1500 * time.Millisecond
	plainTimeoutMs = 800
	plainRunTime   = 60 * time.Millisecond
	streamDeadline = 6 * time.Second
	streamEvents   = 10
)

// smallSite is a small deployment of three zones with two entries each.
var smallSite = site.Options{
	Zones: 3, Entries: 2, ModelServers: 1, PlainServers: 1,
	Weights:   site.Weights{Model: "m", Pieces: 24, PieceBytes: 4096, Layers: 4},
	EventTime: 10 * time.Millisecond, PlainTime: plainRunTime, Slots: 16,
	VersionMs: 8000, ConfigApplyMs: 2000, DrainMs: 2000, GraceS: 8, BudgetSlack: 100, TimeoutMs: 6000,
}

// startLaterService starts a server of the later service in each zone.
func (c *play) startLaterService() ([]*closingServer, error) {
	var servers []*closingServer
	for zone := range c.site.Options.Zones {
		server := newClosingServer(c.site.Store, fmt.Sprintf("archive-%d", zone), laterService, site.ZoneName(zone), c.site.Options.PlainIP(zone, laterMachine), plainRunTime)
		if err := server.start(); err != nil {
			return nil, err
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// addLaterRoutes publishes a configuration with the later service, each of whose servers accepts a number of
// connections, and its routes, and waits until it is in force.
func (c *play) addLaterRoutes(maxConnections int) {
	c.site.Configure(func(configuration map[string]any) {
		site.AddService(configuration, laterService)
		services := configuration["services"].([]any)
		services[len(services)-1].(map[string]any)["maxConnections"] = maxConnections
		routes := configuration["routes"].([]any)
		first := routes[len(routes)-1].(map[string]any)
		for prefix, kind := range map[string]string{laterOncePrefix: "non_idempotent", laterSafePrefix: "idempotent"} {
			route := maps.Clone(first)
			route["name"], route["pathPrefix"], route["routeType"], route["service"], route["timeoutMs"] = prefix, prefix, kind, laterService, plainTimeoutMs
			configuration["routes"] = append(configuration["routes"].([]any), route)
		}
	})
	c.record.line("a configuration has added the routes %s and %s to the service %s", laterOncePrefix, laterSafePrefix, laterService)
	time.Sleep(settleTime)
}

// addFirstTraffic adds the requests on the first routes.
func (c *play) addFirstTraffic(traffic *traffic) {
	traffic.add(kind{name: "stream", method: http.MethodPost, prefix: site.StreamPrefix, body: "prompt", events: streamEvents, deadline: streamDeadline}, streamInterval)
	traffic.add(kind{name: "once", method: http.MethodPost, prefix: site.OncePrefix, body: "a small body", deadline: plainDeadline}, firstInterval)
	traffic.add(kind{name: "safe", method: http.MethodGet, prefix: site.SafePrefix, deadline: plainDeadline}, firstInterval)
}

// sendToAllRoutes sends requests on the first and on the later routes for a time.
func (c *play) sendToAllRoutes(length time.Duration) []answer {
	traffic := newTraffic(c)
	c.addFirstTraffic(traffic)
	traffic.add(kind{name: "later-once", method: http.MethodPost, prefix: laterOncePrefix, body: "a small body", deadline: plainDeadline, isLater: true}, onceInterval)
	traffic.add(kind{name: "later-safe", method: http.MethodGet, prefix: laterSafePrefix, deadline: plainDeadline, isLater: true}, safeInterval)
	return traffic.run(length)
}

// laterServer is a server of the later service.
type laterServer interface {
	// ranTimes returns how often a request has run at the server.
	ranTimes(id string) int
}

// asLater returns closing servers as servers of the later service.
func asLater(servers []*closingServer) []laterServer {
	later := make([]laterServer, 0, len(servers))
	for _, server := range servers {
		later = append(later, server)
	}
	return later
}

// judgeLaterRoutes reports whether the rule CONFIG on routes that were added later is broken: at least 20
// requests came on them, and they were served less than a quarter as often as those on the first routes.
func (c *play) judgeLaterRoutes(answers []answer, later []laterServer) bool {
	ran := map[string]int{}
	for _, run := range c.site.Requests.Runs() {
		ran[run.RequestID]++
	}
	counts := map[string]*servedCount{}
	first, added := &servedCount{}, &servedCount{}
	for _, a := range answers {
		for _, server := range later {
			ran[a.id] += server.ranTimes(a.id)
		}
		if counts[a.kind] == nil {
			counts[a.kind] = &servedCount{}
		}
		all := first
		if a.isLater {
			all = added
		}
		counts[a.kind].add(a, ran[a.id])
		all.add(a, ran[a.id])
	}
	for name, count := range counts {
		c.record.line("%s: %s", name, count)
	}
	c.record.line("first routes: %s", first)
	c.record.line("later routes: %s", added)
	return added.sent >= minLaterRequests && added.ratio() < minLaterRatio*first.ratio()
}

// servedCount counts requests, those that ran at a server and those that were served.
type servedCount struct{ sent, ran, served int }

func (s *servedCount) add(a answer, ran int) {
	s.sent++
	if ran > 0 {
		s.ran++
	}
	if a.served() {
		s.served++
	}
}

func (s *servedCount) ratio() float64 { return float64(s.served) / float64(max(1, s.sent)) }

// String implements fmt.Stringer.
func (s *servedCount) String() string {
	return fmt.Sprintf("%d sent, %d ran, %d served (%.2f)", s.sent, s.ran, s.served, s.ratio())
}
