package forward

import (
	"cmp"
	"slices"
	"time"

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
	views := make([]ServerView, 0, len(t.byID))
	for id, known := range t.byID {
		views = append(views, ServerView{
			ID: id, Service: known.server.Service, Address: known.address, Zone: known.zone,
			Draining: known.server.Draining, InFlight: known.inFlight, Outstanding: known.outstanding(now), Version: known.version,
			EjectedFor: max(0, known.ejectedTill.Sub(now).Seconds()), Status: known.status, StatusAge: known.statusAge(now).Seconds(),
			MeanMillisecond: known.meanMilliseconds,
			ColdFor:         max(0, known.coldUntil().Sub(now).Seconds()),
			Evacuated:       t.evacuated(known),
		})
	}
	slices.SortFunc(views, func(a, b ServerView) int { return cmp.Compare(a.ID, b.ID) })
	return views
}
