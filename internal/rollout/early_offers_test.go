package rollout

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against offers that are lost because they arrive before the announcement of their version: the transfer
// that begins with it would wait for progressTimeout.
func TestOffersBeforeTheAnnouncementAreKept(t *testing.T) {
	a := &Agent{}
	a.applyOffer(offer{From: "a", Model: "m", Version: 2, Pieces: []int{1}})
	a.applyOffer(offer{From: "a", Model: "m", Version: 3, Pieces: []int{1}})
	a.applyOffer(offer{From: "b", Model: "m", Version: 3, Pieces: []int{2}})
	a.applyOffer(offer{From: "c", Model: "m", Version: 2, Pieces: []int{3}})
	assert.Empty(t, a.early.take("m", 2), "a newer version was offered")
	assert.Len(t, a.early.take("m", 3), 2)
	assert.Empty(t, a.early.take("m", 3), "they are taken once")
	reply := a.applyOffer(offer{From: "a", Model: "m", Version: 4, Pieces: []int{5}, Query: true})
	assert.Equal(t, []int{5}, reply.Missing, "a query is answered")
	assert.Empty(t, a.early.take("m", 4))
	for range 2 * maxEarlyOffers {
		a.applyOffer(offer{From: "a", Model: "m", Version: 5, Pieces: []int{1}})
	}
	assert.Len(t, a.early.take("m", 5), maxEarlyOffers)
}
