package forward

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// target is one server as this entry sends to it.
type target struct {
	*dispatch.Candidate
	pool pool
}

// targets holds the one lock around the decisions, tells them the time, logs what they change,
// and keeps the connections of each server.
type targets struct {
	log *logging.Logger
	// bounds are those of the settings in force.
	bounds atomic.Pointer[fleet.Bounds]
	// entries lists the other entries lately known.
	entries func() []string

	mutex sync.Mutex
	core  *dispatch.Core
	view  *catalog.View
	// engines are the descriptions of model servers in the view, by their services.
	engines map[string]*dispatch.Engine
	// known are the servers that have been sent something, or are to be, and are still listed.
	known map[*dispatch.Candidate]*target
	// health tells of servers' health, to people and to the zone's other entries.
	health *healthReporter
	// ended are servers that the list has shown to have ended, until endedServers takes them.
	ended []string
	// unreadable are the fields of servers' answers that could not be read: that is logged once.
	unreadable map[unreadableField]bool
	// asks is nil in an entry that shares nothing; news is what it is still to be told.
	asks AskSource
	news outbox[askNews]
	// rests counts the answers that have asked for rest.
	rests prometheus.Counter
	// told are the agents' last words by the address of their server, for people.
	told map[string]fleet.MachineStatus
}

func newTargets(options Options, now time.Time) *targets {
	t := &targets{
		log: options.Log, health: newHealthReporter(options), entries: options.Entries, asks: options.Asks,
		core: dispatch.New(dispatch.Options{
			Zone: options.Zone, Regions: options.Regions, Policy: dispatch.Policy(options.Policy), Self: options.Self, Started: now,
			Random: rand.Float64, Shuffle: rand.Shuffle,
		}),
		view: &catalog.View{}, engines: map[string]*dispatch.Engine{}, known: map[*dispatch.Candidate]*target{}, unreadable: map[unreadableField]bool{}, rests: newRestsCounter(), told: map[string]fleet.MachineStatus{},
	}
	t.bounds.Store(&options.Bounds)
	if t.entries == nil {
		t.entries = func() []string { return nil }
	}
	return t
}

// update takes over a new list of servers.
func (t *targets) update(view *catalog.View) {
	defer t.tellZone()
	names := t.routeNames(view.Configuration)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if view.Configuration != t.view.Configuration {
		t.engines = enginesOf(view.Configuration)
	}
	if names != nil {
		t.core.RetainRoutes(names)
	}
	t.view = view
	now := time.Now()
	for _, change := range t.core.Update(fleetOf(view, t.bounds.Load()), now) {
		t.follow(change)
	}
	t.reportHealth(now)
}

// follow logs a change of the fleet and ends the connections to a server that gets no more
// requests; the mutex is held.
func (t *targets) follow(change dispatch.Change) {
	switch change.Kind {
	case dispatch.ServerLeaving:
		t.log.Log(logging.ServerLeaving, zap.String("server", change.Candidate.ID), zap.Int("in_flight", change.InFlight))
	case dispatch.AddressTaken, dispatch.ServerRestarted:
		t.ended = append(t.ended, change.Candidate.ID)
	case dispatch.ServerRemoved:
		t.log.Log(logging.ServerRemoved, zap.String("server", change.Candidate.ID), zap.Int("in_flight", change.InFlight))
	case dispatch.ZoneEvacuated:
		t.log.Log(logging.ZoneEvacuated, zap.String("zone", change.Zone), zap.Int("servers", change.Servers), zap.Int("in_flight", change.InFlight),
			zap.Duration("bound", t.bounds.Load().Evacuate))
	case dispatch.ZoneIdle:
		t.log.Log(logging.ZoneIdle, zap.String("zone", change.Zone), zap.Duration("after", change.IdleAfter))
	case dispatch.ZoneReadmitted:
		t.log.Log(logging.EvacuationEnded, zap.String("zone", change.Zone), zap.Int("servers", change.Servers))
	}
	if known := t.known[change.Candidate]; known != nil {
		known.pool.close()
	}
	if change.Kind == dispatch.ServerRemoved || change.Kind == dispatch.ServerRestarted {
		delete(t.known, change.Candidate)
		maps.DeleteFunc(t.unreadable, func(one unreadableField, _ bool) bool { return one.server == change.Candidate.ID })
	}
}

// endedServers returns the servers that the list has shown to have ended since the last call.
func (t *targets) endedServers() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	ended := t.ended
	t.ended = nil
	return ended
}

// targetOf returns the connections to a listed server; the mutex is held.
func (t *targets) targetOf(candidate *dispatch.Candidate) *target {
	known := t.known[candidate]
	if known == nil {
		known = &target{Candidate: candidate}
		t.known[candidate] = known
	}
	return known
}

// supersede notes that another server has answered at a server's address.
func (t *targets) supersede(k *target, instance string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.core.Supersede(k.Candidate) {
		t.log.Log(logging.ServerSuperseded, zap.String("server", k.ID), zap.String("instance", instance))
	}
	k.pool.close()
}

// takeStatus notes an agent's word on its server. Only an entry that has it from the
// agent itself logs what it changes: the log of the fleet tells it once or twice.
func (t *targets) takeStatus(status fleet.MachineStatus, at time.Time, direct bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	news, changed := t.core.ApplyReport(wordOf(status), at)
	if news {
		t.told[status.Address] = status
	}
	if direct && changed != nil {
		t.log.Log(logging.ServerStatus, zap.String("server", changed.ID), zap.Bool("reachable", status.Reachable),
			zap.Uint64("version", status.Version), zap.Int64("switch_ms", status.SwitchMilliseconds))
	}
}

func (t *targets) currentView() *catalog.View {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.view
}

// sweep ends idle connections that are too old.
func (t *targets) sweep() {
	t.mutex.Lock()
	all := make([]*target, 0, len(t.known))
	for _, known := range t.known {
		all = append(all, known)
	}
	t.mutex.Unlock()
	now := time.Now()
	for _, known := range all {
		known.pool.sweep(now)
	}
}
