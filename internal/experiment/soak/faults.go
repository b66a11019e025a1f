package soak

import (
	"syscall"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/launch"
)

// Fixed times of faults, the same for every seed.
const (
	// restartDelay is how long the platform takes to restart a process that has exited.
	restartDelay = 700 * time.Millisecond
	// storeOutage is how long the store is down when the records of servers expire, and
	// returnDelay how long the servers then take to write them again.
	storeOutage = 2 * time.Second
	returnDelay = 900 * time.Millisecond
	// secondVersionDelay is the time between two version announcements of one fault.
	secondVersionDelay = 2 * time.Second
	// stopTimeout is how long a stopped process may take to exit.
	stopTimeout = 10 * time.Second
	// minBurstTime is the minimum duration of a burst; the fault's duration is added to it.
	minBurstTime = 2 * time.Second
	// serverFaultPeriod is how long a server's injected faults, each of which affects a number
	// of requests, may have effects.
	serverFaultPeriod = 3 * time.Second
)

// inject injects a fault and schedules its end on the run's timeline.
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
		r.site.Store.BlockWatches()
		r.recordDisturbance(fault.Duration)
		r.schedule(fault.Duration, func() error { r.site.Store.Compact(); return nil })
	case StoreRestored:
		r.restoreStore(fault, server, 0)
	case StoreRestoredAfterOutage:
		r.restoreStore(fault, server, restoreOutage)
	case StoreRefuses:
		r.site.Store.Refuse(r.site.Options.EntryIP(zone, entry), r.site.Options.ModelIP(zone, agent))
		r.recordDisturbance(fault.Duration, launch.SiteProcessName(site.RoleEntry, zone, entry), launch.SiteProcessName(site.RoleAgent, zone, agent))
		r.schedule(fault.Duration, func() error { r.site.Store.Refuse(); return nil })
	case ServersExpire:
		r.expireServers()
	case ServerCrash, ServerCrashUnnoticed:
		r.recordDisturbance(serverFaultPeriod, server.ID())
		r.recordBreakOff(server, slack)
		if fault.Kind == ServerCrash {
			return r.site.RestartModel(zone, agent)
		}
		return r.site.RestartModelStillListed(zone, agent)
	case ServerLeaves:
		r.announceLeaving(zone, agent, server)
	case PiecesCorrupted:
		r.recordDisturbance(serverFaultPeriod, server.ID())
		for piece := range fault.Count {
			server.CorruptStaged(piece)
		}
	case OriginCorrupts:
		r.site.Origin.CorruptPieces(fault.Count)
	case CutStreams:
		r.setServerFaults(server, site.Faults{CutAfter: fault.Count, CutCount: fault.Count})
	case LoseAnswers:
		r.setServerFaults(server, site.Faults{LoseAnswers: fault.Count})
	case Shed:
		r.setServerFaults(server, site.Faults{Shed: fault.Count})
	case SurplusAnswers:
		r.setServerFaults(server, site.Faults{ExtraAnswers: fault.Count})
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
		r.setServerFaultsFor(r.pickServer(fault), site.Faults{Failure: site.FailWithErrors}, minFalseHealthTime+fault.Duration)
	case FalselyHealthyResets:
		r.setServerFaultsFor(r.pickServer(fault), site.Faults{Failure: site.FailWithResets}, minFalseHealthTime+fault.Duration)
	case FalselyHealthyHangs:
		r.setServerFaultsFor(r.pickServer(fault), site.Faults{Failure: site.FailWithHangs}, minFalseHealthTime+fault.Duration)
	case FalselyUnhealthy:
		r.setServerFaultsFor(server, site.Faults{FailHealthChecks: true}, minFalseHealthTime+fault.Duration)
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
	case CrashingPart:
		r.sendCrashingParts(fault)
	case ServerNoticeLimit:
		r.announceRateLimit(r.pickServer(fault), fault)
	case ServerNoticeLeaving:
		r.announceLeavingInResponses(zone, agent, server)
	case ServerNoticeBackoff:
		r.requestBackoff(r.pickServer(fault), fault)
	case ServerPause:
		r.pauseServers(r.pausedServers(oneServer, fault), pauseTime(fault))
	case ZonePause:
		r.pauseServers(r.pausedServers(zoneServers, fault), pauseTime(fault))
	case AllServersPause:
		r.pauseServers(r.pausedServers(allServers, fault), pauseTime(fault))
	case AgentsPause:
		return r.pauseAgents(fault)
	case EntryPause:
		return r.freeze(launch.SiteProcessName(site.RoleEntry, zone, entry), pauseTime(fault))
	case PauseBesideChanges:
		r.pauseBesideChanges(fault)
	case PauseBesideStops:
		r.pauseBesideStops(fault)
	case PauseBesideVersion:
		r.pauseBesideVersion(fault)
	case CrashBesideFrozenEntry:
		return r.crashBesideFrozenEntry(fault)
	case OrderTakenLate:
		r.takeOrderLate(server, fault)
	case EntryKillsBesideFailures:
		r.killEntriesBesideFailures(fault)
	case PauseToEndOfStop:
		r.pauseToEndOfStop(fault)
		return r.stop(zone, entry)
	}
	return nil
}

