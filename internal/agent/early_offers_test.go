package agent

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against offers for a manifest that is never assigned to this machine, which filled the room for all
// later early offers for good.
func TestEarlyOffersForAnUnassignedManifestMakeRoom(t *testing.T) {
	offers := newEarlyOffers()
	offers.add(offer{Manifest: "never assigned", Chunks: make([]int, maxEarlyChunks)})
	offers.add(offer{Manifest: "next", Chunks: []int{1, 2}})
	assert.Empty(t, offers.take("never assigned"))
	assert.Len(t, offers.take("next"), 1)
	assert.Zero(t, offers.chunks)
	offers.add(offer{Manifest: "too large", Chunks: make([]int, maxEarlyChunks+1)})
	assert.Empty(t, offers.take("too large"))
}
