package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// ChangeKind is the kind of a change of the published fleet.
type ChangeKind int

// Kinds of changes.
const (
	// ServerLeaving: the server is to be sent no new requests.
	ServerLeaving ChangeKind = iota
	// ServerRemoved: the server is no longer listed.
	ServerRemoved
	// ServerRestarted: the server has restarted under its ID; Candidate is its former incarnation.
	ServerRestarted
	// AddressTaken: a newer server is listed at the server's address, so the server has stopped.
	AddressTaken
	// ZoneEvacuated: the zone is to be sent no new requests.
	ZoneEvacuated
	// ZoneReadmitted: the zone is no longer evacuated.
	ZoneReadmitted
	// ZoneIdle: this entry's last request in an evacuated zone has completed.
	ZoneIdle
)

// Change is a change of the published fleet that the entry has to act on or to log.
type Change struct {
	Kind ChangeKind
	// Candidate is the server that changed, Zone the zone.
	Candidate *Candidate
	Zone      string
	// Servers is the number of servers in the zone. InFlight is the number of this entry's requests in the
	// zone or at the server.
	Servers  int
	InFlight int
	// IdleAfter is the time from when the entry learned of the evacuation until the zone was idle.
	IdleAfter time.Duration
}

// Update applies a new published fleet and returns the changes.
func (c *Core) Update(fleet Fleet, now time.Time) []Change {
	old := c.fleet
	c.fleet = fleet
	c.expireRetained(now)
	var changes []Change
	present := make(map[string]bool, len(fleet.Servers))
	c.byService = map[string][]*Candidate{}
	c.byAddress = make(map[string]*Candidate, len(fleet.Servers))
	for _, server := range fleet.Servers {
		present[server.ID] = true
		if candidate := c.byID[server.ID]; candidate != nil && candidate.isOther(server) {
			ended := c.remove(candidate, now)
			if candidate.listing.server.StartTime.Differs(server.StartTime) {
				ended.Kind = ServerRestarted
			}
			changes = append(changes, ended)
			c.health.Reset(server.ID, c.elapsed(now))
			// Requests sent to the former incarnation and reports about it no longer apply.
			delete(c.retained, server.ID)
			if c.reports[server.Address].StartTime != server.StartTime {
				delete(c.reports, server.Address)
			}
		}
		candidate := c.candidateOf(server, now)
		if !candidate.listing.server.Draining && !candidate.notices.leaving && server.Draining {
			changes = append(changes, Change{Kind: ServerLeaving, Candidate: candidate, InFlight: candidate.sends.inFlight})
		}
		candidate.listing.server = server
		candidate.coldTime = c.coldTime(server.Service)
		candidate.version = max(candidate.version, server.Version)
		c.byService[server.Service] = append(c.byService[server.Service], candidate)
		if ended := c.claimAddress(candidate); ended != nil {
			changes = append(changes, Change{Kind: AddressTaken, Candidate: ended, InFlight: ended.sends.inFlight})
		}
	}
	changes = append(changes, c.dropUnlisted(present, now)...)
	c.updateHealth(old)
	changes = append(changes, c.updateEvacuations(old, now)...)
	c.updateLimitsUntil()
	c.countRegions()
	return append(changes, c.NewlyIdleZones(now)...)
}

// Leaving reports whether a server is to be sent no more requests, because its list entry or an answer says
// so, it is no longer listed, or it has stopped.
func (c *Core) Leaving(k *Candidate) bool {
	return k.listing.server.Draining || k.notices.leaving || k.listing.removed
}

// isOther reports whether a list entry belongs to another server with the same ID, or to another incarnation.
func (k *Candidate) isOther(server Server) bool {
	return k.Zone != server.Zone || k.Address != server.Address || k.listing.server.StartTime.Differs(server.StartTime)
}

// dropUnlisted removes the servers that are no longer listed.
func (c *Core) dropUnlisted(present map[string]bool, now time.Time) []Change {
	var removed []Change
	for id, candidate := range c.byID {
		if !present[id] {
			candidate.listing.agentCurrent = !candidate.report.at.IsZero() && now.Sub(candidate.report.at) < reportTTL/2
			removed = append(removed, c.remove(candidate, now))
		}
	}
	slices.SortFunc(removed, func(a, b Change) int { return cmp.Compare(a.Candidate.ID, b.Candidate.ID) })
	return removed
}

// remove removes one server.
func (c *Core) remove(candidate *Candidate, now time.Time) Change {
	candidate.listing.removed = true
	c.retain(candidate, now)
	delete(c.byID, candidate.ID)
	return Change{Kind: ServerRemoved, Candidate: candidate, InFlight: candidate.sends.inFlight}
}

// candidateOf returns the Candidate of a listed server, creating it if needed.
func (c *Core) candidateOf(server Server, now time.Time) *Candidate {
	candidate := c.byID[server.ID]
	if candidate != nil {
		return candidate
	}
	candidate = &Candidate{ID: server.ID, Address: server.Address, Zone: server.Zone, listing: listing{firstListed: now}}
	c.restore(candidate, server)
	c.byID[server.ID] = candidate
	if reported, found := c.reports[server.Address]; found && !reported.StartTime.Before(server.StartTime) {
		candidate.report.timedReport = reported
	}
	return candidate
}

// claimAddress gives an address to the server with the newest list entry among those listed with it. The
// others have stopped, and the list will drop them; if one is found here, it is returned.
func (c *Core) claimAddress(candidate *Candidate) (ended *Candidate) {
	holder := c.byAddress[candidate.Address]
	if holder == nil || holder.listing.server.WrittenAt.Compare(candidate.listing.server.WrittenAt) < 0 {
		c.byAddress[candidate.Address] = candidate
		candidate.listing.removed = candidate.listing.superseded
		holder, candidate = candidate, holder
	}
	if candidate == nil {
		return nil
	}
	candidate.listing.removed = true
	if reported, found := c.reports[holder.Address]; found && holder.report.at.IsZero() && !reported.StartTime.Before(holder.listing.server.StartTime) {
		holder.report.timedReport = reported
	}
	return candidate
}

// Supersede records that another server has answered at a server's address, and reports whether the server
// was in use until now.
func (c *Core) Supersede(k *Candidate) bool {
	isNew := !k.listing.removed
	k.listing.removed, k.listing.superseded = true, true
	return isNew
}
