package soak

import (
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/launch"
)

// addedZone is a zone without machines that changed settings add.
const addedZone = "hall-added"

// process is an entry or agent process that a fault affects.
type process struct {
	role        string
	zone, index int
}

func (m process) name() string { return launch.SiteProcessName(m.role, m.zone, m.index) }

// pickProcess returns the process that a fault affects: an entry if fault.Count is even, otherwise an
// agent.
func (r *run) pickProcess(fault Fault) process {
	if fault.Count%2 == 0 {
		return process{role: site.RoleEntry, zone: fault.Zone, index: fault.Index % r.site.Options.Entries}
	}
	return process{role: site.RoleAgent, zone: fault.Zone, index: fault.Index % r.site.Options.ModelServers}
}

// reload replaces a process's settings file and has it reread, unless the process is stopped or
// about to be started.
func (r *run) reload(process process, settings []byte) error {
	if r.busy[process.name()] {
		return nil
	}
	now := time.Now()
	r.record.Reloads = append(r.record.Reloads, Interval{From: now, To: now.Add(r.record.ConfigurationApply), Name: process.name()})
	return r.fleet.Reload(process.name(), settings)
}

// reloadFor gives a process other settings for a time and then restores its own.
func (r *run) reloadFor(process process, settings []byte, duration time.Duration) error {
	r.schedule(duration, func() error {
		return r.reload(process, r.site.Settings(process.role, process.zone, process.index))
	})
	return r.reload(process, settings)
}

// changeSettings adds a zone to a settings file and changes the retry budget.
func (r *run) changeSettings(fault Fault) error {
	process := r.pickProcess(fault)
	changed := r.site.ChangedSettings(process.role, process.zone, process.index, func(settings map[string]any) {
		settings["zones"].(map[string]any)[addedZone] = site.RegionName(fault.Count % r.site.Options.Zones)
		settings["bounds"].(map[string]any)["budgetSlack"] = r.site.Options.BudgetSlack + fault.Count
	})
	return r.reloadFor(process, changed, fault.Duration)
}

// writeInvalidSettings writes a settings file that the process must reject.
func (r *run) writeInvalidSettings(fault Fault) error {
	process := r.pickProcess(fault)
	invalid := r.site.Settings(process.role, process.zone, process.index)
	switch fault.Index % 3 {
	case 0:
		invalid = invalid[:len(invalid)/2]
	case 1:
		invalid = r.site.ChangedSettings(process.role, process.zone, process.index, func(settings map[string]any) {
			settings["bounds"].(map[string]any)["drainMs"] = 0
		})
	default:
		invalid = r.site.ChangedSettings(process.role, process.zone, process.index, func(settings map[string]any) { settings["zones"] = "none" })
	}
	return r.reloadFor(process, invalid, fault.Duration)
}
