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
	// inventoryTimeout bounds the questions what peers hold.
	inventoryTimeout = 300 * time.Millisecond
)

// findManifest asks peers, nearest in the plan first, and the origin when it is
// this machine's turn.
func (t *transfer) findManifest(ctx context.Context) (fleet.Manifest, bool) {
	for ctx.Err() == nil {
		t.mutex.Lock()
		plan := t.plan
		t.mutex.Unlock()
		_, hasParent := plan.Parent(0, t.self())
		if hasParent && !t.distrustful {
			if manifest, found := t.manifestFromPeers(ctx, plan); found {
				return manifest, true
			}
		}
		turn := slices.Index(plan.OriginReaders(0, t.self()), t.self())
		if !hasParent || t.distrustful || (turn >= 0 && t.now() > time.Duration(turn+1)*manifestTurn) || t.now() > 4*manifestTurn {
			if manifest, found := t.manifestFromOrigin(ctx); found {
				return manifest, true
			}
		}
		waiting.For(ctx, manifestRetry)
	}
	return fleet.Manifest{}, false
}

func (t *transfer) manifestFromPeers(ctx context.Context, plan dissemination.Plan) (fleet.Manifest, bool) {
	providers := plan.Providers(0, t.self())
	for _, peer := range providers[:min(manifestPeers, len(providers))] {
		message, err := ask[manifestMessage](ctx, t.agent.peers, peer, versionPath(manifestPath, t.model, t.version()))
		if err != nil || message.Model != t.model || len(message.Digests) == 0 || (t.version() != 0 && message.Version != t.version()) {
			continue
		}
		t.agent.log.Log(logging.ManifestFetched, zap.String("model", t.model), zap.Uint64("version", message.Version), zap.String("source", string(peer)))
		return fleet.Manifest{
			Model: message.Model, Version: message.Version, Layers: message.Layers, PieceBytes: message.PieceBytes, Digests: message.Digests,
		}, true
	}
	return fleet.Manifest{}, false
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

// askInventories learns what peers already hold, which they do not offer to a
// machine that has come later.
func (t *transfer) askInventories(ctx context.Context, manifest fleet.Manifest, held []bool) map[int][]dissemination.MachineID {
	holders := map[int][]dissemination.MachineID{}
	if !slices.Contains(held, false) {
		return holders
	}
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	peers := t.agent.inventoryPeers()
	answers := make([]inventory, len(peers))
	var questions sync.WaitGroup
	for at, peer := range peers {
		questions.Go(func() {
			// A peer that does not answer holds nothing for us.
			answers[at], _ = ask[inventory](ctx, t.agent.peers, peer, versionPath(inventoryPath, t.model, manifest.Version))
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

func (t *transfer) knownManifest() (fleet.Manifest, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.manifest == nil {
		return fleet.Manifest{}, false
	}
	return *t.manifest, true
}
