package agent

import (
	"slices"

	"pinevane.example/pinevane/internal/weights"
)

// earlyOffers keeps offers for manifests that are not known yet, for at most maxEarlyChunks chunks.
// When there are more, those for the manifest that was first offered the longest ago go: it may never be
// assigned to this machine. It is not safe for concurrent use.
type earlyOffers struct {
	byManifest map[weights.Digest][]offer
	// manifests are the offered manifests, the one that was first offered earliest first.
	manifests []weights.Digest
	chunks    int
}

func newEarlyOffers() *earlyOffers { return &earlyOffers{byManifest: map[weights.Digest][]offer{}} }

// add keeps an offer. One of more chunks than may be kept is dropped.
func (e *earlyOffers) add(incoming offer) {
	if len(incoming.Chunks) > maxEarlyChunks {
		return
	}
	for e.chunks+len(incoming.Chunks) > maxEarlyChunks {
		e.take(e.manifests[0])
	}
	if _, known := e.byManifest[incoming.Manifest]; !known {
		e.manifests = append(e.manifests, incoming.Manifest)
	}
	e.byManifest[incoming.Manifest] = append(e.byManifest[incoming.Manifest], incoming)
	e.chunks += len(incoming.Chunks)
}

// take removes and returns the offers for a manifest.
func (e *earlyOffers) take(manifest weights.Digest) []offer {
	offers := e.byManifest[manifest]
	delete(e.byManifest, manifest)
	e.manifests = slices.DeleteFunc(e.manifests, func(other weights.Digest) bool { return other == manifest })
	for _, offered := range offers {
		e.chunks -= len(offered.Chunks)
	}
	return offers
}