// recordDisturbance records that some processes or servers are disturbed from now on for a
// time. Without names, the disturbance affects the whole fleet.
func (r *run) recordDisturbance(duration time.Duration, names ...string) {
	now := time.Now()
	if len(names) == 0 {
		names = []string{""}
	}
	for _, name := range names {
		r.record.Disturbances = append(r.record.Disturbances, Interval{From: now, To: now.Add(duration), Name: name})
	}
}

// recordBreakOff records that a server crashes, or may break off connections for a time.
func (r *run) recordBreakOff(server *site.Server, duration time.Duration) {
	now := time.Now()
	r.record.BreakOffs = append(r.record.BreakOffs, Interval{From: now, To: now.Add(duration), Name: server.ID()})
}

func (r *run) setServerFaults(server *site.Server, faults site.Faults) {
	r.setServerFaultsFor(server, faults, serverFaultPeriod)
}

func (r *run) announceVersion(now time.Time) {
	r.version++
	r.site.AnnounceVersion(r.version)
	r.record.VersionAnnouncements = append(r.record.VersionAnnouncements, VersionAnnouncement{Version: r.version, At: now})
}

// kill kills a process and restarts it after restartDelay.
func (r *run) kill(role string, zone, index int) error {
	name := launch.SiteProcessName(role, zone, index)
	if r.busy[name] {
		return nil
	}
	r.busy[name] = true
	r.recordDisturbance(restartDelay, name)
	now := time.Now()
	r.record.Kills = append(r.record.Kills, Interval{From: now, To: now.Add(restartDelay), Name: name})
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

// killZone kills every process of a zone at the same time.
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

// freeze suspends a process for a time; when it resumes, its state is out of date.
func (r *run) freeze(name string, duration time.Duration) error {
	if r.busy[name] {
		return nil
	}
	r.busy[name] = true
	r.recordDisturbance(duration, name)
	r.schedule(duration, func() error {
		r.busy[name] = false
		return r.fleet.Group.Signal(name, syscall.SIGCONT)
	})
	return r.fleet.Group.Signal(name, syscall.SIGSTOP)
}

// stop shuts an entry down gracefully and restarts it once it has exited.
func (r *run) stop(zone, index int) error {
	name := launch.SiteProcessName(site.RoleEntry, zone, index)
	if r.busy[name] {
		return nil
	}
	r.busy[name] = true
	if err := r.fleet.Group.Signal(name, syscall.SIGTERM); err != nil {
		return err
	}
	// The stop is counted from when the signal has been sent: on a busy machine this process may have waited
	// before it.
	now := time.Now()
	r.record.Stops = append(r.record.Stops, Interval{From: now, To: now.Add(r.record.Grace), Name: name})
	r.schedule(r.record.Grace, func() error {
		r.busy[name] = false
		if !r.fleet.Group.WaitExit(name, stopTimeout) {
			r.violations = append(r.violations, Violation{Guarantee: StopDropsNothing, At: time.Now(), Detail: name + " did not exit within its grace period"})
			return nil
		}
		return r.fleet.Restart(site.RoleEntry, zone, index)
	})
	return nil
}

// expireServers has every model server's record in the store expire while the store is down;
// the servers write them again afterwards.
func (r *run) expireServers() {
	r.site.Store.SetDown(true)
	r.recordDisturbance(storeOutage + returnDelay)
	var expired []*site.Server
	for _, server := range r.site.Models {
		server.StopHeartbeats()
		expired = append(expired, server)
	}
	r.schedule(storeOutage, func() error { r.site.Store.SetDown(false); return nil })
	r.schedule(storeOutage+returnDelay, func() error {
		for _, server := range expired {
			server.ResumeHeartbeats()
		}
		return nil
	})
}

// announceLeaving has a server announce that it leaves, and replaces it by an empty one later.
func (r *run) announceLeaving(zone, index int, server *site.Server) {
	if r.busy[server.ID()] {
		return
	}
	r.busy[server.ID()] = true
	server.Leave()
	r.record.Departures = append(r.record.Departures, Departure{Server: server.ID(), At: time.Now()})
	r.restartAfterDrain(zone, index, server)
}

// leavingExtraTime is how long a leaving server continues to serve after its drain time.
const leavingExtraTime = 2 * time.Second

// restartAfterDrain replaces a leaving server by an empty one after its drain time, unless it has been replaced
// before.
func (r *run) restartAfterDrain(zone, index int, server *site.Server) {
	r.schedule(r.record.Drain+leavingExtraTime, func() error {
		if r.site.Models[r.site.Options.ModelIP(zone, index)] != server {
			return nil
		}
		r.recordDisturbance(serverFaultPeriod, server.ID())
		r.recordBreakOff(server, slack)
		return r.site.RestartModel(zone, index)
	})
}
