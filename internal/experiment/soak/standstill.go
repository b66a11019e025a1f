package soak

import (
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/launch"
)

// Times of faults in which something happens while a process stands still.
const (
	// unmarkedLead is how long answers of a server come without a marked end before an entry is frozen, and
	// frozenCrashDelay the time from then to the crash of the server.
	unmarkedLead     = 600 * time.Millisecond
	frozenCrashDelay = 150 * time.Millisecond
	// newInstanceTime is how long the new instance fails health checks.
	newInstanceTime = 4 * time.Second
	// orderPause is longer than pieces may have been corrupt when they are loaded.
	orderPause = 3500 * time.Millisecond
	// lateOrderTime is how long the next order of a server is taken late: the time until a version is ordered, and the pause.
	lateOrderTime = 12 * time.Second
)

// newInstanceChecks are the ways in which the instance that takes a crashed server's place treats health checks.
var newInstanceChecks = []site.HealthCheckFailure{site.HealthChecksAnswered, site.HealthChecksRejected, site.HealthChecksHang, site.HealthChecksReset}

// crashBesideFrozenEntry has a server crash in the middle of answers without a marked end while an entry is frozen. When the
// entry resumes, another instance has the server's address, which may be unable to say who it is.
func (r *run) crashBesideFrozenEntry(fault Fault) error {
	zone, entry, machine := fault.Zone, fault.Index%r.site.Options.Entries, fault.Index%r.site.Options.ModelServers
	server := r.site.Models[r.site.Options.ModelIP(zone, machine)]
	if r.busy[server.ID()] {
		return nil
	}
	r.busy[server.ID()] = true
	server.SetFaults(site.Faults{UnmarkedEnds: true})
	r.recordDisturbance(unmarkedLead+frozenCrashDelay+newInstanceTime, server.ID())
	r.schedule(unmarkedLead, func() error {
		return r.freeze(launch.SiteProcessName(site.RoleEntry, zone, entry), frozenCrashDelay+fault.Duration)
	})
	r.schedule(unmarkedLead+frozenCrashDelay, func() error {
		if r.site.Models[r.site.Options.ModelIP(zone, machine)] != server {
			return nil
		}
		r.recordBreakOff(server, slack)
		if err := r.site.RestartModelStillListed(zone, machine); err != nil {
			return err
		}
		fresh := r.site.Models[r.site.Options.ModelIP(zone, machine)]
		r.setServerFaultsFor(fresh, site.Faults{HealthChecks: newInstanceChecks[fault.Count%len(newInstanceChecks)]}, newInstanceTime)
		return nil
	})
	return nil
}

// takeOrderLate announces a version, and has a server pause when its order comes. Staged pieces turn corrupt meanwhile.
func (r *run) takeOrderLate(server *site.Server, fault Fault) {
	r.recordDisturbance(lateOrderTime, server.ID())
	server.SetFaults(site.Faults{PauseAtOrder: orderPause, CorruptAtOrder: fault.Count})
	r.schedule(lateOrderTime, func() error { server.SetFaults(site.Faults{}); return nil })
	r.announceVersion(time.Now())
}
