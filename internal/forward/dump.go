package forward

import (
	"cmp"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/internal/fleet"
)

// ServerView is the entry's state of one server, with ages.
type ServerView struct {
	ID               string              `json:"id"`
	Service          string              `json:"service"`
	Address          string              `json:"address"`
	Zone             string              `json:"zone"`
	Draining         bool                `json:"draining"`
	InFlight         int                 `json:"in_flight"`
	Outstanding      int                 `json:"outstanding"`
	Version          uint64              `json:"version"`
	EjectedFor       float64             `json:"ejected_for_seconds"`
	Health           HealthView          `json:"health"`
	Status           fleet.MachineStatus `json:"status"`
	StatusAge        float64             `json:"status_age_seconds"`
	MeanMilliseconds float64             `json:"mean_milliseconds"`
	// ColdFor is how much longer the server counts as cold. Evacuated servers get no new requests.
	ColdFor   float64 `json:"cold_for_seconds"`
	Evacuated bool    `json:"evacuated"`
	// Limit is the rate limit that the server names in its answers; nil if it names none.
	Limit *LimitView `json:"limit,omitempty"`
	// BackoffRemaining is how much longer the server wants no requests from this entry.
	// AnnouncedLeaving is set once an answer has announced that the server is about to stop.
	BackoffRemaining float64 `json:"rest_seconds"`
	AnnouncedLeaving bool    `json:"said_leaving"`
}

// LimitView is a rate limit that a server has named.
type LimitView struct {
	PerSecond float64 `json:"per_second"`
	Age       float64 `json:"age_seconds"`
	// Share is the number of requests this entry may send in four seconds.
	Share int `json:"share"`
}

// HealthView is the entry's health record of one server.
type HealthView struct {
	State string `json:"state"`
	// Evidence was collected by this entry, PeerEvidence by the zone's other entries.
	Evidence     float64 `json:"evidence"`
	PeerEvidence float64 `json:"hinted"`
	// Round counts the ejections that have not expired. Reporter is the entry that reported the
	// last.
	Round    int    `json:"round"`
	Reporter string `json:"by"`
}

func healthView(v health.View) HealthView {
	return HealthView{State: v.State.String(), Evidence: v.Evidence, PeerEvidence: v.PeerEvidence, Round: v.Round, Reporter: v.Reporter}
}

// Servers lists the servers in view, ordered by ID.
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
			EjectedFor: one.Health.Remaining.Seconds(), Health: healthView(one.Health), StatusAge: one.ReportAge.Seconds(), MeanMilliseconds: one.MeanMilliseconds,
			ColdFor: one.ColdFor.Seconds(), Evacuated: one.Evacuated, BackoffRemaining: one.BackoffRemaining.Seconds(), AnnouncedLeaving: one.AnnouncedLeaving,
		}
		if one.Limit.InForce {
			view.Limit = &LimitView{PerSecond: one.Limit.PerSecond, Age: one.Limit.SinceNamed.Seconds(), Share: one.Limit.Share}
		}
		if one.ReportAge != dispatch.NoReport {
			view.Status = t.statuses[server.Address]
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b ServerView) int { return cmp.Compare(a.ID, b.ID) })
	return views
}
