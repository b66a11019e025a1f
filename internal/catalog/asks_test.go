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
	madeAt := time.Unix(1000, 0)
	notice := heldReport[dispatch.ServerNotice]{report: dispatch.ServerNotice{Server: "i-1", StartTime: 7, Leaving: true, Limited: true, PerSecond: 1.4}, at: madeAt, number: 3}
	sent, err := cbor.Marshal(newNoticeMessage("10.0.0.1", notice, madeAt.Add(2*time.Second)))
	require.NoError(t, err)
	var decoded noticeMessage
	require.NoError(t, cbor.Unmarshal(sent, &decoded))
	require.NoError(t, decoded.validate())
	assert.Equal(t, "10.0.0.1", decoded.Entry)
	assert.Equal(t, notice, decoded.toReport(madeAt.Add(2*time.Second)))
}

func TestInvalidServerNoticesAreRejected(t *testing.T) {
	valid := noticeMessage{Server: "i-1", Entry: "10.0.0.1", Number: 1, Limited: true, PerSecond: 2}
	require.NoError(t, valid.validate())
	for what, change := range map[string]func(*noticeMessage){
		"no server":           func(a *noticeMessage) { a.Server = "" },
		"no reporter":         func(a *noticeMessage) { a.Entry = "" },
		"negative age":        func(a *noticeMessage) { a.AgeMilliseconds = -1 },
		"age too large":       func(a *noticeMessage) { a.AgeMilliseconds = 1 << 60 },
		"negative start time": func(a *noticeMessage) { a.StartTime = -1 },
		"negative rate":       func(a *noticeMessage) { a.PerSecond = -1 },
		"rate not a number":   func(a *noticeMessage) { a.PerSecond = math.NaN() },
		"infinite rate":       func(a *noticeMessage) { a.PerSecond = math.Inf(1) },
	} {
		malformed := valid
		change(&malformed)
		var invalid *fault.InvalidFrame
		require.ErrorAs(t, malformed.validate(), &invalid, what)
	}
}

// The newest of an entry's notices on a server is kept in whatever order they arrive, and their
// number is bounded.
func TestNewestServerNoticeIsHeld(t *testing.T) {
	notices := newServerNotices(time.Unix(0, 0))
	now := time.Unix(0, 0)
	add := func(entry, server string, number uint64) bool {
		return notices.add(reportKey{entry: entry, subject: server}, heldReport[dispatch.ServerNotice]{at: time.Unix(int64(number), 0), number: number}, now)
	}
	assert.True(t, add("a", "i-1", 2))
	assert.False(t, add("a", "i-1", 1), "an older notice")
	assert.False(t, add("a", "i-1", 2), "the same notice again")
	assert.True(t, add("b", "i-1", 1), "a notice of another entry")
	for number := range uint64(2 * maxNotices) {
		add("a", "many", number+10)
		add(time.Duration(number).String(), "i-2", number+10)
	}
	assert.Len(t, notices.reports, maxNotices)
}
