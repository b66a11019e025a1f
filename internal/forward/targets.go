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
	"pinevane.example/pinevane/coordination/incarnation"
	"pinevane.example/pinevane/coordination/sharing"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// target is one server with the connections to it.
type target struct {
	*dispatch.Candidate
	pool pool
	// answers tells that the server runs after the end of an answer.
	answers answerWatch
}

// targets guards dispatch with one mutex, supplies it with the time, logs its changes, and keeps
// the connections to each server.
type targets struct {
	log *logging.Logger
	// bounds are those of the current settings.
	bounds atomic.Pointer[fleet.Bounds]
	// entries lists the other entries that were known recently.
	entries func() []sharing.Member

	mutex sync.Mutex
	core  *dispatch.Core
	view  *catalog.View
	// engines are the model server descriptions of the view, by service.
	engines map[string]*dispatch.Engine
	// known are the listed servers that have been chosen for a request.
	known map[*dispatch.Candidate]*target
	// health logs and announces changes of servers' health.
	health *healthReporter
	// crashed are servers whose crash a new server list has shown, until takeCrashedServers returns
	// them.
	crashed []string
	// unreadable are the fields of servers' answers that could not be parsed and have been logged.
	unreadable map[unreadableField]bool
	// notices is nil in an entry that shares nothing; pendingNotices is what is still to be
	// announced.
	notices        NoticeAnnouncer
	pendingNotices outbox[pendingNotice]
	// backoffs counts the answers that requested a backoff.
	backoffs prometheus.Counter
	// statuses are the agents' last status reports by the address of their server, for display.
	statuses map[string]fleet.MachineStatus
}

func newTargets(options Options, now time.Time) *targets {
	t := &targets{
		log: options.Log, health: newHealthReporter(options), entries: options.Entries, notices: options.Notices,
		core: dispatch.New(dispatch.Options{
			Zone: options.Zone, Regions: options.Regions, Policy: dispatch.Policy(options.Policy), Self: options.Self, Started: now,
			Random: rand.Float64, Shuffle: rand.Shuffle,
		}),
		view: &catalog.View{}, engines: map[string]*dispatch.Engine{}, known: map[*dispatch.Candidate]*target{}, unreadable: map[unreadableField]bool{}, backoffs: newBackoffCounter(), statuses: map[string]fleet.MachineStatus{},
	}
	t.bounds.Store(&options.Bounds)
	if t.entries == nil {
		t.entries = func() []sharing.Member { return nil }
	}
	return t
}

// update applies a new list of servers.
func (t *targets) update(view *catalog.View) {
	defer t.announceHealth()
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
		t.applyChange(change)
	}
	t.reportHealth(now)
}

// applyChange logs a change of the fleet and closes the connections to a server that gets no more
// requests. The mutex must be held.
func (t *targets) applyChange(change dispatch.Change) {
	switch change.Kind {
	case dispatch.ServerLeaving:
		t.log.Log(logging.ServerLeaving, zap.String("server", change.Candidate.ID), zap.Int("in_flight", change.InFlight))
	case dispatch.AddressTaken, dispatch.ServerRestarted:
		t.crashed = append(t.crashed, change.Candidate.ID)
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

// takeCrashedServers returns the servers whose crash the server list has shown since the last call.
func (t *targets) takeCrashedServers() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	ended := t.crashed
	t.crashed = nil
	return ended
}

// targetOf returns the target of a listed server. The mutex must be held.
func (t *targets) targetOf(candidate *dispatch.Candidate) *target {
	known := t.known[candidate]
	if known == nil {
		known = &target{Candidate: candidate}
		t.known[candidate] = known
	}
	return known
}

// supersede records that another server has answered at a server's address.
func (t *targets) supersede(k *target, instance string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.core.Supersede(k.Candidate) {
		t.log.Log(logging.ServerSuperseded, zap.String("server", k.ID), zap.String("instance", instance))
	}
	k.pool.close()
}

// startTime returns when a server has started, 0 if that is not told.
func (t *targets) startTime(k *target) incarnation.StartTime {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.StartTime(k.Candidate)
}

// applyStatus applies an agent's status report on its server. Only an entry that received it from
// the agent itself logs the change, so that the fleet logs it once or twice.
func (t *targets) applyStatus(status fleet.MachineStatus, at time.Time, direct bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	isNew, changed := t.core.ApplyReport(loadReportOf(status), at)
	if isNew {
		t.statuses[status.Address] = status
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

// sweep closes the idle connections whose timeout has expired.
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
