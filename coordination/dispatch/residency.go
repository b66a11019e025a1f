package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/residency"
)

// Data residency: a request is sent only to servers in the regions that its route and its
// tenant allow. Every way to a server goes through Core.fitness, which asks here: the
// choice, whom to ask for the load, what follows a failed attempt, the continuation of a
// stream, and the ejected servers that are taken when no sound one is left.

// Allowed reports whether a server of a zone may be sent a request with a residency. A zone
// that the settings do not name has no region, and is in none that is allowed.
func (c *Core) Allowed(zone string, allowed residency.Residency) bool {
	return !allowed.Restricts() || allowed.Allows(c.regions[zone])
}

// allowedAt is the same for the server at an address; one that is not listed is nowhere.
func (c *Core) allowedAt(address string, allowed residency.Residency) bool {
	if !allowed.Restricts() {
		return true
	}
	holder := c.byAddress[address]
	return holder != nil && c.Allowed(holder.Zone, allowed)
}

// residencyDecides reports whether a server of another region would be sent the request.
func (c *Core) residencyDecides(request *Request, now time.Time) bool {
	if !request.Residency.Restricts() {
		return false
	}
	anywhere := *request
	anywhere.Residency = nil
	return len(c.usable(&anywhere, now)) > 0
}
