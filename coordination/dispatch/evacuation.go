package dispatch

import "time"

// Evacuated reports whether a zone is to be sent nothing new. Requests that are open there go
// on to their end.
func (c *Core) Evacuated(zone string) bool { return c.evacuated[zone] }

// noteEvacuations returns which zones a new fleet evacuates, and takes the servers of those
// that it no longer evacuates for cold ones; the servers are those of the new fleet.
func (c *Core) noteEvacuations(old Fleet, now time.Time) []Change {
	var changes []Change
	before := c.evacuated
	c.evacuated = make(map[string]bool, len(c.fleet.Evacuated))
	for _, zone := range c.fleet.Evacuated {
		c.evacuated[zone] = true
		if !before[zone] {
			servers, inFlight := c.zoneCounts(zone)
			changes = append(changes, Change{Kind: ZoneEvacuated, Zone: zone, Servers: servers, InFlight: inFlight})
		}
	}
	for _, zone := range old.Evacuated {
		if !c.evacuated[zone] {
			c.readmit(zone, now)
			servers, inFlight := c.zoneCounts(zone)
			changes = append(changes, Change{Kind: ZoneReadmitted, Zone: zone, Servers: servers, InFlight: inFlight})
		}
	}
	return changes
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
