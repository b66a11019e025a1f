package dissemination

import "time"

// peerState holds the times at which the restrictions on a peer end.
type peerState struct {
	// Nothing is sent to the peer before unreachableUntil.
	unreachableUntil time.Duration
	// Before avoidedUntil, chunks are fetched from the peer only if there is no other source.
	avoidedUntil time.Duration
}

// zoneState counts the failures of a zone's machines.
type zoneState struct {
	failures int
	// until is when the failures expire.
	until time.Duration
}

// unreachableZoneFailures is how many machines of a zone must fail, with no other
// answering, until the whole zone counts as unreachable.
const unreachableZoneFailures = 3

// recordBypass handles a query from a grandchild. It means that the grandchild's
// parent does not forward chunks, so for a while this machine offers chunks to that
// parent's children directly.
func (f *Fetcher) recordBypass(from MachineID, chunk int, now time.Duration) {
	parent, exists := f.options.Plan.Parent(chunk, from)
	if !exists || parent == f.options.Self {
		return
	}
	if grandparent, _ := f.options.Plan.Parent(chunk, parent); grandparent == f.options.Self {
		f.avoid(parent, now)
	}
}

func (f *Fetcher) recordReachable(peer MachineID) {
	delete(f.zones, f.options.Plan.Zone(peer))
	if state, known := f.peers[peer]; known {
		state.unreachableUntil = 0
		f.peers[peer] = state
	}
}

func (f *Fetcher) recordUnreachable(peer MachineID, now time.Duration) {
	state := f.peers[peer]
	if now >= state.unreachableUntil {
		zone := f.options.Plan.Zone(peer)
		failing := f.zones[zone]
		failing.failures++
		failing.until = now + f.options.PeerBackoff
		f.zones[zone] = failing
	}
	state.unreachableUntil = now + f.options.PeerBackoff
	f.peers[peer] = state
}

func (f *Fetcher) avoid(peer MachineID, now time.Duration) {
	state := f.peers[peer]
	state.avoidedUntil = now + f.options.PeerBackoff
	f.peers[peer] = state
}

func (f *Fetcher) isUnreachable(peer MachineID, now time.Duration) bool {
	return now < f.peers[peer].unreachableUntil || f.isZoneUnreachable(f.options.Plan.Zone(peer), now)
}

// isZoneUnreachable reports whether another zone seems unreachable as a whole.
func (f *Fetcher) isZoneUnreachable(zone string, now time.Duration) bool {
	state, failing := f.zones[zone]
	return failing && state.failures >= unreachableZoneFailures && now < state.until && zone != f.options.Plan.Zone(f.options.Self)
}

// parentUnreachable reports whether a chunk is due and the parent that should offer
// it is unreachable.
func (f *Fetcher) parentUnreachable(chunk int, now time.Duration) bool {
	if len(f.peers) == 0 || f.chunks[chunk].ordinal > f.originLimit() {
		return false
	}
	parent, exists := f.options.Plan.Parent(chunk, f.options.Self)
	return exists && f.isUnreachable(parent, now)
}

func (f *Fetcher) isAvoided(peer MachineID, now time.Duration) bool {
	return now < f.peers[peer].avoidedUntil || f.isUnreachable(peer, now)
}
