package soak

import (
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Fixed times of evacuations, the same for every seed.
const (
	// minEvacuationTime is the minimum duration of an evacuation: the platform's 5 s, after which
	// nothing may arrive. The fault's duration is added to it.
	minEvacuationTime = 5 * time.Second
	// evacuateAgainDelay is the time between the end of an evacuation and the next one of the same
	// zone. It is shorter than servers take to announce that they have become cold.
	evacuateAgainDelay = 200 * time.Millisecond
)

// evacuate requests that a zone's servers receive nothing new for a time, after which they are cold.
func (r *run) evacuate(zone int, duration time.Duration) {
	r.evacuateThen(zone, duration, func() {})
}

// evacuateTwice ends an evacuation after a time and requests it again.
func (r *run) evacuateTwice(zone int, first, second time.Duration) {
	r.evacuateThen(zone, first, func() {
		r.schedule(evacuateAgainDelay, func() error { r.evacuate(zone, second); return nil })
	})
}

func (r *run) evacuateThen(zone int, duration time.Duration, then func()) {
	name := site.ZoneName(zone)
	if r.busy[name] {
		return
	}
	r.busy[name] = true
	r.site.Evacuate(name)
	index := len(r.record.Evacuations)
	r.record.Evacuations = append(r.record.Evacuations, Evacuation{Zone: name, Requested: time.Now()})
	r.schedule(duration, func() error {
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

// restartCold crashes a server and restarts it cold.
func (r *run) restartCold(zone, index int, server *site.Server) error {
	r.recordDisturbance(serverFaultPeriod, server.ID())
	r.recordBreakOff(server, slack)
	if err := r.site.RestartModel(zone, index); err != nil {
		return err
	}
	r.site.Models[r.site.Options.ModelIP(zone, index)].SetCold(true)
	return nil
}
