package dissemination

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Offers to one peer go in one message, as do queries; transfers stay single.
func TestGroupByPeer(t *testing.T) {
	batch := GroupByPeer([]Action{
		{Kind: Offer, Peer: "b", Chunk: 1},
		{Kind: Fetch, Peer: "a", Chunk: 7},
		{Kind: Query, Peer: "b", Chunk: 2},
		{Kind: Offer, Peer: "a", Chunk: 1},
		{Kind: Offer, Peer: "b", Chunk: 3},
		{Kind: FetchOrigin, Chunk: 8},
	})
	assert.Equal(t, []Message{
		{Peer: "b", Chunks: []int{1, 3}},
		{Peer: "b", Query: true, Chunks: []int{2}},
		{Peer: "a", Chunks: []int{1}},
	}, batch.Messages)
	assert.Equal(t, []Action{{Kind: Fetch, Peer: "a", Chunk: 7}, {Kind: FetchOrigin, Chunk: 8}}, batch.Fetches)
	assert.Empty(t, GroupByPeer(nil))
}
