package liveness

import (
	"maps"
	"slices"
	"time"
)

// maxPendingProbes limits the pending probes of one peer. A further probe replaces the oldest:
// probes are lost with the connection that carried them, and a measurement that waited for all of
// them would never end. With one probe per 150 ms this covers ten seconds, more than messages wait
// on the slowest links.
const maxPendingProbes = 64

// RoundTrips measures the round-trip times of probes to a set of peers. They show queueing on the
// own link, which no other metric shows.
type RoundTrips struct {
	period time.Duration
	next   uint64
	peers  map[string]*peerRoundTrip
}

// peerRoundTrip is the state of one peer.
type peerRoundTrip struct {
	// sent holds when each pending probe was sent.
	sent map[uint64]time.Duration
	// lastProbe is when the newest probe was sent; rtt is the last measured time.
	lastProbe time.Duration
	rtt       time.Duration
	measured  bool
}

// NewRoundTrips returns a measurement that probes each peer once per period.
func NewRoundTrips(period time.Duration) *RoundTrips {
	return &RoundTrips{period: period, peers: map[string]*peerRoundTrip{}}
}

// NextProbe returns the number of the probe to send to a peer now; 0 if none is due.
func (r *RoundTrips) NextProbe(peer string, now time.Duration) uint64 {
	trip := r.peers[peer]
	if trip == nil {
		trip = &peerRoundTrip{sent: map[uint64]time.Duration{}, lastProbe: now - r.period}
		r.peers[peer] = trip
	}
	if now-trip.lastProbe < r.period {
		return 0
	}
	trip.dropOldest()
	r.next++
	trip.sent[r.next], trip.lastProbe = now, now
	return r.next
}

// dropOldest makes room for one more pending probe.
func (p *peerRoundTrip) dropOldest() {
	if len(p.sent) < maxPendingProbes {
		return
	}
	delete(p.sent, slices.Min(slices.Collect(maps.Keys(p.sent))))
}

// RecordReply records the reply to a probe. Earlier probes are no longer pending.
func (r *RoundTrips) RecordReply(peer string, probe uint64, now time.Duration) {
	trip := r.peers[peer]
	if trip == nil {
		return
	}
	at, pending := trip.sent[probe]
	if !pending {
		return
	}
	trip.rtt, trip.measured = now-at, true
	for earlier := range trip.sent {
		if earlier <= probe {
			delete(trip.sent, earlier)
		}
	}
}

// RetainOnly removes all peers except the given ones.
func (r *RoundTrips) RetainOnly(peers map[string]bool) {
	for peer := range r.peers {
		if !peers[peer] {
			delete(r.peers, peer)
		}
	}
}

// Min returns the round-trip time of the fastest peer: the last measured time, or the age of its
// oldest pending probe if that is longer. A slow peer does not affect it, a slow own link does. It
// is 0 while nothing was measured.
func (r *RoundTrips) Min(now time.Duration) time.Duration {
	lowest, found := time.Duration(0), false
	for _, trip := range r.peers {
		if !trip.measured {
			continue
		}
		rtt := trip.rtt
		for _, at := range trip.sent {
			rtt = max(rtt, now-at)
		}
		if !found || rtt < lowest {
			lowest, found = rtt, true
		}
	}
	return lowest
}
