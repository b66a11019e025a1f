package dispatch

import (
	"maps"
	"time"
)

// Evacuated reports whether a zone is to be sent no new requests. Requests in flight there run to completion.
func (c *Core) Evacuated(zone string) bool { return c.evacuated[zone] }

// zoneDrain tracks how evacuated zones become idle as this entry's requests there complete.
type zoneDrain struct {
	// since holds when this entry learned of the evacuation of each zone in which it has requests in flight;
	// a zone is removed once they have completed.
	since map[string]time.Time
	// drainTimes holds, by zone, how long the last such request took after the newest evacuation. Zones
	// without servers at the evacuation, such as misspelled ones, are left out, and a zone that is not
	// evacuated is dropped with its last server.
	drainTimes map[string]time.Duration
}

func newZoneDrain() zoneDrain {
	return zoneDrain{since: map[string]time.Time{}, drainTimes: map[string]time.Duration{}}
}

// begin records the evacuation of a zone with its numbers of servers and of requests in flight.
func (d *zoneDrain) begin(zone string, servers, inFlight int, now time.Time) {
	delete(d.drainTimes, zone)
	if servers == 0 {
		return
	}
	if inFlight == 0 {
		d.drainTimes[zone] = 0
		return
	}
	d.since[zone] = now
}

// NewlyIdleZones returns the evacuated zones in which this entry's last request has completed since the
// previous call. Requests at servers that are no longer listed are not counted.
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

// EvacuationCounts returns the number of this entry's requests in flight in evacuated zones, and by zone how
// long the last one took after the newest evacuation.
func (c *Core) EvacuationCounts() (total int, drainTimes map[string]time.Duration) {
	for zone := range c.evacuated {
		_, inFlight := c.zoneCounts(zone)
		total += inFlight
	}
	return total, maps.Clone(c.draining.drainTimes)
}

// updateEvacuations returns the changes of the evacuated zones against the old fleet, and treats the servers
// of zones that are no longer evacuated as cold. c.fleet is already the new fleet.
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

// dropRemovedZones drops the drain times of zones that are not evacuated and have no servers left.
func (c *Core) dropRemovedZones() {
	maps.DeleteFunc(c.draining.drainTimes, func(zone string, _ time.Duration) bool {
		servers, _ := c.zoneCounts(zone)
		return servers == 0 && !c.evacuated[zone]
	})
}

// zoneCounts counts the servers of a zone and this entry's requests there.
func (c *Core) zoneCounts(zone string) (servers, inFlight int) {
	for _, candidate := range c.byID {
		if candidate.Zone == zone {
			servers++
			inFlight += candidate.sends.inFlight
		}
	}
	return servers, inFlight
}

// readmit treats the servers of a zone as cold from now on: they may have become cold while they had nothing
// to do, and the list says so up to a heartbeat later. Where they are warm, their part of the requests is
// well within the cold rate, so this costs nothing.
func (c *Core) readmit(zone string, now time.Time) {
	for service, servers := range c.byService {
		until := now.Add(c.coldTime(service))
		for _, candidate := range servers {
			if candidate.Zone == zone {
				candidate.readmittedUntil = until
			}
		}
	}
}
