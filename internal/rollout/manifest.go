package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/waiting"
)

const (
	// manifestPeers is how many peers are queried for the manifest in a round.
	manifestPeers = 3
	// manifestHoldTime is how long a peer that lacks the manifest holds a query for it: several
	// round trips to another region, and well within offerTimeout even if the query is sent again
	// because its connection went silent. With polling instead, a manifest took 0.1 to 0.2 s per
	// level of the plan: after a loss of all machines the median machine had it 0.7 s after the
	// first.
	manifestHoldTime = 300 * time.Millisecond
	// inventoryTimeout bounds the inventory queries to peers.
	inventoryTimeout = 300 * time.Millisecond
)

// findManifest queries peers, nearest in the plan first, and concurrently the origin when it is
// this machine's turn. Peers waiting for the manifest get it as soon as it is known here.
func (t *transfer) findManifest(ctx context.Context) (fleet.Manifest, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	found := make(chan fleet.Manifest, 2)
	go t.pollManifest(ctx, found, t.manifestFromPeers)
	var originQueriedAt time.Duration
	go t.pollManifest(ctx, found, func(ctx context.Context) (fleet.Manifest, bool) {
		if !t.originQueryDue(t.now(), originQueriedAt) {
			return fleet.Manifest{}, false
		}
		originQueriedAt = t.now()
		return t.manifestFromOrigin(ctx)
	})
	select {
	case manifest := <-found:
		t.setManifest(manifest)
		return manifest, true
	case <-ctx.Done():
		return fleet.Manifest{}, false
	}
}

// pollManifest polls a source until it returns the manifest.
func (t *transfer) pollManifest(ctx context.Context, found chan<- fleet.Manifest, poll func(context.Context) (fleet.Manifest, bool)) {
	for ctx.Err() == nil {
		if manifest, has := poll(ctx); has {
			found <- manifest
			return
		}
		waiting.For(ctx, manifestRetryDelay(t.now()))
	}
}

// setManifest stores the manifest and releases those waiting for it.
func (t *transfer) setManifest(manifest fleet.Manifest) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.manifest = &manifest
	t.versionNumber.Store(manifest.Version)
	close(t.manifestKnown)
}

// manifestRetryDelay returns the delay between two polls after searching for a time.
func manifestRetryDelay(elapsed time.Duration) time.Duration {
	if elapsed < manifestSlowAfter {
		return manifestRetryInterval
	}
	return manifestSlowInterval
}

// originQueryDue reports whether this machine should query the origin for the manifest. The root of
// the plan queries it in each round, its successors query it after increasing delays, and all
// machines query it occasionally in case all of those are down.
func (t *transfer) originQueryDue(now, queriedAt time.Duration) bool {
	if t.peersOnly.Load() {
		return false
	}
	plan, first := t.isOriginReader()
	if first {
		return true
	}
	if queriedAt > 0 && now-queriedAt < manifestOriginInterval {
		return false
	}
	turn := slices.Index(plan.OriginReaders(0, t.self()), t.self())
	return (turn >= 0 && now > time.Duration(turn+1)*originTurnInterval) || now > 4*originTurnInterval
}

// isOriginReader reports whether this machine gets the manifest only from the origin, and returns
// the plan it is based on.
func (t *transfer) isOriginReader() (dissemination.Plan, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	_, hasParent := t.plan.Parent(0, t.self())
	return t.plan, !hasParent || t.originManifestOnly
}

// manifestFromPeers queries the peers that precede this machine in the plan; a fallback queries
// machines that serve its version.
func (t *transfer) manifestFromPeers(ctx context.Context) (fleet.Manifest, bool) {
	if t.peersOnly.Load() {
		return t.queryManifest(ctx, t.agent.listedHolders(t.version(), manifestPeers))
	}
	plan, first := t.isOriginReader()
	if first {
		return fleet.Manifest{}, false
	}
	providers := plan.Providers(0, t.self())
	return t.queryManifest(ctx, providers[:min(manifestPeers, len(providers))])
}

// queryManifest queries peers concurrently and returns the first manifest. A peer that is fetching
// the version itself answers as soon as it has the manifest.
func (t *transfer) queryManifest(ctx context.Context, peers []dissemination.MachineID) (fleet.Manifest, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *fleet.Manifest, len(peers))
	for _, peer := range peers {
		go func() { answers <- t.manifestFromPeer(ctx, peer) }()
	}
	for range peers {
		if manifest := <-answers; manifest != nil {
			return *manifest, true
		}
	}
	return fleet.Manifest{}, false
}

// manifestFromPeer queries one peer, and returns nil if it has no matching manifest.
func (t *transfer) manifestFromPeer(ctx context.Context, peer dissemination.MachineID) *fleet.Manifest {
	message, err := query[manifestMessage](ctx, t.agent.peers, peer, versionPath(manifestPath, t.model, t.version()), manifestHoldTime)
	if err != nil || message.Model != t.model || len(message.Digests) == 0 || (t.version() != 0 && message.Version != t.version()) {
		return nil
	}
	t.agent.log.Log(logging.ManifestFetched, zap.String("model", t.model), zap.Uint64("version", message.Version), zap.String("source", string(peer)))
	return &fleet.Manifest{
		Model: message.Model, Version: message.Version, Layers: message.Layers, PieceBytes: message.PieceBytes, Digests: message.Digests,
	}
}

func (t *transfer) manifestFromOrigin(ctx context.Context) (fleet.Manifest, bool) {
	address, known := t.agent.originAddress()
	if !known {
		return fleet.Manifest{}, false
	}
	manifest, err := t.agent.origin.Manifest(ctx, address, t.model, t.version())
	if err != nil {
		t.agent.log.Log(logging.OriginFailed, zap.String("model", t.model), zap.Uint64("version", t.version()), zap.Error(err))
		return fleet.Manifest{}, false
	}
	t.agent.log.Log(logging.ManifestFetched, zap.String("model", t.model), zap.Uint64("version", manifest.Version), zap.String("source", "origin"))
	return manifest, true
}

// queryInventories learns which pieces peers already hold. Peers do not offer these to a machine
// that joins later.
func (t *transfer) queryInventories(ctx context.Context, manifest fleet.Manifest, held []bool, peers []dissemination.MachineID) map[int][]dissemination.MachineID {
	holders := map[int][]dissemination.MachineID{}
	if !slices.Contains(held, false) {
		return holders
	}
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	answers := make([]inventory, len(peers))
	var queries sync.WaitGroup
	for at, peer := range peers {
		queries.Go(func() {
			// A peer that does not answer counts as holding nothing.
			answers[at], _ = query[inventory](ctx, t.agent.peers, peer, versionPath(inventoryPath, t.model, manifest.Version), 0)
		})
	}
	queries.Wait()
	for at, answer := range answers {
		for _, index := range answer.Pieces {
			if index >= 0 && index < len(held) && !held[index] {
				holders[index] = append(holders[index], peers[at])
			}
		}
	}
	return holders
}

// awaitManifest waits up to manifestHoldTime for the manifest.
func (t *transfer) awaitManifest(ctx context.Context) (fleet.Manifest, bool) {
	timer := time.NewTimer(manifestHoldTime)
	defer timer.Stop()
	select {
	case <-t.manifestKnown:
	case <-timer.C:
	case <-ctx.Done():
	}
	return t.knownManifest()
}

func (t *transfer) knownManifest() (fleet.Manifest, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.manifest == nil {
		return fleet.Manifest{}, false
	}
	return *t.manifest, true
}
