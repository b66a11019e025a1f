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

// Data residency: a request is sent only to servers in the regions that its route and its
// tenant allow; coordination/dispatch holds every choice to that.
//
// A request is bound by the configuration that it was admitted under and by the newest one
// known, by both: an attempt that follows a narrowed configuration must not go by the older
// one, and one that follows a widened configuration was accepted under the older's promise.

// errNarrowed ends an attempt whose server is no longer in an allowed region.
var errNarrowed = errors.New("a newer configuration does not allow the server's region")

// bindResidency sets in which regions the next attempt may be served.
func (w *work) bindResidency() { w.wanted.Residency = w.targets.residencyOf(w.request) }

// residencyOf is what binds a request now.
func (t *targets) residencyOf(request *Request) fleet.Residency {
	newest := t.currentView().Configuration
	admitted := request.Configuration
	if newest == nil || newest == admitted || (admitted != nil && newest.Version < admitted.Version) {
		return request.Residency
	}
	path, _, _ := strings.Cut(request.Target, "?")
	return request.Residency.And(newest.ResidencyOf(request.Host, path, request.Call.Key))
}

// stillAllowed is asked right before a request is written: a connection may have been long
// in the making, and a configuration may have narrowed the regions meanwhile.
func (f *Forwarder) stillAllowed(request *Request, chosen *target) bool {
	return f.targets.allowed(chosen, f.targets.residencyOf(request))
}

// zoneRegions maps the fleet's zones to their regions. It is replaced as a whole when settings
// are read again, never changed.
type zoneRegions map[string]string

// zoneRegions is the map in force.
func (t *targets) zoneRegions() zoneRegions {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.Regions()
}

// has reports whether a zone of the fleet is in a region of that name.
func (z zoneRegions) has(name string) bool {
	for _, region := range z {
		if region == name && name != "" {
			return true
		}
	}
	return false
}

// boundLoads tells what bound requests of this entry ask of regions.
func (t *targets) boundLoads() []dispatch.SingleRegionLoad {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.SingleRegionLoads(time.Now())
}

// regionsField tells the log which regions are allowed; it is left out where all are. An
// empty one means that the lists which bind the request contradict each other.
func regionsField(residency fleet.Residency) zap.Field {
	if !residency.Restrict() {
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

// mostNamed is how many routes and tenants a log line names; a configuration may have a
// thousand with the same fault.
const mostNamed = 5

// doubt is a fault with the region that it concerns.
type doubt struct {
	fault  string
	region string
}

// checkRegions logs what can't be meant in a configuration's lists of allowed regions, one
// line for each fault and region, and counts the routes and tenants that no server may serve.
func (f *Forwarder) checkRegions(configuration *fleet.Configuration) {
	doubts, zones := map[doubt][]string{}, f.targets.zoneRegions()
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		zones.doubtsOf(route.AllowedRegions, "route "+route.Name, doubts)
	}
	for i := range configuration.Tenants {
		tenant := &configuration.Tenants[i]
		zones.doubtsOf(tenant.AllowedRegions, "tenant "+tenant.Name, doubts)
	}
	unserved := 0
	for one, owners := range doubts {
		if one.fault == faultNoRegion {
			unserved += len(owners)
		}
		f.log.Log(logging.RegionsInvalid, zap.String("fault", one.fault), zap.String("region", one.region),
			zap.Strings("owners", owners[:min(mostNamed, len(owners))]), zap.Int("owner_count", len(owners)),
			zap.Uint64("configuration", configuration.Version))
	}
	f.metrics.unservedOwners.Set(float64(unserved))
}

// doubtsOf adds the faults of one list under the name of its owner.
func (z zoneRegions) doubtsOf(regions fleet.AllowedRegions, owner string, doubts map[doubt][]string) {
	note := func(wrong, region string) {
		one := doubt{fault: wrong, region: region}
		doubts[one] = append(doubts[one], owner)
	}
	for i, region := range regions {
		switch {
		case slices.Contains(regions[:i], region):
			note(faultRepeatedRegion, region)
		case !z.has(region):
			note(faultUnknownRegion, region)
		}
	}
	if regions.Restrict() && !(fleet.Residency{regions}).AnyOf(z) {
		note(faultNoRegion, strings.Join(regions, " "))
	}
}
