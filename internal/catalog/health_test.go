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

func ejectedReport(entry, server string) health.Word {
	return health.Word{Entry: entry, Server: server, Ejected: true, Left: time.Second, Round: 2, Mute: true, Evidence: 5.5,
		Failed: 1.5, Served: 0.25, Returned: true, Trying: true, Since: 40 * time.Millisecond, Changed: 30 * time.Millisecond,
		Answered: 20 * time.Millisecond, Tried: 10 * time.Millisecond}
}

// An entry sends its own reports; a relay also forwards those of others, but not back to the
// reporter.
func TestHealthReportsAreForwardedByRelays(t *testing.T) {
	c := newTestCatalog()
	now := time.Now()
	c.AnnounceHealth([]health.Word{ejectedReport("10.0.0.1", "i-1")}, now)
	other := healthMessage{Server: "i-2", Entry: "10.0.0.2", Ejected: true, Number: 7, AgeMilliseconds: 100}.toReport(now)
	assert.True(t, c.addHealth(other, now))
	servers := func(ip string, isRelay bool, told uint64) []string {
		var names []string
		for _, word := range c.healthFor(&peerLink{ip: ip, healthSent: told}, isRelay, now) {
			names = append(names, word.Server)
		}
		return names
	}
	assert.Equal(t, []string{"i-1"}, servers("10.0.0.3", false, 0))
	assert.Equal(t, []string{"i-2", "i-1"}, servers("10.0.0.3", true, 0), "the oldest first")
	assert.Equal(t, []string{"i-1"}, servers("10.0.0.2", true, 0))
	assert.Empty(t, servers("10.0.0.3", true, c.health.sequence), "nothing is told twice")
}

// A report arrives as it was made, apart from its age.
func TestHealthReportKeepsItsDurations(t *testing.T) {
	now := time.Now()
	said := heldHealthReport{report: ejectedReport("10.0.0.1", "i-1"), at: now.Add(-300 * time.Millisecond), number: 9}
	heard := newHealthMessage(said, now).toReport(now.Add(time.Second))
	assert.Equal(t, said.report, heard.report)
	word := reflect.ValueOf(said.report)
	for field := range word.NumField() {
		assert.False(t, word.Field(field).IsZero(), "%s is said, and arrives", word.Type().Field(field).Name)
	}
	assert.Equal(t, now.Add(700*time.Millisecond), heard.at)
	assert.Equal(t, said.number, heard.number)
}

// Of two reports the later one counts, whichever arrives first, also after the reporter has
// restarted. The number held is bounded.
func TestOnlyNewestHealthReportIsHeld(t *testing.T) {
	c := newTestCatalog()
	now := time.Now()
	later := healthMessage{Server: "i-1", Entry: "10.0.0.2", Returned: true, Number: 8}.toReport(now)
	earlier := healthMessage{Server: "i-1", Entry: "10.0.0.2", Ejected: true, Number: 7}.toReport(now)
	assert.True(t, c.addHealth(later, now))
	assert.False(t, c.addHealth(earlier, now))
	assert.False(t, c.addHealth(later, now), "by a second relay")
	anew := newHealthReports(now.Add(time.Second))
	assert.Greater(t, anew.number, newHealthReports(now).number+1e6)
	for number := range maxHealthReports + 10 {
		c.addHealth(healthMessage{Server: fmt.Sprint("s-", number), Entry: "10.0.0.2", Number: uint64(number + 1)}.toReport(now.Add(time.Duration(number))), now)
	}
	assert.Len(t, c.health.reports, maxHealthReports)
}

// A report with an impossible value is rejected, whichever field is invalid.
func TestInvalidHealthReportsAreRejected(t *testing.T) {
	now := time.Now()
	sound := newHealthMessage(heldHealthReport{report: ejectedReport("10.0.0.1", "i-1"), at: now, number: 9}, now)
	_, err := sound.validated(now)
	assert.NoError(t, err)
	for name, spoil := range map[string]func(*healthMessage){
		"an age before it was said":   func(w *healthMessage) { w.AgeMilliseconds = -1 },
		"an age that overflows":       func(w *healthMessage) { w.AgeMilliseconds = math.MaxInt64 },
		"a change in the future":      func(w *healthMessage) { w.StateAgeMilliseconds = -1 },
		"a spell that overflows":      func(w *healthMessage) { w.FailureAgeMilliseconds = math.MaxInt64 / 2 },
		"an ejection without end":     func(w *healthMessage) { w.RemainingMilliseconds = 24 * 3600 * 1000 },
		"an end that overflows":       func(w *healthMessage) { w.RemainingMilliseconds = math.MinInt64 },
		"an ejection without a round": func(w *healthMessage) { w.Round = 0 },
		"a huge round":                func(w *healthMessage) { w.Round = 100 },
		"no number as evidence":       func(w *healthMessage) { w.Evidence = float32(math.NaN()) },
		"endless failures":            func(w *healthMessage) { w.Failed = float32(math.Inf(1)) },
	} {
		faulty := sound
		spoil(&faulty)
		_, err := faulty.validated(now)
		assert.Error(t, err, name)
	}
}
