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
	var originAsked time.Duration
	for ctx.Err() == nil {
		if manifest, found := t.manifestFromPeers(ctx); found {
			return manifest, true
		}
		if t.asksOrigin(t.now(), originAsked) {
			originAsked = t.now()
			if manifest, found := t.manifestFromOrigin(ctx); found {
				return manifest, true
			}
		}
		waiting.For(ctx, manifestPause(t.now()))
	}
	return fleet.Manifest{}, false
}

// manifestPause is the time between two rounds of asking, after a time without success.
func manifestPause(sought time.Duration) time.Duration {
	if sought < manifestSoon {
		return manifestRetry
	}
	return manifestLater
}

// asksOrigin reports whether it is this machine's turn to ask the origin for the manifest: the
// one that passes it to all others asks in each round, the next in turn one after the other,
// and everybody, in case that all of those are gone, now and then.
func (t *transfer) asksOrigin(now, asked time.Duration) bool {
	if t.fallback.Load() {
		return false
	}
	plan, first := t.firstAtOrigin()
	if first {
		return true
	}
	if asked > 0 && now-asked < manifestOriginPause {
		return false
	}
	turn := slices.Index(plan.OriginReaders(0, t.self()), t.self())
	return (turn >= 0 && now > time.Duration(turn+1)*manifestTurn) || now > 4*manifestTurn
}

// firstAtOrigin reports whether this machine has the manifest from the origin only, and
// returns the plan that says so.
func (t *transfer) firstAtOrigin() (dissemination.Plan, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	_, hasParent := t.plan.Parent(0, t.self())
	return t.plan, !hasParent || t.distrustful
}

// manifestFromPeers asks those that stand before this machine in the plan; a fallback asks
// machines that serve its version.
func (t *transfer) manifestFromPeers(ctx context.Context) (fleet.Manifest, bool) {
	if t.fallback.Load() {
		return t.askManifest(ctx, t.agent.holdersOf(t.version(), manifestPeers))
	}
	plan, first := t.firstAtOrigin()
	if first {
		return fleet.Manifest{}, false
	}
	providers := plan.Providers(0, t.self())
	return t.askManifest(ctx, providers[:min(manifestPeers, len(providers))])
}

// askManifest asks peers one after the other.
func (t *transfer) askManifest(ctx context.Context, peers []dissemination.MachineID) (fleet.Manifest, bool) {
	for _, peer := range peers {
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
func (t *transfer) askInventories(ctx context.Context, manifest fleet.Manifest, held []bool, peers []dissemination.MachineID) map[int][]dissemination.MachineID {
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
