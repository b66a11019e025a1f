package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// ChangeKind is what has changed with a published fleet.
type ChangeKind int

// The kinds of changes.
const (
	// ServerLeaving: the server is to be sent nothing new.
	ServerLeaving ChangeKind = iota
	// ServerRemoved: the server is listed no more.
	ServerRemoved
	// ServerRestarted: the server has started again under its ID; Candidate is its former incarnation.
	ServerRestarted
	// AddressTaken: a newer server is listed at the server's address, so that it has ended.
	AddressTaken
	// ZoneEvacuated: the zone is to be sent nothing new.
	ZoneEvacuated
	// ZoneReadmitted: it is no longer.
	ZoneReadmitted
	// ZoneIdle: the last request of this entry that was open in an evacuated zone has ended.
	ZoneIdle
)

// Change is one change of the published fleet that the entry has to act on or to log.
type Change struct {
	Kind ChangeKind
	// Candidate is the server, Zone the zone that has changed.
	Candidate *Candidate
	Zone      string
	// Servers are those of the zone, InFlight this entry's requests there, or at the server.
	Servers  int
	InFlight int
	// IdleAfter is how long after the evacuation was heard of the zone became idle.
	IdleAfter time.Duration
}

// Update takes over a new published fleet, and returns what has changed.
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
		if known := c.byID[server.ID]; known != nil && known.isOther(server) {
			ended := c.remove(known, now)
			if known.listing.server.StartTime.Differs(server.StartTime) {
				ended.Kind = ServerRestarted
			}
			changes = append(changes, ended)
			c.health.Renew(server.ID, c.elapsed(now))
			// What its former incarnation was sent, and what was told of that, is over.
			delete(c.retained, server.ID)
			if c.reports[server.Address].StartTime != server.StartTime {
				delete(c.reports, server.Address)
			}
		}
		known := c.candidateOf(server, now)
		if !known.listing.server.Draining && !known.notices.leaving && server.Draining {
			changes = append(changes, Change{Kind: ServerLeaving, Candidate: known, InFlight: known.sends.inFlight})
		}
		known.listing.server = server
		known.coldTime = c.coldTime(server.Service)
		known.version = max(known.version, server.Version)
		c.byService[server.Service] = append(c.byService[server.Service], known)
		if ended := c.claimAddress(known); ended != nil {
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

// Leaving reports whether a server is to be sent nothing more, because its line or an answer has said so, it is
// listed no more, or has ended.
func (c *Core) Leaving(k *Candidate) bool {
	return k.listing.server.Draining || k.notices.leaving || k.listing.removed
}

// isOther reports whether a line is that of another server with the same name, or of another life
// of the server.
func (k *Candidate) isOther(server Server) bool {
	return k.Zone != server.Zone || k.Address != server.Address || k.listing.server.StartTime.Differs(server.StartTime)
}

// dropUnlisted forgets the servers that are not listed any more.
func (c *Core) dropUnlisted(present map[string]bool, now time.Time) []Change {
	var gone []Change
	for id, known := range c.byID {
		if !present[id] {
			gone = append(gone, c.remove(known, now))
		}
	}
	slices.SortFunc(gone, func(a, b Change) int { return cmp.Compare(a.Candidate.ID, b.Candidate.ID) })
	return gone
}

// remove drops one server.
func (c *Core) remove(known *Candidate, now time.Time) Change {
	known.listing.removed = true
	c.retain(known, now)
	delete(c.byID, known.ID)
	return Change{Kind: ServerRemoved, Candidate: known, InFlight: known.sends.inFlight}
}

// candidateOf returns what is known of a listed server.
func (c *Core) candidateOf(server Server, now time.Time) *Candidate {
	known := c.byID[server.ID]
	if known != nil {
		return known
	}
	known = &Candidate{ID: server.ID, Address: server.Address, Zone: server.Zone, listing: listing{firstListed: now}}
	c.restore(known, server)
	c.byID[server.ID] = known
	if told, heard := c.reports[server.Address]; heard && !told.StartTime.Before(server.StartTime) {
		known.report.timedReport = told
	}
	return known
}

// claimAddress notes who has an address now: of several servers that are listed with
// it, the one whose line is the newest. The others have ended, and the list will
// drop them; one that is found so is returned.
func (c *Core) claimAddress(known *Candidate) (ended *Candidate) {
	holder := c.byAddress[known.Address]
	if holder == nil || holder.listing.server.Revision < known.listing.server.Revision {
		c.byAddress[known.Address] = known
		known.listing.removed = known.listing.superseded
		holder, known = known, holder
	}
	if known == nil {
		return nil
	}
	known.listing.removed = true
	if told, heard := c.reports[holder.Address]; heard && holder.report.at.IsZero() && !told.StartTime.Before(holder.listing.server.StartTime) {
		holder.report.timedReport = told
	}
	return known
}

// Supersede notes that another server has answered at a server's address, and reports whether
// that is news.
func (c *Core) Supersede(k *Candidate) bool {
	news := !k.listing.removed
	k.listing.removed, k.listing.superseded = true, true
	return news
}
