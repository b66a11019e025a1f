package liveness

import (
	"maps"
	"slices"
	"time"
)

// maximumProbes bounds the probes of one peer that are waited for. A further one takes the place
// of the oldest: probes are lost with the connection that carried them, and a measurement that
// waited for them would never end. At a probe each 150 ms it is ten seconds' worth, more than
// messages wait on the narrowest links.
const maximumProbes = 64

// RoundTrips measures how long probes to a set of peers take to be answered, which
// shows queues on the own link that no other figure shows.
type RoundTrips struct {
	period time.Duration
	next   uint64
	peers  map[string]*roundTrip
}

// roundTrip is what is known of one peer.
type roundTrip struct {
	// sent holds when each probe that is waited for was sent.
	sent map[uint64]time.Duration
	// asked is when the newest probe was sent; took is the last time measured.
	asked    time.Duration
	took     time.Duration
	measured bool
}

// NewRoundTrips returns a measurement that probes each peer once in a period.
func NewRoundTrips(period time.Duration) *RoundTrips {
	return &RoundTrips{period: period, peers: map[string]*roundTrip{}}
}

// NextProbe returns the number to send to a peer now; 0 means that none is due.
func (r *RoundTrips) NextProbe(peer string, now time.Duration) uint64 {
	known := r.peers[peer]
	if known == nil {
		known = &roundTrip{sent: map[uint64]time.Duration{}, asked: now - r.period}
		r.peers[peer] = known
	}
	if now-known.asked < r.period {
		return 0
	}
	known.forgetOldest()
	r.next++
	known.sent[r.next], known.asked = now, now
	return r.next
}

// forgetOldest makes room for one more probe to wait for.
func (k *roundTrip) forgetOldest() {
	if len(k.sent) < maximumProbes {
		return
	}
	delete(k.sent, slices.Min(slices.Collect(maps.Keys(k.sent))))
}

// RecordReply notes the answer to a probe. Earlier probes are not waited for any more.
func (r *RoundTrips) RecordReply(peer string, probe uint64, now time.Duration) {
	known := r.peers[peer]
	if known == nil {
		return
	}
	at, waited := known.sent[probe]
	if !waited {
		return
	}
	known.took, known.measured = now-at, true
	for earlier := range known.sent {
		if earlier <= probe {
			delete(known.sent, earlier)
		}
	}
}

// RetainOnly drops every peer but those given.
func (r *RoundTrips) RetainOnly(peers map[string]bool) {
	for peer := range r.peers {
		if !peers[peer] {
			delete(r.peers, peer)
		}
	}
}

// Min returns the time of the quickest peer: the last time measured, or that for
// which a probe has been waited for when it is longer. Slow peers do not show in
// it, a slow own link does. It is 0 while nothing was measured.
func (r *RoundTrips) Min(now time.Duration) time.Duration {
	least, found := time.Duration(0), false
	for _, known := range r.peers {
		if !known.measured {
			continue
		}
		took := known.took
		for _, at := range known.sent {
			took = max(took, now-at)
		}
		if !found || took < least {
			least, found = took, true
		}
	}
	return least
}
