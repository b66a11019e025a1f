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
	// manifestPeers is how many peers are asked for the manifest in a round.
	manifestPeers = 3
	// manifestHoldTime is how long a peer that lacks the manifest holds a question for it: some
	// times the way to another region and back, and well within offerTimeout also where the
	// question is sent once more because its connection has gone silent. Without it a manifest took 0.1
	// to 0.2 s from level to level of the plan, in which everybody asks again and again: after a
	// loss of all machines the median machine had it 0.7 s after the first.
	manifestHoldTime = 300 * time.Millisecond
	// inventoryTimeout bounds the questions what peers hold.
	inventoryTimeout = 300 * time.Millisecond
)

// findManifest asks peers, nearest in the plan first, and beside them the origin when it is
// this machine's turn. Others are told of the manifest as soon as it is known here.
func (t *transfer) findManifest(ctx context.Context) (fleet.Manifest, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	found := make(chan fleet.Manifest, 2)
	go t.pollManifest(ctx, found, t.manifestFromPeers)
	var originAsked time.Duration
	go t.pollManifest(ctx, found, func(ctx context.Context) (fleet.Manifest, bool) {
		if !t.originQueryDue(t.now(), originAsked) {
			return fleet.Manifest{}, false
		}
		originAsked = t.now()
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

// pollManifest asks a source again and again until it has the manifest.
func (t *transfer) pollManifest(ctx context.Context, found chan<- fleet.Manifest, ask func(context.Context) (fleet.Manifest, bool)) {
	for ctx.Err() == nil {
		if manifest, has := ask(ctx); has {
			found <- manifest
			return
		}
		waiting.For(ctx, manifestRetryDelay(t.now()))
	}
}

// setManifest keeps the manifest and answers those who wait for it.
func (t *transfer) setManifest(manifest fleet.Manifest) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.manifest = &manifest
	t.versionNumber.Store(manifest.Version)
	close(t.manifestKnown)
}

// manifestRetryDelay is the time between two rounds of asking, after a time without success.
func manifestRetryDelay(sought time.Duration) time.Duration {
	if sought < manifestSlowAfter {
		return manifestRetryInterval
	}
	return manifestSlowInterval
}

// originQueryDue reports whether it is this machine's turn to ask the origin for the manifest: the
// one that passes it to all others asks in each round, the next in turn one after the other,
// and everybody, in case that all of those are gone, now and then.
func (t *transfer) originQueryDue(now, asked time.Duration) bool {
	if t.peersOnly.Load() {
		return false
	}
	plan, first := t.isOriginReader()
	if first {
		return true
	}
	if asked > 0 && now-asked < manifestOriginInterval {
		return false
	}
	turn := slices.Index(plan.OriginReaders(0, t.self()), t.self())
	return (turn >= 0 && now > time.Duration(turn+1)*originTurnInterval) || now > 4*originTurnInterval
}

// isOriginReader reports whether this machine has the manifest from the origin only, and
// returns the plan that says so.
func (t *transfer) isOriginReader() (dissemination.Plan, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	_, hasParent := t.plan.Parent(0, t.self())
	return t.plan, !hasParent || t.originManifestOnly
}

// manifestFromPeers asks those that stand before this machine in the plan; a fallback asks
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

// queryManifest asks peers at the same time and takes the first manifest that comes. A peer
// that is bringing the version too answers as soon as it has the manifest itself.
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

// manifestFromPeer asks one peer, and returns nil if it has no fitting manifest.
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

// queryInventories learns what peers already hold, which they do not offer to a
// machine that has come later.
func (t *transfer) queryInventories(ctx context.Context, manifest fleet.Manifest, held []bool, peers []dissemination.MachineID) map[int][]dissemination.MachineID {
	holders := map[int][]dissemination.MachineID{}
	if !slices.Contains(held, false) {
		return holders
	}
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	answers := make([]inventory, len(peers))
	var questions sync.WaitGroup
	for at, peer := range peers {
		questions.Go(func() {
			// A peer that does not answer holds nothing for us.
			answers[at], _ = query[inventory](ctx, t.agent.peers, peer, versionPath(inventoryPath, t.model, manifest.Version), 0)
		})
	}
	questions.Wait()
	for at, answer := range answers {
		for _, index := range answer.Pieces {
			if index >= 0 && index < len(held) && !held[index] {
				holders[index] = append(holders[index], peers[at])
			}
		}
	}
	return holders
}

// awaitManifest waits for a short time until the manifest is known.
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
