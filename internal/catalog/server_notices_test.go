package catalog

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/fault"
)

// A notice is the same at the receiver, with its age.
func TestServerNoticesRoundTrip(t *testing.T) {
	said := time.Unix(1000, 0)
	one := heldReport[dispatch.Ask]{report: dispatch.Ask{Server: "i-1", Born: 7, Leaving: true, Limited: true, PerSecond: 1.4}, at: said, number: 3}
	sent, err := cbor.Marshal(newNoticeMessage("10.0.0.1", one, said.Add(2*time.Second)))
	require.NoError(t, err)
	var told noticeMessage
	require.NoError(t, cbor.Unmarshal(sent, &told))
	require.NoError(t, told.validate())
	assert.Equal(t, "10.0.0.1", told.Entry)
	assert.Equal(t, one, told.toReport(said.Add(2*time.Second)))
}

func TestInvalidServerNoticesAreRejected(t *testing.T) {
	sound := noticeMessage{Server: "i-1", Entry: "10.0.0.1", Number: 1, Limited: true, PerSecond: 2}
	require.NoError(t, sound.validate())
	for what, change := range map[string]func(*noticeMessage){
		"no server":            func(a *noticeMessage) { a.Server = "" },
		"no teller":            func(a *noticeMessage) { a.Entry = "" },
		"said in the future":   func(a *noticeMessage) { a.AgeMilliseconds = -1 },
		"said years ago":       func(a *noticeMessage) { a.AgeMilliseconds = 1 << 60 },
		"born before all time": func(a *noticeMessage) { a.StartTime = -1 },
		"a rate below 0":       func(a *noticeMessage) { a.PerSecond = -1 },
		"no rate":              func(a *noticeMessage) { a.PerSecond = math.NaN() },
		"a rate without end":   func(a *noticeMessage) { a.PerSecond = math.Inf(1) },
	} {
		faulty := sound
		change(&faulty)
		var invalid *fault.InvalidFrame
		require.ErrorAs(t, faulty.validate(), &invalid, what)
	}
}

// The newest of an entry's notices on a server is kept in whatever order they arrive, and their
// number is bounded.
func TestNewestServerNoticeIsHeld(t *testing.T) {
	asks := newServerNotices(time.Unix(0, 0))
	now := time.Unix(0, 0)
	hold := func(entry, server string, number uint64) bool {
		return asks.add(reportKey{entry: entry, server: server}, heldReport[dispatch.Ask]{at: time.Unix(int64(number), 0), number: number}, now)
	}
	assert.True(t, hold("a", "i-1", 2))
	assert.False(t, hold("a", "i-1", 1), "an older one")
	assert.False(t, hold("a", "i-1", 2), "the same once more")
	assert.True(t, hold("b", "i-1", 1), "another entry's")
	for number := range uint64(2 * maxNotices) {
		hold("a", "many", number+10)
		hold(time.Duration(number).String(), "i-2", number+10)
	}
	assert.Len(t, asks.reports, maxNotices)
}
