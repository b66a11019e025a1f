package forward

import (
	"cmp"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/fleet"
)

// ServerView is what the entry believes of one server, with ages.
type ServerView struct {
	ID              string              `json:"id"`
	Service         string              `json:"service"`
	Address         string              `json:"address"`
	Zone            string              `json:"zone"`
	Draining        bool                `json:"draining"`
	InFlight        int                 `json:"in_flight"`
	Outstanding     int                 `json:"outstanding"`
	Version         uint64              `json:"version"`
	EjectedFor      float64             `json:"ejected_for_seconds"`
	Status          fleet.MachineStatus `json:"status"`
	StatusAge       float64             `json:"status_age_seconds"`
	MeanMillisecond float64             `json:"mean_milliseconds"`
	// ColdFor is how much longer the server counts as cold; Evacuated servers are sent
	// nothing new.
	ColdFor   float64 `json:"cold_for_seconds"`
	Evacuated bool    `json:"evacuated"`
}

// Servers lists the servers in view in order of ID.
func (f *Forwarder) Servers() []ServerView {
	t := f.targets
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	described := t.core.Describe(now)
	views := make([]ServerView, 0, len(described))
	for _, one := range described {
		server := one.Server
		view := ServerView{
			ID: server.ID, Service: server.Service, Address: server.Address, Zone: server.Zone,
			Draining: server.Draining, InFlight: one.InFlight, Outstanding: one.Outstanding, Version: one.Version,
			EjectedFor: one.EjectedFor.Seconds(), StatusAge: one.WordAge.Seconds(), MeanMillisecond: one.MeanMilliseconds,
			ColdFor: one.ColdFor.Seconds(), Evacuated: one.Evacuated,
		}
		if one.WordAge != dispatch.NoWord {
			view.Status = t.told[server.Address]
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b ServerView) int { return cmp.Compare(a.ID, b.ID) })
	return views
}
