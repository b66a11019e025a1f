package dispatch

import (
	"maps"
	"time"

	"pinevane.example/pinevane/coordination/residency"
)

// Scarcity: places in a region that is the only allowed one of some requests are left to these, as
// long as there are others. A request that may go elsewhere sees a server there as later, by the
// share of the region's servers that the bound requests keep busy, times how full the server is,
// times how long a request holds a place there, less where few servers are outside of the region. Nothing
// is refused for it: refusals go by how long a server has the request wait, without this cost, agents are asked
// once without it before a refusal, and a scarce server that was not asked counts by its last word. What it is
// worth stands in docs/design/residency.md.
//
// Each entry sees its own requests, and takes the bound ones to come evenly to all entries. Where they come
// to the entries of their region only, these see too many and the others none, which send as if
// nothing were bound there.

// regionalService is a service's part in a region.
type regionalService struct{ service, region string }

// mostScarcity bounds the cost: well below silentCost, so that a server whose agent has fallen
// silent is no way out, however slow the model.
const mostScarcity = silentCost / 2

// roomElsewhere is the part of a service's servers outside of a region from which on the region
// counts as small, with the full cost; below it the cost falls with the square, as the few others
// can't take what would leave the region. Other ways were played with two, five and eight of ten
// servers in the region. Without the factor free requests lose 0.06 where eight are (0.94 instead of 0.99
// at 0.8 of the places, 0.6 bound). With a cost that falls in proportion, from one half on, free
// ones lose 0.01 more where five are (0.98 instead of 1.00 at 0.95 of the places, 0.25 bound,
// agents asked). With one from one half on bound ones gain nothing where five are (0.83 instead of
// 0.97 at 0.7 of the places, 0.6 bound).
const roomElsewhere = 0.8

// onlyRegion is the one region with servers of the service in which a request may be served; false
// when there are several, or none. Regions that are evacuated wholly count as without servers.
func (c *Core) onlyRegion(request *Request) (only string, bound bool) {
	if !request.Residency.Restricts() {
		return "", false
	}
	for region := range c.regionServers[request.Service] {
		if !request.Residency.Allows(region) {
			continue
		}
		if bound {
			return "", false
		}
		only, bound = region, true
	}
	return only, bound
}

// noteBound notes a request that only one region may serve, when it is first to be sent. A caller
// that comes back after a refusal was counted then.
func (c *Core) noteBound(request *Request, now time.Time) {
	if request.Engine == nil || request.Resumed || len(request.Tried) > 0 || request.Arrival.Elapsed > 0 {
		return
	}
	region, bound := c.onlyRegion(request)
	if !bound {
		return
	}
	ofUsual := float64(request.Prompt) / max(1, request.Figures.UsualPrompt)
	taken := time.Duration(ofUsual * float64(request.Figures.ServiceTime()))
	held(c.demands, regionalService{service: request.Service, region: region}).Record(taken, c.since(now))
}

// countRegions counts the servers that each service has in each region, and forgets the demand
// where there are none.
func (c *Core) countRegions() {
	c.regionServers = map[string]map[string]int{}
	for service, servers := range c.byService {
		counts := map[string]int{}
		for _, one := range servers {
			if !c.Leaving(one) && !c.Evacuated(one.Zone) {
				counts[c.regions[one.Zone]]++
			}
		}
		c.regionServers[service] = counts
	}
	maps.DeleteFunc(c.demands, func(key regionalService, _ *residency.Demand) bool {
		return c.regionServers[key.service][key.region] == 0
	})
}

// findScarcity works out which regions' servers a request had better leave to others, and what a
// place at a full server there weighs. Nothing is scarce for a request that has no choice of
// regions.
func (c *Core) findScarcity(request *Request, now time.Time) {
	clear(c.scarce)
	if c.policy.Scarcity == 0 || request.Engine == nil || len(c.demands) == 0 {
		return
	}
	if _, bound := c.onlyRegion(request); bound {
		return
	}
	counts := c.regionServers[request.Service]
	all := 0
	for _, count := range counts {
		all += count
	}
	for region, count := range counts {
		demand := c.demands[regionalService{service: request.Service, region: region}]
		if demand == nil {
			continue
		}
		// Each entry sees its own part of the requests, taken to be an even one.
		entries := float64(request.Others + 1)
		bound := min(1, entries*demand.Servers(c.since(now))/float64(count))
		room := min(1, float64(all-count)/float64(all)/roomElsewhere)
		c.scarce[region] = c.policy.Scarcity * bound * room * room
	}
}

// scarcityCost is what a request that may be served elsewhere takes from those that may not, by
// what findScarcity has found for it.
func (c *Core) scarcityCost(k *Candidate, request *Request, now time.Time) time.Duration {
	share := c.scarce[c.regions[k.Zone]]
	if share == 0 {
		return 0
	}
	model := k.model(request)
	full := min(1, float64(k.outstanding(now))/float64(max(1, model.Slots)))
	hold := float64(model.ServiceTime()) * float64(model.Slots)
	most := mostScarcity
	if limit := c.limit(request); limit > 0 {
		most = min(most, limit)
	}
	return min(most, time.Duration(share*full*hold))
}

// scarceOf keeps those of some servers that the request that is being decided had better leave to
// others.
func (c *Core) scarceOf(servers []*Candidate) []*Candidate {
	if len(c.scarce) == 0 {
		return nil
	}
	var scarce []*Candidate
	for _, one := range servers {
		if c.scarce[c.regions[one.Zone]] > 0 {
			scarce = append(scarce, one)
		}
	}
	return scarce
}

// BoundLoad is what this entry's requests that only one region may serve ask of a service's
// servers there: its part, which adds up over the entries.
type BoundLoad struct {
	Service string
	Region  string
	// Share is the part of the servers that they keep busy.
	Share float64
}

// BoundLoads lists the bound load of each service and region that has had any, in no order.
func (c *Core) BoundLoads(now time.Time) []BoundLoad {
	loads := make([]BoundLoad, 0, len(c.demands))
	for key, demand := range c.demands {
		share := demand.Servers(c.since(now)) / float64(max(1, c.regionServers[key.service][key.region]))
		loads = append(loads, BoundLoad{Service: key.service, Region: key.region, Share: share})
	}
	return loads
}
