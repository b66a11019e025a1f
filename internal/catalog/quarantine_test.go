package catalog

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/quarantine"
	"pinevane.example/pinevane/internal/fault"
)

// A report is the same at the receiver, apart from its transit time.
func TestQuarantineReportsRoundTrip(t *testing.T) {
	content := quarantine.NewHasher("tenant", "host", "/target").Content()
	const said, heard = 10 * time.Second, 500 * time.Second
	for _, word := range []quarantine.Word{
		{Kind: quarantine.Ended, At: said, Entry: "10.0.0.1", Number: 3, Server: "i-1", Suspects: []quarantine.Suspect{{Content: content, Before: 70 * time.Millisecond}}},
		{Kind: quarantine.Cleared, At: said, Entry: "10.0.0.1", Number: 4, Content: content, Lifts: true},
		{Kind: quarantine.Quarantined, At: said, Entry: "10.0.0.1", Number: 5, Content: content, Servers: []string{"i-1", "i-2"}, Round: 2, Lasts: time.Hour},
	} {
		sent, err := cbor.Marshal(newQuarantineMessage(word, said+2*time.Second))
		require.NoError(t, err)
		var told quarantineMessage
		require.NoError(t, cbor.Unmarshal(sent, &told))
		received, err := told.validated(heard)
		require.NoError(t, err)
		word.At = heard - 2*time.Second
		assert.Equal(t, word, received)
	}
}

// A report with impossible values is rejected with a reason, as is one of a kind that only a later
// build sends.
func TestInvalidQuarantineReportsAreRejected(t *testing.T) {
	id := make([]byte, quarantine.ContentSize)
	sound := func(change func(*quarantineMessage)) quarantineMessage {
		word := quarantineMessage{Kind: int(quarantine.Ended), Entry: "10.0.0.1", Number: 1, Server: "i-1", Suspects: []suspectMessage{{Fingerprint: fingerprintMessage{ID: id}}}}
		change(&word)
		return word
	}
	_, err := sound(func(*quarantineMessage) {}).validated(time.Minute)
	require.NoError(t, err)
	for what, change := range map[string]func(*quarantineMessage){
		"no teller":             func(w *quarantineMessage) { w.Entry = "" },
		"said in the future":    func(w *quarantineMessage) { w.AgeMilliseconds = -1 },
		"said years ago":        func(w *quarantineMessage) { w.AgeMilliseconds = 1 << 60 },
		"no server":             func(w *quarantineMessage) { w.Server = "" },
		"a short content":       func(w *quarantineMessage) { w.Suspects[0].Fingerprint.ID = id[1:] },
		"sent after its end":    func(w *quarantineMessage) { w.Suspects[0].BeforeMilliseconds = -1 },
		"too many contents":     func(w *quarantineMessage) { w.Suspects = make([]suspectMessage, quarantine.MostSuspects+1) },
		"a kind of later":       func(w *quarantineMessage) { w.Kind = 99 },
		"cleared without which": func(w *quarantineMessage) { w.Kind = int(quarantine.Cleared) },
		"lasts for ever":        func(w *quarantineMessage) { w.LastsMilliseconds = 1 << 60 },
		"a round below 0":       func(w *quarantineMessage) { w.Round = -1 },
		"too many servers":      func(w *quarantineMessage) { w.Servers = make([]string, maxReportServers+1) },
	} {
		_, err := sound(change).validated(time.Minute)
		var invalid *fault.InvalidFrame
		assert.ErrorAs(t, err, &invalid, what)
	}
}
