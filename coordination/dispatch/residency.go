package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/residency"
)

// Data residency: a request is sent only to servers in the regions that its route and its tenant allow. Every
// path to a server goes through Core.eligibility, which checks this: the selection, the load queries, retries
// after a failed attempt, the continuation of a stream, and the ejected servers used when no healthy one is
// left.

// Allowed reports whether the residency allows servers of a zone. A zone that the settings do not name has no
// region, and so is in no allowed one.
func (c *Core) Allowed(zone string, allowed residency.Residency) bool {
	return !allowed.Restricts() || allowed.Allows(c.regions[zone])
}

// allowedAt is Allowed for the server at an address; an address that is not listed is in no region.
func (c *Core) allowedAt(address string, allowed residency.Residency) bool {
	if !allowed.Restricts() {
		return true
	}
	holder := c.byAddress[address]
	return holder != nil && c.Allowed(holder.Zone, allowed)
}

// residencyExcludes reports whether the request could be served if every region were allowed.
func (c *Core) residencyExcludes(request *Request, now time.Time) bool {
	if !request.Residency.Restricts() {
		return false
	}
	anywhere := *request
	anywhere.Residency = nil
	return len(c.usable(&anywhere, now)) > 0
}
