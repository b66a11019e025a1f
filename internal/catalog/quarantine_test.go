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

// A word is the same when another process has it, but for the time on its way.
func TestWordsOnContentsAreToldWhole(t *testing.T) {
	content := quarantine.NewHasher("tenant", "host", "/target").Fingerprint()
	const said, heard = 10 * time.Second, 500 * time.Second
	for _, word := range []quarantine.Report{
		{Kind: quarantine.Crashed, At: said, Entry: "10.0.0.1", Number: 3, Server: "i-1", Suspects: []quarantine.Suspect{{Fingerprint: content, SentBefore: 70 * time.Millisecond}}},
		{Kind: quarantine.Cleared, At: said, Entry: "10.0.0.1", Number: 4, Fingerprint: content, LiftsQuarantine: true},
		{Kind: quarantine.Quarantined, At: said, Entry: "10.0.0.1", Number: 5, Fingerprint: content, Servers: []string{"i-1", "i-2"}, Round: 2, Duration: time.Hour},
	} {
		sent, err := cbor.Marshal(toldWordOf(word, said+2*time.Second))
		require.NoError(t, err)
		var told toldWord
		require.NoError(t, cbor.Unmarshal(sent, &told))
		received, err := told.checked(heard)
		require.NoError(t, err)
		word.At = heard - 2*time.Second
		assert.Equal(t, word, received)
	}
}

// A word that can't be meant is dropped, with a reason, also one of a kind that a later version tells.
func TestFaultyWordsOnContentsAreRejected(t *testing.T) {
	id := make([]byte, quarantine.FingerprintSize)
	sound := func(change func(*toldWord)) toldWord {
		word := toldWord{Kind: int(quarantine.Crashed), Entry: "10.0.0.1", Number: 1, Server: "i-1", Suspects: []toldSuspect{{Content: toldContent{ID: id}}}}
		change(&word)
		return word
	}
	_, err := sound(func(*toldWord) {}).checked(time.Minute)
	require.NoError(t, err)
	for what, change := range map[string]func(*toldWord){
		"no teller":             func(w *toldWord) { w.Entry = "" },
		"said in the future":    func(w *toldWord) { w.AgeMilliseconds = -1 },
		"said years ago":        func(w *toldWord) { w.AgeMilliseconds = 1 << 60 },
		"no server":             func(w *toldWord) { w.Server = "" },
		"a short content":       func(w *toldWord) { w.Suspects[0].Content.ID = id[1:] },
		"sent after its end":    func(w *toldWord) { w.Suspects[0].BeforeMilliseconds = -1 },
		"too many contents":     func(w *toldWord) { w.Suspects = make([]toldSuspect, quarantine.MaxSuspects+1) },
		"a kind of later":       func(w *toldWord) { w.Kind = 99 },
		"cleared without which": func(w *toldWord) { w.Kind = int(quarantine.Cleared) },
		"lasts for ever":        func(w *toldWord) { w.LastsMilliseconds = 1 << 60 },
		"a round below 0":       func(w *toldWord) { w.Round = -1 },
		"too many servers":      func(w *toldWord) { w.Servers = make([]string, mostWordServers+1) },
	} {
		_, err := sound(change).checked(time.Minute)
		var invalid *fault.InvalidFrame
		assert.ErrorAs(t, err, &invalid, what)
	}
}
