package dispatch

import (
	"maps"
	"time"
)

// Evacuated reports whether a zone is to be sent nothing new. Requests that are open there go
// on to their end.
func (c *Core) Evacuated(zone string) bool { return c.evacuated[zone] }

// zoneDrain follows how the zones that are evacuated become idle: the requests of this entry
// that are open there run to their ends.
type zoneDrain struct {
	// since tells when this entry heard of the evacuation of each zone in which it has requests
	// open; the zone is left out once they have ended.
	since map[string]time.Time
	// drainTimes is how long the last such request of a zone took, as of its newest evacuation. Zones
	// that have no server when they are evacuated are left out, as misspelt ones, and a zone
	// that is in use is dropped with its last server.
	drainTimes map[string]time.Duration
}

func newZoneDrain() zoneDrain {
	return zoneDrain{since: map[string]time.Time{}, drainTimes: map[string]time.Duration{}}
}

// begin notes that a zone of a number of servers is evacuated in which a number of requests are
// open.
func (e *zoneDrain) begin(zone string, servers, inFlight int, now time.Time) {
	delete(e.drainTimes, zone)
	if servers == 0 {
		return
	}
	if inFlight == 0 {
		e.drainTimes[zone] = 0
		return
	}
	e.since[zone] = now
}

// NewlyIdleZones returns the evacuated zones in which the last request of this entry has ended since it
// was asked before. Requests at servers that are listed no more are not counted.
func (c *Core) NewlyIdleZones(now time.Time) []Change {
	var emptied []Change
	for zone, since := range c.draining.since {
		servers, inFlight := c.zoneCounts(zone)
		if inFlight > 0 {
			continue
		}
		delete(c.draining.since, zone)
		c.draining.drainTimes[zone] = now.Sub(since)
		emptied = append(emptied, Change{Kind: ZoneIdle, Zone: zone, Servers: servers, IdleAfter: now.Sub(since)})
	}
	return emptied
}

// EvacuationCounts tells how many requests of this entry are open in evacuated zones, and by zone
// how long after it heard of the newest evacuation the last one there had ended.
func (c *Core) EvacuationCounts() (open int, took map[string]time.Duration) {
	for zone := range c.evacuated {
		_, inFlight := c.zoneCounts(zone)
		open += inFlight
	}
	return open, maps.Clone(c.draining.drainTimes)
}

// updateEvacuations returns which zones a new fleet evacuates, and takes the servers of those
// that it no longer evacuates for cold ones; the servers are those of the new fleet.
func (c *Core) updateEvacuations(old Fleet, now time.Time) []Change {
	var changes []Change
	before := c.evacuated
	c.evacuated = make(map[string]bool, len(c.fleet.Evacuated))
	for _, zone := range c.fleet.Evacuated {
		c.evacuated[zone] = true
		if !before[zone] {
			servers, inFlight := c.zoneCounts(zone)
			c.draining.begin(zone, servers, inFlight, now)
			changes = append(changes, Change{Kind: ZoneEvacuated, Zone: zone, Servers: servers, InFlight: inFlight})
		}
	}
	for _, zone := range old.Evacuated {
		if !c.evacuated[zone] {
			delete(c.draining.since, zone)
			c.readmit(zone, now)
			servers, inFlight := c.zoneCounts(zone)
			changes = append(changes, Change{Kind: ZoneReadmitted, Zone: zone, Servers: servers, InFlight: inFlight})
		}
	}
	c.dropRemovedZones()
	return changes
}

// dropRemovedZones forgets how long zones took to become idle that are in use and have no
// servers any more.
func (c *Core) dropRemovedZones() {
	maps.DeleteFunc(c.draining.drainTimes, func(zone string, _ time.Duration) bool {
		servers, _ := c.zoneCounts(zone)
		return servers == 0 && !c.evacuated[zone]
	})
}

// zoneCounts counts the servers of a zone and this entry's requests there.
func (c *Core) zoneCounts(zone string) (servers, inFlight int) {
	for _, known := range c.byID {
		if known.Zone == zone {
			servers++
			inFlight += known.sends.inFlight
		}
	}
	return servers, inFlight
}

// readmit takes the servers of a zone for cold from now on: they may have become so while
// they had nothing to do, and their lines tell it up to a heartbeat later. Where they are
// warm, their share of requests is well within what cold ones bear, and this costs nothing.
func (c *Core) readmit(zone string, now time.Time) {
	for service, servers := range c.byService {
		until := now.Add(c.coldTime(service))
		for _, known := range servers {
			if known.Zone == zone {
				known.readmittedUntil = until
			}
		}
	}
}
