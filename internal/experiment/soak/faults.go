package soak

import (
	"syscall"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/launch"
)

// Times of faults that are not drawn.
const (
	// restartDelay is how long the platform takes to start a process that has ended.
	restartDelay = 700 * time.Millisecond
	// storeOutage is how long the store is away around lapsed servers, and
	// returnPause how long they take to write their lines anew.
	storeOutage = 2 * time.Second
	returnDelay = 900 * time.Millisecond
	// secondVersionDelay follows the first of two.
	secondVersionDelay = 2 * time.Second
	// stopTimeout is when a stopped entry must have ended.
	stopTimeout = 10 * time.Second
	// minBurstTime is the least that a burst of callers lasts; what was drawn comes on top of it.
	minBurstTime = 2 * time.Second
	// serverFaultPeriod is how long a server's own faults, which requests use up, may
	// still show.
	serverFaultPeriod = 3 * time.Second
)

// inject carries a fault out. What ends it is queued on the run's timeline.
func (r *run) inject(fault Fault) error {
	zone, now := fault.Zone, time.Now()
	entry, agent := fault.Index%r.site.Options.Entries, fault.Index%r.site.Options.ModelServers
	server := r.site.Models[r.site.Options.ModelIP(zone, agent)]
	switch fault.Kind {
	case KillEntry:
		return r.kill(site.RoleEntry, zone, entry)
	case KillAgent:
		return r.kill(site.RoleAgent, zone, agent)
	case KillZone:
		return r.killZone(zone)
	case FreezeEntry:
		return r.freeze(launch.SiteProcessName(site.RoleEntry, zone, entry), fault.Duration)
	case FreezeAgent:
		return r.freeze(launch.SiteProcessName(site.RoleAgent, zone, agent), fault.Duration)
	case StopEntry:
		return r.stop(zone, entry)
	case StoreDown:
		r.site.Store.SetDown(true)
		r.recordDisturbance(fault.Duration)
		r.schedule(fault.Duration, func() error { r.site.Store.SetDown(false); return nil })
	case StoreLosesHistory:
		r.site.Store.SetDeaf()
		r.recordDisturbance(fault.Duration)
		r.schedule(fault.Duration, func() error { r.site.Store.Compact(); return nil })
	case StoreRefuses:
		r.site.Store.Refuse(r.site.Options.EntryIP(zone, entry), r.site.Options.ModelIP(zone, agent))
		r.recordDisturbance(fault.Duration, launch.SiteProcessName(site.RoleEntry, zone, entry), launch.SiteProcessName(site.RoleAgent, zone, agent))
		r.schedule(fault.Duration, func() error { r.site.Store.Refuse(); return nil })
	case ServersExpire:
		r.expireServers()
	case ServerCrash, ServerCrashUnnoticed:
		r.recordDisturbance(serverFaultPeriod, server.ID())
		if fault.Kind == ServerCrash {
			return r.site.RestartModel(zone, agent)
		}
		return r.site.RestartModelUnnoticed(zone, agent)
	case ServerLeaves:
		r.announceLeaving(zone, agent, server)
	case PiecesCorrupted:
		r.recordDisturbance(serverFaultPeriod, server.ID())
		for piece := range fault.Count {
			server.Rot(piece)
		}
	case OriginCorrupts:
		r.site.Origin.Spoil(fault.Count)
	case CutStreams:
		r.setServerFaults(server, site.Faults{CutAfter: fault.Count, CutCount: fault.Count})
	case LoseAnswers:
		r.setServerFaults(server, site.Faults{LoseAnswers: fault.Count})
	case Shed:
		r.setServerFaults(server, site.Faults{Shed: fault.Count})
	case SurplusAnswers:
		r.setServerFaults(server, site.Faults{Surplus: fault.Count})
	case NewVersion:
		r.announceVersion(now)
	case TwoVersions:
		r.announceVersion(now)
		r.schedule(secondVersionDelay, func() error { r.announceVersion(time.Now()); return nil })
	case Reconfigure:
		r.site.Configure(nil)
	case Evacuate:
		r.evacuate(zone, minEvacuationTime+fault.Duration)
	case EvacuateTwice:
		r.evacuateTwice(zone, fault.Duration, minEvacuationTime+fault.Duration)
	case ServerTurnsCold:
		server.SetCold(true)
	case ServerStartsCold:
		return r.restartCold(zone, agent, server)
	case ZoneTurnsCold:
		r.turnZoneCold(zone)
	case RouteNarrows:
		r.narrowRoute(fault)
	case TenantNarrows:
		r.narrowTenant(fault)
	case FalselyHealthyErrors:
		r.setServerFaultsFor(r.pickServer(fault), site.Faults{Lying: site.LyingErrors}, minFalseHealthTime+fault.Duration)
	case FalselyHealthyResets:
		r.setServerFaultsFor(r.pickServer(fault), site.Faults{Lying: site.LyingResets}, minFalseHealthTime+fault.Duration)
	case FalselyHealthyHangs:
		r.setServerFaultsFor(r.pickServer(fault), site.Faults{Lying: site.LyingHangs}, minFalseHealthTime+fault.Duration)
	case FalselyUnhealthy:
		r.setServerFaultsFor(server, site.Faults{FalselyIll: true}, minFalseHealthTime+fault.Duration)
	case Flap:
		r.flap(r.pickServer(fault))
	case SettingsChange:
		return r.changeSettings(fault)
	case SettingsInvalid:
		return r.writeInvalidSettings(fault)
	case Burst:
		r.burst(minBurstTime + fault.Duration)
	case QueryOfDeath:
		r.sendCrashing(fault)
	case ServerNoticeLimit:
		r.announceRateLimit(r.pickServer(fault), fault)
	case ServerNoticeLeaving:
		r.noticeLeaving(zone, agent, server)
	case ServerNoticeBackoff:
		r.noticeBackoff(r.pickServer(fault), fault)
	}
	return nil
}

