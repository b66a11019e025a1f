package soak

import (
	"slices"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/launch"
)

// Times of pauses and of what happens beside them.
const (
	// A server or process that pauses goes on after minPauseTime to maxPauseTime.
	minPauseTime = 400 * time.Millisecond
	maxPauseTime = 2 * time.Second
	// pauseGap is the least time between two pauses of a server in different faults. A long stream is complete
	// within it, so that pauses don't add up until a request's deadline.
	pauseGap = 2500 * time.Millisecond
	// Beside a pause the configuration changes every minChangeInterval to maxChangeInterval, in steps
	// of changeIntervalStep, for minChangesTime and half of the pause's own time.
	minChangeInterval  = 200 * time.Millisecond
	maxChangeInterval  = 300 * time.Millisecond
	changeIntervalStep = 50 * time.Millisecond
	minChangesTime     = time.Second
	// pauseAfterChange is how long after the first change, the version or the first stop servers pause.
	pauseAfterChange = 300 * time.Millisecond
	// stopInterval is the time between the stop signals of entries of successive zones.
	stopInterval = 700 * time.Millisecond
	// pauseLateInStop is how long after the first stop signal servers pause once more: shortly before
	// a stopping entry takes no new requests.
	pauseLateInStop = 3 * time.Second
	// latePauseTime and endPauseTime are the times of the two pauses in a stop that lasts to the end of the grace
	// period, and endPauseGap the time between them. The second one ends shortly after the grace period, so that
	// requests at other entries are complete before their deadlines.
	latePauseTime = 1800 * time.Millisecond
	endPauseGap   = 1500 * time.Millisecond
	endPauseTime  = 1600 * time.Millisecond
	// pausedSuffix marks servers that pause in run.busy.
	pausedSuffix = " paused"
	// changedPrefix is the path of the route that the changes beside a pause add and remove.
	changedPrefix = "/changed/"
)

// pauseTime returns how long a fault pauses servers or processes: its duration, scaled to the range of pauses.
func pauseTime(fault Fault) time.Duration {
	fraction := float64(fault.Duration-minFaultDuration) / float64(maxFaultDuration-minFaultDuration)
	return minPauseTime + time.Duration(fraction*float64(maxPauseTime-minPauseTime))
}

// pauseScope says which servers pause at the same time.
type pauseScope int

// The scopes of pauses.
const (
	oneServer pauseScope = iota
	zoneServers
	allServers
	scopes
)

// pausedServers returns the servers that pause together.
func (r *run) pausedServers(scope pauseScope, fault Fault) []*site.Server {
	options := r.site.Options
	if scope == oneServer {
		return []*site.Server{r.pickServer(fault)}
	}
	var servers []*site.Server
	for zone := range options.Zones {
		if scope == zoneServers && zone != fault.Zone {
			continue
		}
		for index := range options.ModelServers {
			servers = append(servers, r.site.Models[options.ModelIP(zone, index)])
		}
		for index := range options.PlainServers {
			servers = append(servers, r.site.Plain[options.PlainIP(zone, index)])
		}
	}
	return servers
}

// pauseServers makes servers silent for a time, after which they go on where they stopped. This is no
// disturbance: servers that pause are sound, so every guarantee holds meanwhile.
func (r *run) pauseServers(servers []*site.Server, duration time.Duration) {
	r.pauseWithGap(servers, duration, pauseGap)
}

// pauseWithGap makes servers silent for a time, after which they pause no more for another time.
func (r *run) pauseWithGap(servers []*site.Server, duration, gap time.Duration) {
	for _, server := range servers {
		key := server.ID() + pausedSuffix
		if r.busy[key] {
			continue
		}
		r.busy[key] = true
		server.Pause(duration)
		r.schedule(duration+gap, func() error { r.busy[key] = false; return nil })
	}
}

// pauseLater has a scope of servers pause after a delay.
func (r *run) pauseLater(delay time.Duration, scope pauseScope, fault Fault) {
	r.schedule(delay, func() error {
		r.pauseServers(r.pausedServers(scope, fault), pauseTime(fault))
		return nil
	})
}

