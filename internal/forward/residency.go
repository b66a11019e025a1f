package forward

import (
	"errors"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// Data residency: a request is sent only to servers in the regions that its route and its tenant
// allow. Package coordination/dispatch enforces that for every choice.
//
// A request is restricted by both the configuration that it was admitted under and the newest one
// known: an attempt that follows a narrowed configuration must not use the older one, and a request
// that was accepted under the older configuration keeps its restriction when that is widened.

// errRegionDisallowed ends an attempt whose server is no longer in an allowed region.
var errRegionDisallowed = errors.New("a newer configuration does not allow the server's region")

// bindResidency sets in which regions the next attempt may be served.
func (w *forwarding) bindResidency() { w.criteria.Residency = w.targets.residencyOf(w.request) }

// residencyOf returns the current restriction of a request.
func (t *targets) residencyOf(request *Request) fleet.Residency {
	newest := t.currentView().Configuration
	admitted := request.Configuration
	if newest == nil || newest == admitted || (admitted != nil && newest.Version < admitted.Version) {
		return request.Residency
	}
	path, _, _ := strings.Cut(request.Target, "?")
	return request.Residency.Merge(newest.ResidencyOf(request.Host, path, request.Call.Key))
}

// stillAllowed is checked right before a request is written: connecting may have taken long, and a
// new configuration may have narrowed the regions in the meantime.
func (f *Forwarder) stillAllowed(request *Request, chosen *target) bool {
	return f.targets.allowed(chosen, f.targets.residencyOf(request))
}

// zoneRegions maps the fleet's zones to their regions. It is never changed; a reload of the
// settings replaces the whole map.
type zoneRegions map[string]string

// zoneRegions returns the current map.
func (t *targets) zoneRegions() zoneRegions {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.Regions()
}

// hasRegion reports whether a zone of the fleet is in a region of that name.
func (z zoneRegions) hasRegion(name string) bool {
	for _, region := range z {
		if region == name && name != "" {
			return true
		}
	}
	return false
}

// boundLoads returns the load that this entry's region-bound requests put on regions.
func (t *targets) boundLoads() []dispatch.SingleRegionLoad {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.SingleRegionLoads(time.Now())
}

// regionsField returns the log field of the allowed regions. It is omitted if all are allowed. An
// empty list means that the lists which restrict the request contradict each other.
func regionsField(residency fleet.Residency) zap.Field {
	if !residency.Restricts() {
		return zap.Skip()
	}
	return zap.Strings("allowed_regions", residency.Regions())
}

// Faults of a list of allowed regions.
const (
	faultUnknownRegion  = "no zone has the region"
	faultRepeatedRegion = "the region is named twice"
	faultNoRegion       = "no zone has any of the regions"
)

// maxLoggedOwners is how many routes and tenants a log line names. A configuration may have a
// thousand with the same fault.
const maxLoggedOwners = 5

// regionFault is a fault with the region that it concerns.
type regionFault struct {
	fault  string
	region string
}

// checkRegions logs the faults in a configuration's lists of allowed regions, one line for each
// fault and region, and counts the routes and tenants that no server may serve.
func (f *Forwarder) checkRegions(configuration *fleet.Configuration) {
	faults, zones := map[regionFault][]string{}, f.targets.zoneRegions()
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		zones.findFaults(route.AllowedRegions, "route "+route.Name, faults)
	}
	for i := range configuration.Tenants {
		tenant := &configuration.Tenants[i]
		zones.findFaults(tenant.AllowedRegions, "tenant "+tenant.Name, faults)
	}
	unserved := 0
	for one, owners := range faults {
		if one.fault == faultNoRegion {
			unserved += len(owners)
		}
		f.log.Log(logging.RegionsInvalid, zap.String("fault", one.fault), zap.String("region", one.region),
			zap.Strings("owners", owners[:min(maxLoggedOwners, len(owners))]), zap.Int("owner_count", len(owners)),
			zap.Uint64("configuration", configuration.Version))
	}
	f.metrics.unservedOwners.Set(float64(unserved))
}

// findFaults adds the faults of one list under the name of its owner.
func (z zoneRegions) findFaults(regions fleet.AllowedRegions, owner string, faults map[regionFault][]string) {
	add := func(kind, region string) {
		one := regionFault{fault: kind, region: region}
		faults[one] = append(faults[one], owner)
	}
	for i, region := range regions {
		switch {
		case slices.Contains(regions[:i], region):
			add(faultRepeatedRegion, region)
		case !z.hasRegion(region):
			add(faultUnknownRegion, region)
		}
	}
	if regions.Restricts() && !(fleet.Residency{regions}).AllowsAny(z) {
		add(faultNoRegion, strings.Join(regions, " "))
	}
}
