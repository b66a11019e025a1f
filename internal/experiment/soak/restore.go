package soak

import (
	"fmt"
	"net/http"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/launch"
)

// Fixed times of restores of the store, the same for every seed.
const (
	// changeDelay is how long after a restore the operator publishes a route and a server announces that it
	// leaves, and rewriteDelay how long after it what was lost is written again.
	changeDelay  = 300 * time.Millisecond
	rewriteDelay = 900 * time.Millisecond
	// restoreOutage is how long the store is down before a restore, if it is.
	restoreOutage = 1500 * time.Millisecond
	// lostChangeTime is how long before a restore a change is published that the store loses: long
	// enough for every entry to hold it.
	lostChangeTime = 250 * time.Millisecond
	// probeRounds is how often the new route is probed, every probePeriod from when it must be in force.
	probeRounds  = 3
	probePeriod  = 700 * time.Millisecond
	probeTimeout = 3 * time.Second
)

// restoreName names the disturbance of a restore. The guarantees after a restore are checked despite it.
const restoreName = "restore of the store"

// RouteProbe is a request to one entry on a route that was published after a restore of the store.
type RouteProbe struct {
	Entry     string
	Published time.Time
	At        time.Time
	Status    int
}

// restoreStore has the store come back from a copy of a given age, after an outage if that is not zero. A
// configuration is published right before, and lost. Shortly after the restore a route is published and a server announces that it leaves; then what was lost is written again.
func (r *run) restoreStore(fault Fault, server *site.Server, outage time.Duration) {
	if r.busy[restoreName] {
		return
	}
	r.busy[restoreName] = true
	store := r.site.Store
	store.SetQuietHeartbeats(true)
	// The store loses this change: the revision that entries hold of the configuration is then ahead.
	r.site.Configure(nil)
	if outage > 0 {
		store.SetDown(true)
	}
	r.recordDisturbance(max(outage, lostChangeTime)+rewriteDelay, restoreName)
	r.schedule(max(outage, lostChangeTime), func() error {
		lost := store.Restore(outage + fault.Duration)
		r.schedule(rewriteDelay, func() error { store.Rewrite(lost); r.busy[restoreName] = false; return nil })
		r.schedule(changeDelay, func() error {
			r.publishProbedRoute()
			first := len(r.record.Departures)
			r.announceLeaving(fault.Zone, fault.Index%r.site.Options.ModelServers, server)
			for index := range r.record.Departures[first:] {
				r.record.Departures[first+index].AfterRestore = true
			}
			return nil
		})
		if outage > 0 {
			store.SetDown(false)
		}
		return nil
	})
}

// publishProbedRoute publishes a route and probes it at every entry once it must be in force.
func (r *run) publishProbedRoute() {
	r.probedRoutes++
	prefix := fmt.Sprintf("/added-%d/", r.probedRoutes)
	published := time.Now()
	r.site.AddRoute(prefix)
	for round := range probeRounds {
		r.schedule(r.record.ConfigurationApply+slack+time.Duration(round)*probePeriod, func() error {
			r.probeRoute(prefix, published)
			return nil
		})
	}
}

// probeRoute sends a request on a route to every entry that no fault has stopped.
func (r *run) probeRoute(prefix string, published time.Time) {
	client := http.Client{Timeout: probeTimeout}
	for zone := range r.site.Options.Zones {
		for entry := range r.site.Options.Entries {
			name := launch.SiteProcessName(site.RoleEntry, zone, entry)
			if r.busy[name] {
				continue
			}
			id := fmt.Sprintf("probe-%s-%d", name, time.Now().UnixNano())
			request, err := r.site.NewRequest(zone, entry, http.MethodGet, prefix, id, "", 0)
			if err != nil {
				continue
			}
			probe := RouteProbe{Entry: name, Published: published, At: time.Now()}
			if response, err := client.Do(request); err == nil {
				probe.Status = response.StatusCode
				_ = response.Body.Close()
			}
			r.record.RouteProbes = append(r.record.RouteProbes, probe)
		}
	}
}

// checkProbes checks that a route that was published after a restore is in force at every entry, unless
// something else was disturbed.
func (r Record) checkProbes() []Violation {
	var found []Violation
	for _, probe := range r.RouteProbes {
		if probe.Status == http.StatusNotFound && r.nothingElseDisturbed(probe.Published, probe.At) {
			found = append(found, Violation{
				Guarantee: ChangeAfterRestore, At: probe.At,
				Detail: fmt.Sprintf("%s does not know a route %s after it was published", probe.Entry, probe.At.Sub(probe.Published)),
			})
		}
	}
	return found
}

// nothingElseDisturbed reports whether nothing was disturbed from recoveryMargin before one time to another,
// but for a restore of the store.
func (r Record) nothingElseDisturbed(from, to time.Time) bool {
	for _, interval := range r.Disturbances {
		if interval.Name != restoreName && interval.overlaps(from, to) {
			return false
		}
	}
	return true
}