// pauseAgents suspends successive agents, from one of the fault's zone on, while their servers go on working.
func (r *run) pauseAgents(fault Fault) error {
	options := r.site.Options
	first := fault.Zone*options.ModelServers + fault.Index%options.ModelServers
	for offset := range fault.Count {
		machine := (first + offset) % (options.Zones * options.ModelServers)
		name := launch.SiteProcessName(site.RoleAgent, machine/options.ModelServers, machine%options.ModelServers)
		if err := r.freeze(name, pauseTime(fault)); err != nil {
			return err
		}
	}
	return nil
}

// pauseBesideChanges changes the configuration again and again and has processes reread their settings, while
// servers pause.
func (r *run) pauseBesideChanges(fault Fault) {
	steps := int((maxChangeInterval-minChangeInterval)/changeIntervalStep) + 1
	interval := minChangeInterval + time.Duration(fault.Count%steps)*changeIntervalStep
	changes := int((minChangesTime + pauseTime(fault)/2) / interval)
	for change := range changes {
		r.schedule(time.Duration(change)*interval, func() error {
			r.toggleRoute()
			return r.hangUpZone((fault.Zone + change) % r.site.Options.Zones)
		})
	}
	r.pauseLater(pauseAfterChange, pauseScope(fault.Index%int(scopes)), fault)
}

// toggleRoute publishes a configuration with a further route, or without it if the last one had it.
func (r *run) toggleRoute() {
	isChanged := func(route any) bool { return route.(map[string]any)["pathPrefix"] == changedPrefix }
	found := false
	r.site.Configure(func(configuration map[string]any) {
		routes := configuration["routes"].([]any)
		found = slices.ContainsFunc(routes, isChanged)
		if found {
			configuration["routes"] = slices.DeleteFunc(slices.Clone(routes), isChanged)
		}
	})
	if !found {
		r.site.AddRoute(changedPrefix)
	}
}

// hangUpZone has the processes of a zone reread their settings.
func (r *run) hangUpZone(zone int) error {
	for role, count := range map[string]int{site.RoleEntry: r.site.Options.Entries, site.RoleAgent: r.site.Options.ModelServers} {
		for index := range count {
			if err := r.reload(process{role: role, zone: zone, index: index}, r.site.Settings(role, zone, index)); err != nil {
				return err
			}
		}
	}
	return nil
}

// pauseBesideStops shuts one entry of each zone down gracefully, one after the other, while servers pause: first
// when the stops begin, and again when stopping entries are about to take no new requests.
func (r *run) pauseBesideStops(fault Fault) {
	options := r.site.Options
	for turn := range options.Zones {
		r.schedule(time.Duration(turn)*stopInterval, func() error {
			return r.stop((fault.Zone+turn)%options.Zones, fault.Index%options.Entries)
		})
	}
	scope := pauseScope(fault.Count % int(scopes))
	r.pauseLater(pauseAfterChange, scope, fault)
	r.pauseLater(pauseLateInStop, scope, fault)
}

// pauseBesideVersion announces a version of the weights and has servers pause while it is distributed.
func (r *run) pauseBesideVersion(fault Fault) {
	r.announceVersion(time.Now())
	r.pauseLater(pauseAfterChange, pauseScope(fault.Count%int(scopes)), fault)
}

// pauseToEndOfStop has servers pause twice in a stop of an entry: when it is about to take no new requests, and again
// until its grace period is over, so that requests are still open then.
func (r *run) pauseToEndOfStop(fault Fault) {
	scope := pauseScope(fault.Count % int(scopes))
	r.schedule(pauseLateInStop, func() error {
		// The gap is over shortly before the second pause is due.
		r.pauseWithGap(r.pausedServers(scope, fault), latePauseTime, endPauseGap-slack)
		return nil
	})
	r.schedule(pauseLateInStop+latePauseTime+endPauseGap, func() error {
		r.pauseServers(r.pausedServers(scope, fault), endPauseTime)
		return nil
	})
}
