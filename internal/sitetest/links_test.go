package sitetest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/logging"
)

// Entries only send on the links that they dialled, so that such a link receives nothing while the
// fleet is idle. This must not be taken for a broken link.
func TestIdleLinksBetweenEntriesStayOpen(t *testing.T) {
	fleet := Start(t, DefaultOptions())
	time.Sleep(time.Second)
	before := countEvents(fleet, logging.PeerLost.Number, "")
	time.Sleep(4 * time.Second)
	after := countEvents(fleet, logging.PeerLost.Number, "")
	assert.Equal(t, before, after, "links lost without a fault")
}
