package catalog

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/health"
)

func ejectedWord(entry, server string) health.Word {
	return health.Word{Entry: entry, Server: server, Ejected: true, Left: time.Second, Round: 2, Mute: true, Evidence: 5.5,
		Failed: 1.5, Served: 0.25, Returned: true, Trying: true, Since: 40 * time.Millisecond, Changed: 30 * time.Millisecond,
		Answered: 20 * time.Millisecond, Tried: 10 * time.Millisecond}
}

// An entry tells its own words; a relay passes on those of others too, but not to who said them.
func TestWordsOnHealthArePassedOnByRelays(t *testing.T) {
	c := newTestCatalog()
	now := time.Now()
	c.AnnounceHealth([]health.Word{ejectedWord("10.0.0.1", "i-1")}, now)
	other := toldHealth{Server: "i-2", Entry: "10.0.0.2", Ejected: true, Number: 7, AgeMilliseconds: 100}.held(now)
	assert.True(t, c.holdHealth(other, now))
	servers := func(ip string, isRelay bool, told uint64) []string {
		var names []string
		for _, word := range c.healthFor(&peerLink{ip: ip, healthTold: told}, isRelay, now) {
			names = append(names, word.Server)
		}
		return names
	}
	assert.Equal(t, []string{"i-1"}, servers("10.0.0.3", false, 0))
	assert.Equal(t, []string{"i-2", "i-1"}, servers("10.0.0.3", true, 0), "the oldest first")
	assert.Equal(t, []string{"i-1"}, servers("10.0.0.2", true, 0))
	assert.Empty(t, servers("10.0.0.3", true, c.health.sequence), "nothing is told twice")
}

// What is told arrives as it was said, but for its age.
func TestWordOnHealthKeepsItsSpans(t *testing.T) {
	now := time.Now()
	said := heldHealth{word: ejectedWord("10.0.0.1", "i-1"), at: now.Add(-300 * time.Millisecond), number: 9}
	heard := toldHealthOf(said, now).held(now.Add(time.Second))
	assert.Equal(t, said.word, heard.word)
	word := reflect.ValueOf(said.word)
	for field := range word.NumField() {
		assert.False(t, word.Field(field).IsZero(), "%s is said, and arrives", word.Type().Field(field).Name)
	}
	assert.Equal(t, now.Add(700*time.Millisecond), heard.at)
	assert.Equal(t, said.number, heard.number)
}

// Of two words the later one counts, whichever way is faster, also after the teller has started
// anew; what is held has a bound.
func TestOnlyTheNewestWordOnHealthIsHeld(t *testing.T) {
	c := newTestCatalog()
	now := time.Now()
	later := toldHealth{Server: "i-1", Entry: "10.0.0.2", Returned: true, Number: 8}.held(now)
	earlier := toldHealth{Server: "i-1", Entry: "10.0.0.2", Ejected: true, Number: 7}.held(now)
	assert.True(t, c.holdHealth(later, now))
	assert.False(t, c.holdHealth(earlier, now))
	assert.False(t, c.holdHealth(later, now), "by a second relay")
	anew := newHealthWords(now.Add(time.Second))
	assert.Greater(t, anew.number, newHealthWords(now).number+1e6)
	for number := range mostHealthWords + 10 {
		c.holdHealth(toldHealth{Server: fmt.Sprint("s-", number), Entry: "10.0.0.2", Number: uint64(number + 1)}.held(now.Add(time.Duration(number))), now)
	}
	assert.Len(t, c.health.held, mostHealthWords)
}

// A word that can't be meant is not taken in, whichever of its fields is faulty.
func TestFaultyWordsOnHealthAreRejected(t *testing.T) {
	now := time.Now()
	sound := toldHealthOf(heldHealth{word: ejectedWord("10.0.0.1", "i-1"), at: now, number: 9}, now)
	_, err := sound.checked(now)
	assert.NoError(t, err)
	for name, spoil := range map[string]func(*toldHealth){
		"an age before it was said":   func(w *toldHealth) { w.AgeMilliseconds = -1 },
		"an age that overflows":       func(w *toldHealth) { w.AgeMilliseconds = math.MaxInt64 },
		"a change in the future":      func(w *toldHealth) { w.ChangedMilliseconds = -1 },
		"a spell that overflows":      func(w *toldHealth) { w.SinceMilliseconds = math.MaxInt64 / 2 },
		"an ejection without end":     func(w *toldHealth) { w.LeftMilliseconds = 24 * 3600 * 1000 },
		"an end that overflows":       func(w *toldHealth) { w.LeftMilliseconds = math.MinInt64 },
		"an ejection without a round": func(w *toldHealth) { w.Round = 0 },
		"a huge round":                func(w *toldHealth) { w.Round = 100 },
		"no number as evidence":       func(w *toldHealth) { w.Evidence = float32(math.NaN()) },
		"endless failures":            func(w *toldHealth) { w.Failed = float32(math.Inf(1)) },
	} {
		faulty := sound
		spoil(&faulty)
		_, err := faulty.checked(now)
		assert.Error(t, err, name)
	}
}
