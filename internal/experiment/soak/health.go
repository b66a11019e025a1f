package soak

import (
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Times of servers whose health lies or flaps.
const (
	// minFalseHealthTime is the least that a server lies: so long that its ejection ends and it is tried
	// again, and what was drawn comes on top of it.
	minFalseHealthTime = 2 * time.Second
	// A flapping server is down and up by turns of flapPeriod.
	flapPeriod = 400 * time.Millisecond
	flapTurns  = 8
)

// pickServer picks a server of either service.
func (r *run) pickServer(fault Fault) *site.Server {
	options := r.site.Options
	if fault.Count%2 == 0 {
		return r.site.Plain[options.PlainIP(fault.Zone, fault.Index%options.PlainServers)]
	}
	return r.site.Models[options.ModelIP(fault.Zone, fault.Index%options.ModelServers)]
}

// setServerFaultsFor gives a server faults for a time. Requests that it took while it had them may be
// held by it until their time is over.
func (r *run) setServerFaultsFor(server *site.Server, faults site.Faults, lasts time.Duration) {
	server.SetFaults(faults)
	held := time.Duration(0)
	if faults.Lying == site.LyingHangs {
		held = time.Duration(r.site.Options.TimeoutMs) * time.Millisecond
	}
	r.recordDisturbance(lasts+held, server.ID())
	r.schedule(lasts, func() error { server.SetFaults(site.Faults{}); return nil })
}

// flap has a server reset every connection, and serve, by turns.
func (r *run) flap(server *site.Server) {
	r.recordDisturbance(flapTurns*flapPeriod, server.ID())
	for turn := range flapTurns {
		faults := site.Faults{}
		if turn%2 == 0 {
			faults.Lying = site.LyingResets
		}
		r.schedule(time.Duration(turn)*flapPeriod, func() error { server.SetFaults(faults); return nil })
	}
}
