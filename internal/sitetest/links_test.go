package sitetest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/logging"
)

// Entries send on the links that they dialled themselves, so that nothing comes back
// on one for as long as all is quiet. That is no reason to take the link for broken.
func TestIdleLinksBetweenEntriesStayOpen(t *testing.T) {
	fleet := Start(t, DefaultOptions())
	time.Sleep(time.Second)
	before := countEvents(fleet, logging.PeerLost.Number, "")
	time.Sleep(4 * time.Second)
	after := countEvents(fleet, logging.PeerLost.Number, "")
	assert.Equal(t, before, after, "no link is lost while nothing fails")
}