// recordDisturbance notes that some processes or servers are disturbed for a time from now on; without
// any, it is something that all depend on.
func (r *run) recordDisturbance(lasts time.Duration, names ...string) {
	now := time.Now()
	if len(names) == 0 {
		names = []string{""}
	}
	for _, name := range names {
		r.record.Disturbances = append(r.record.Disturbances, Interval{From: now, To: now.Add(lasts), Name: name})
	}
}

func (r *run) setServerFaults(server *site.Server, faults site.Faults) {
	r.setServerFaultsFor(server, faults, serverFaultPeriod)
}

func (r *run) announceVersion(now time.Time) {
	r.version++
	r.site.NameVersion(r.version)
	r.record.VersionAnnouncements = append(r.record.VersionAnnouncements, VersionAnnouncement{Version: r.version, At: now})
}

// kill ends a process without warning and starts it again.
func (r *run) kill(role string, zone, index int) error {
	name := launch.SiteProcessName(role, zone, index)
	if r.busy[name] {
		return nil
	}
	r.busy[name] = true
	r.recordDisturbance(restartDelay, name)
	if err := r.fleet.Group.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	r.schedule(restartDelay, func() error {
		r.busy[name] = false
		_ = r.fleet.Group.WaitExit(name, stopTimeout)
		return r.fleet.Restart(role, zone, index)
	})
	return nil
}

// killZone ends every process of a zone at the same time.
func (r *run) killZone(zone int) error {
	for index := range r.site.Options.Entries {
		if err := r.kill(site.RoleEntry, zone, index); err != nil {
			return err
		}
	}
	for index := range r.site.Options.ModelServers {
		if err := r.kill(site.RoleAgent, zone, index); err != nil {
			return err
		}
	}
	return nil
}

// freeze stops a process for a while; it wakes believing its old view of the world.
func (r *run) freeze(name string, lasts time.Duration) error {
	if r.busy[name] {
		return nil
	}
	r.busy[name] = true
	r.recordDisturbance(lasts, name)
	r.schedule(lasts, func() error {
		r.busy[name] = false
		return r.fleet.Group.Signal(name, syscall.SIGCONT)
	})
	return r.fleet.Group.Signal(name, syscall.SIGSTOP)
}

// stop ends an entry as planned and starts it again once it has ended.
func (r *run) stop(zone, index int) error {
	name := launch.SiteProcessName(site.RoleEntry, zone, index)
	if r.busy[name] {
		return nil
	}
	r.busy[name] = true
	now := time.Now()
	r.record.Stops = append(r.record.Stops, Interval{From: now, To: now.Add(r.record.Grace), Name: name})
	r.schedule(r.record.Grace, func() error {
		r.busy[name] = false
		if !r.fleet.Group.WaitExit(name, stopTimeout) {
			r.violations = append(r.violations, Violation{Guarantee: StopDropsNothing, At: time.Now(), Detail: name + " did not end within its grace"})
			return nil
		}
		return r.fleet.Restart(site.RoleEntry, zone, index)
	})
	return r.fleet.Group.Signal(name, syscall.SIGTERM)
}

// expireServers has the store lose every model server's line while it is away; the servers write
// them anew after it.
func (r *run) expireServers() {
	r.site.Store.SetDown(true)
	r.recordDisturbance(storeOutage + returnDelay)
	var lapsed []*site.Server
	for _, server := range r.site.Models {
		server.Lapse()
		lapsed = append(lapsed, server)
	}
	r.schedule(storeOutage, func() error { r.site.Store.SetDown(false); return nil })
	r.schedule(storeOutage+returnDelay, func() error {
		for _, server := range lapsed {
			server.Return()
		}
		return nil
	})
}

// announceLeaving has a server announce its end, and puts an empty one in its place after it.
func (r *run) announceLeaving(zone, index int, server *site.Server) {
	if r.busy[server.ID()] {
		return
	}
	r.busy[server.ID()] = true
	server.Leave()
	r.record.Departures = append(r.record.Departures, Departure{Server: server.ID(), At: time.Now()})
	r.restartAfterDrain(zone, index, server)
}

// leavingExtraTime is how long a server that leaves serves on after its drain.
const leavingExtraTime = 2 * time.Second

// restartAfterDrain puts an empty server in the place of one that leaves, unless that has been replaced meanwhile.
func (r *run) restartAfterDrain(zone, index int, server *site.Server) {
	r.schedule(r.record.Drain+leavingExtraTime, func() error {
		if r.site.Models[r.site.Options.ModelIP(zone, index)] != server {
			return nil
		}
		r.recordDisturbance(serverFaultPeriod, server.ID())
		return r.site.RestartModel(zone, index)
	})
}
