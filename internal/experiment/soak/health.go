package soak

import (
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Timing of servers whose reported health is false or flaps.
const (
	// minFalseHealthTime is the minimum time for which a server's reported health is false. It is
	// long enough for an ejection to end and a trial request to follow. The fault's duration is added to it.
	minFalseHealthTime = 2 * time.Second
	// A flapping server is down and up alternately, for flapPeriod each.
	flapPeriod = 400 * time.Millisecond
	flapTurns  = 8
)

// pickServer returns the server that a fault affects: a plain one if fault.Count is even, otherwise a
// model server.
func (r *run) pickServer(fault Fault) *site.Server {
	options := r.site.Options
	if fault.Count%2 == 0 {
		return r.site.Plain[options.PlainIP(fault.Zone, fault.Index%options.PlainServers)]
	}
	return r.site.Models[options.ModelIP(fault.Zone, fault.Index%options.ModelServers)]
}

// setServerFaultsFor sets faults at a server for a time. With site.FailWithHangs the server may hold
// requests that it accepted in that time until their timeout.
func (r *run) setServerFaultsFor(server *site.Server, faults site.Faults, duration time.Duration) {
	server.SetFaults(faults)
	if faults.CutCount > 0 || faults.LoseAnswers > 0 || faults.Failure == site.FailWithResets {
		r.recordBreakOff(server, duration)
	}
	held := time.Duration(0)
	if faults.Failure == site.FailWithHangs {
		held = time.Duration(r.site.Options.TimeoutMs) * time.Millisecond
	}
	r.recordDisturbance(duration+held, server.ID())
	r.schedule(duration, func() error { server.SetFaults(site.Faults{}); return nil })
}

// flap has a server alternate between resetting every connection and serving.
func (r *run) flap(server *site.Server) {
	r.recordDisturbance(flapTurns*flapPeriod, server.ID())
	r.recordBreakOff(server, flapTurns*flapPeriod)
	for turn := range flapTurns {
		faults := site.Faults{}
		if turn%2 == 0 {
			faults.Failure = site.FailWithResets
		}
		r.schedule(time.Duration(turn)*flapPeriod, func() error { server.SetFaults(faults); return nil })
	}
}
