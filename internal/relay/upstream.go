package relay

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/placement"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// waitDirect blocks until this process is a direct reader of the platform, or reports false when
// the context ends.
func (r *Relay) waitDirect(ctx context.Context) bool {
	for {
		r.mutex.Lock()
		direct, changed := r.direct, r.directChanged
		r.mutex.Unlock()
		if direct {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// supervise periodically chooses an upstream and sends heartbeats.
func (r *Relay) supervise(ctx context.Context) {
	ticker := time.NewTicker(r.options.HeartbeatInterval / 2)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		r.chooseUpstream(ctx)
		if tick%2 == 0 {
			r.sendHeartbeats()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Relay) chooseUpstream(ctx context.Context) {
	if r.upstreamHealthy() {
		return
	}
	isRelay, candidates := r.candidates()
	r.mutex.Lock()
	skipped := r.skipped
	failing := len(r.failedAt) > 0
	r.mutex.Unlock()
	if isRelay && !failing {
		r.setDirect(true)
		return
	}
	// A process that is not a relay reads the platform itself only after every relay has failed
	// once.
	r.setDirect(isRelay || skipped >= len(candidates))
	if len(candidates) == 0 {
		return
	}
	r.followAddress(ctx, candidates[skipped%len(candidates)])
}

// upstreamHealthy closes a silent upstream, and reports whether this process needs no other one.
func (r *Relay) upstreamHealthy() bool {
	r.mutex.Lock()
	upstream := r.upstream
	direct := r.direct
	failing := len(r.failedAt) > 0
	r.mutex.Unlock()
	if upstream == nil {
		return false
	}
	if time.Since(upstream.LastReceived()) > r.options.SilenceTimeout {
		_ = upstream.Close()
		return false
	}
	return !direct || failing
}

// candidates returns whether this process is a relay of its zone, and the addresses to follow in
// order of preference.
func (r *Relay) candidates() (isRelay bool, addresses []string) {
	r.mutex.Lock()
	members := r.members
	r.mutex.Unlock()
	byZone := map[string][]string{}
	addressOf := map[string]string{}
	for _, member := range members {
		if member.Leaving {
			continue
		}
		byZone[member.Zone] = append(byZone[member.Zone], member.ID)
		addressOf[member.ID] = member.Address
	}
	relays := placement.Top("relay/"+r.options.Zone, byZone[r.options.Zone], RelaysPerZone)
	isRelay = slices.Contains(relays, r.options.SelfID)
	if isRelay {
		// A relay that can't read the platform follows relays of other zones.
		relays = nil
		for zone, ids := range byZone {
			if zone != r.options.Zone {
				relays = append(relays, placement.Top("relay/"+zone, ids, 1)...)
			}
		}
	}
	for _, id := range placement.Rank(r.options.SelfID, relays) {
		addresses = append(addresses, addressOf[id])
	}
	return isRelay, append(addresses, r.options.Seeds...)
}

func (r *Relay) setDirect(direct bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.direct == direct {
		return
	}
	r.direct = direct
	close(r.directChanged)
	r.directChanged = make(chan struct{})
	r.options.Log.Log(logging.RelayElected, zap.Bool("direct", direct))
}

func (r *Relay) followAddress(ctx context.Context, address string) {
	link, err := r.options.Hub.Link(ctx, address)
	r.mutex.Lock()
	request := follow{Configuration: r.feeds[Configuration].Version(), Membership: r.feeds[Membership].Version()}
	r.mutex.Unlock()
	if err == nil {
		err = peering.Send(link, topicFollow, "", request)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err != nil {
		r.skipped++
		return
	}
	r.skipped = 0
	r.upstream = link
}

func (r *Relay) linkLost(link *peering.Link) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if lost, held := r.followers[link]; held {
		close(lost.dirty)
		delete(r.followers, link)
	}
	if r.upstream == link {
		r.upstream = nil
		r.skipped++
	}
}
