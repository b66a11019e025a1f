package soak

import (
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Times of evacuations that are not drawn.
const (
	// minEvacuationTime is the least that an evacuation lasts: the platform's 5 s, after which
	// nothing may arrive, and what was drawn comes on top of it.
	minEvacuationTime = 5 * time.Second
	// evacuateAgainDelay is when a zone is evacuated anew after that was taken back, less than servers
	// take to say that they have become cold.
	evacuateAgainDelay = 200 * time.Millisecond
)

// evacuate asks that a zone's servers get nothing new for a time, after which they are cold.
func (r *run) evacuate(zone int, lasts time.Duration) {
	r.evacuateThen(zone, lasts, func() {})
}

// evacuateTwice takes an evacuation back after a time and asks for it again.
func (r *run) evacuateTwice(zone int, first, second time.Duration) {
	r.evacuateThen(zone, first, func() {
		r.schedule(evacuateAgainDelay, func() error { r.evacuate(zone, second); return nil })
	})
}

func (r *run) evacuateThen(zone int, lasts time.Duration, then func()) {
	name := site.ZoneName(zone)
	if r.busy[name] {
		return
	}
	r.busy[name] = true
	r.site.Evacuate(name)
	index := len(r.record.Evacuations)
	r.record.Evacuations = append(r.record.Evacuations, Evacuation{Zone: name, Requested: time.Now()})
	r.schedule(lasts, func() error {
		r.busy[name] = false
		r.record.Evacuations[index].Ended = time.Now()
		r.site.EndEvacuation(name)
		then()
		return nil
	})
}

// turnZoneCold makes the servers of a zone cold while they are in use.
func (r *run) turnZoneCold(zone int) {
	for index := range r.site.Options.ModelServers {
		r.site.Models[r.site.Options.ModelIP(zone, index)].SetCold(true)
	}
}

// restartCold crashes a server and starts it anew as a cold one.
func (r *run) restartCold(zone, index int, server *site.Server) error {
	r.recordDisturbance(serverFaultPeriod, server.ID())
	if err := r.site.RestartModel(zone, index); err != nil {
		return err
	}
	r.site.Models[r.site.Options.ModelIP(zone, index)].SetCold(true)
	return nil
}
