package dispatch

import (
	"maps"
	"time"

	"pinevane.example/pinevane/coordination/residency"
)

// Scarcity: slots in a region that is the only allowed one for some requests are left to these, as long as
// there are others. For a request that may go elsewhere, a server there gets a penalty: the fraction of the
// region's servers that the single-region requests keep busy, times how full the server is, times how long a
// request holds a slot there, reduced where few servers are outside the region. No request is refused because
// of it: refusals depend on the wait at a server without this penalty, agents are queried once without it
// before a refusal, and a scarce server that was not queried is considered by its last report. Its effect is
// described in docs/design/residency.md.
//
// Each entry sees only its own requests, and assumes that single-region requests arrive evenly at all
// entries. Where they arrive only at the entries of their region, these overestimate the demand and the
// others see none, and send as if no request were tied to that region.

// regionalService identifies the servers of a service in one region.
type regionalService struct{ service, region string }

// maxScarcityCost bounds the penalty well below silentCost, so that a server whose agent is silent is no way
// around it, however slow the model.
const maxScarcityCost = silentCost / 2

// elsewhereRatio is the fraction of a service's servers outside a region above which the region counts as
// small, with the full penalty. Below it the penalty falls with the square, because the few other servers
// can't take the requests that would leave the region. Alternatives were simulated with two, five and eight
// of ten servers in the region. Without this factor, free requests lose 0.06 where eight are (0.94 instead of
// 0.99 at 0.8 of the slots, 0.6 of the requests single-region). With a penalty that falls linearly, and is
// full from one half on, free requests lose 0.01 more where five are (0.98 instead of 1.00 at 0.95 of the
// slots, 0.25 single-region, agents queried). With one that is full from one half on, single-region requests
// gain nothing where five are (0.83 instead of 0.97 at 0.7 of the slots, 0.6 single-region).
const elsewhereRatio = 0.8

// onlyRegion returns the one region with servers of the service in which a request may be served, and false
// if there are several or none. Regions evacuated completely count as having no servers.
func (c *Core) onlyRegion(request *Request) (only string, found bool) {
	if !request.Residency.Restricts() {
		return "", false
	}
	for region := range c.regionServers[request.Service] {
		if !request.Residency.Allows(region) {
			continue
		}
		if found {
			return "", false
		}
		only, found = region, true
	}
	return only, found
}

// recordDemand records a request that only one region may serve, on its first attempt. A caller that comes
// back after a refusal was already counted.
func (c *Core) recordDemand(request *Request, now time.Time) {
	if request.Engine == nil || request.Resumed || len(request.Tried) > 0 || request.Arrival.Elapsed > 0 {
		return
	}
	region, found := c.onlyRegion(request)
	if !found {
		return
	}
	relativeSize := float64(request.Prompt) / max(1, request.Figures.TypicalPrompt)
	serviceTime := time.Duration(relativeSize * float64(request.Figures.ServiceTime()))
	getOrCreate(c.demands, regionalService{service: request.Service, region: region}).Record(serviceTime, c.elapsed(now))
}

// countRegions counts the servers of each service by region, and drops the demand where there are none.
func (c *Core) countRegions() {
	c.regionServers = map[string]map[string]int{}
	for service, servers := range c.byService {
		counts := map[string]int{}
		for _, server := range servers {
			if !c.Leaving(server) && !c.Evacuated(server.Zone) {
				counts[c.regions[server.Zone]]++
			}
		}
		c.regionServers[service] = counts
	}
	maps.DeleteFunc(c.demands, func(key regionalService, _ *residency.Demand) bool {
		return c.regionServers[key.service][key.region] == 0
	})
}

// computeScarcity computes in which regions a request should leave servers to others, and the weight of a
// slot at a full server there. Nothing is scarce for a request that can be served in one region only.
func (c *Core) computeScarcity(request *Request, now time.Time) {
	clear(c.scarce)
	if c.policy.Scarcity == 0 || request.Engine == nil || len(c.demands) == 0 {
		return
	}
	if _, found := c.onlyRegion(request); found {
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
		// Each entry sees its own part of the requests, assumed to be an even one.
		entries := float64(request.OtherEntries + 1)
		usedRatio := min(1, entries*demand.Servers(c.elapsed(now))/float64(count))
		elsewhere := min(1, float64(all-count)/float64(all)/elsewhereRatio)
		c.scarce[region] = c.policy.Scarcity * usedRatio * elsewhere * elsewhere
	}
}

// scarcityCost returns the penalty of a server for a request that may be served elsewhere, from the weights
// of computeScarcity.
func (c *Core) scarcityCost(k *Candidate, request *Request, now time.Time) time.Duration {
	weight := c.scarce[c.regions[k.Zone]]
	if weight == 0 {
		return 0
	}
	model := k.model(request)
	fullness := min(1, float64(k.outstanding(now))/float64(max(1, model.Slots)))
	holdTime := float64(model.ServiceTime()) * float64(model.Slots)
	maximum := maxScarcityCost
	if limit := c.startLimit(request); limit > 0 {
		maximum = min(maximum, limit)
	}
	return min(maximum, time.Duration(weight*fullness*holdTime))
}

// scarceOf returns those of the servers that the request being decided should leave to others.
func (c *Core) scarceOf(servers []*Candidate) []*Candidate {
	if len(c.scarce) == 0 {
		return nil
	}
	var scarce []*Candidate
	for _, server := range servers {
		if c.scarce[c.regions[server.Zone]] > 0 {
			scarce = append(scarce, server)
		}
	}
	return scarce
}

// SingleRegionLoad is the load on a service's servers in a region by this entry's requests that no other
// region may serve. The loads of all entries add up.
type SingleRegionLoad struct {
	Service string
	Region  string
	// Utilization is the fraction of the servers that these requests keep busy.
	Utilization float64
}

// SingleRegionLoads returns the single-region load of each service and region that has had any, in no
// particular order.
func (c *Core) SingleRegionLoads(now time.Time) []SingleRegionLoad {
	loads := make([]SingleRegionLoad, 0, len(c.demands))
	for key, demand := range c.demands {
		utilization := demand.Servers(c.elapsed(now)) / float64(max(1, c.regionServers[key.service][key.region]))
		loads = append(loads, SingleRegionLoad{Service: key.service, Region: key.region, Utilization: utilization})
	}
	return loads
}
