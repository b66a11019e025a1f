package dissemination

import "time"

// peerState is why a peer is avoided, and until when.
type peerState struct {
	// unreachable peers are sent nothing.
	unreachable time.Duration
	// distrusted peers are not fetched from while there is another source.
	distrusted time.Duration
}

// zoneState is what the failures of its machines say of a zone.
type zoneState struct {
	failures int
	// until is when the failures are forgotten.
	until time.Duration
}

// cutZoneFailures is how many machines of a zone must fail, with none answering,
// until the whole zone is taken for unreachable.
const cutZoneFailures = 3

// noteBypass draws a conclusion from a question of a grandchild: it has passed
// over its parent, which therefore does not send. What that parent is to pass
// on is offered to its children from here for a while.
func (f *Fetcher) noteBypass(from MachineID, chunk int, now time.Duration) {
	parent, exists := f.options.Plan.Parent(chunk, from)
	if !exists || parent == f.options.Self {
		return
	}
	if grandparent, _ := f.options.Plan.Parent(chunk, parent); grandparent == f.options.Self {
		f.distrust(parent, now)
	}
}

func (f *Fetcher) reached(peer MachineID) {
	delete(f.zones, f.options.Plan.Zone(peer))
	if state, known := f.peers[peer]; known {
		state.unreachable = 0
		f.peers[peer] = state
	}
}

func (f *Fetcher) unreached(peer MachineID, now time.Duration) {
	state := f.peers[peer]
	if now >= state.unreachable {
		zone := f.options.Plan.Zone(peer)
		failed := f.zones[zone]
		failed.failures++
		failed.until = now + f.options.PeerBackoff
		f.zones[zone] = failed
	}
	state.unreachable = now + f.options.PeerBackoff
	f.peers[peer] = state
}

func (f *Fetcher) distrust(peer MachineID, now time.Duration) {
	state := f.peers[peer]
	state.distrusted = now + f.options.PeerBackoff
	f.peers[peer] = state
}

func (f *Fetcher) isUnreachable(peer MachineID, now time.Duration) bool {
	return now < f.peers[peer].unreachable || f.isCutOff(f.options.Plan.Zone(peer), now)
}

// isCutOff reports whether another zone seems unreachable as a whole.
func (f *Fetcher) isCutOff(zone string, now time.Duration) bool {
	state, failing := f.zones[zone]
	return failing && state.failures >= cutZoneFailures && now < state.until && zone != f.options.Plan.Zone(f.options.Self)
}

// parentLost reports whether the machine that is to bring a chunk, which is due,
// can't be reached.
func (f *Fetcher) parentLost(chunk int, now time.Duration) bool {
	if len(f.peers) == 0 || f.chunks[chunk].ordinal > f.originLimit() {
		return false
	}
	parent, exists := f.options.Plan.Parent(chunk, f.options.Self)
	return exists && f.isUnreachable(parent, now)
}

func (f *Fetcher) isDistrusted(peer MachineID, now time.Duration) bool {
	return now < f.peers[peer].distrusted || f.isUnreachable(peer, now)
}
