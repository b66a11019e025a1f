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

func ejectedReport(entry, server string) health.Report {
	return health.Report{Entry: entry, Server: server, Ejected: true, Remaining: time.Second, Round: 2, Unresponsive: true, Evidence: 5.5,
		Failed: 1.5, Served: 0.25, Returned: true, TrialOpen: true, FailureAge: 40 * time.Millisecond, StateAge: 30 * time.Millisecond,
		AnswerAge: 20 * time.Millisecond, LostTrialAge: 10 * time.Millisecond}
}

// An entry sends its own reports; a relay also forwards those of others, but not back to the
// reporter.
func TestHealthReportsAreForwardedByRelays(t *testing.T) {
	c := newTestCatalog()
	now := time.Now()
	c.AnnounceHealth([]health.Report{ejectedReport("10.0.0.1", "i-1")}, now)
	other := healthMessage{Server: "i-2", Entry: "10.0.0.2", Ejected: true, Number: 7, AgeMilliseconds: 100}.toReport(now)
	assert.True(t, c.addHealth(other, now))
	servers := func(ip string, isRelay bool, sent uint64) []string {
		var names []string
		for _, report := range c.healthFor(&peerLink{ip: ip, healthSent: sent}, isRelay, now) {
			names = append(names, report.Server)
		}
		return names
	}
	assert.Equal(t, []string{"i-1"}, servers("10.0.0.3", false, 0))
	assert.Equal(t, []string{"i-2", "i-1"}, servers("10.0.0.3", true, 0), "oldest first")
	assert.Equal(t, []string{"i-1"}, servers("10.0.0.2", true, 0))
	assert.Empty(t, servers("10.0.0.3", true, c.health.sequence), "nothing is sent twice")
}

// A received report equals the one sent, and its time of creation is computed from its age.
func TestHealthReportKeepsItsDurations(t *testing.T) {
	now := time.Now()
	original := heldHealthReport{report: ejectedReport("10.0.0.1", "i-1"), at: now.Add(-300 * time.Millisecond), number: 9}
	received := newHealthMessage(original, now).toReport(now.Add(time.Second))
	assert.Equal(t, original.report, received.report)
	report := reflect.ValueOf(original.report)
	for field := range report.NumField() {
		assert.False(t, report.Field(field).IsZero(), "%s is set and arrives", report.Type().Field(field).Name)
	}
	assert.Equal(t, now.Add(700*time.Millisecond), received.at)
	assert.Equal(t, original.number, received.number)
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
	assert.False(t, c.addHealth(later, now), "from a second relay")
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
	valid := newHealthMessage(heldHealthReport{report: ejectedReport("10.0.0.1", "i-1"), at: now, number: 9}, now)
	_, err := valid.validated(now)
	assert.NoError(t, err)
	for name, change := range map[string]func(*healthMessage){
		"negative age":                  func(w *healthMessage) { w.AgeMilliseconds = -1 },
		"age that overflows":            func(w *healthMessage) { w.AgeMilliseconds = math.MaxInt64 },
		"negative state age":            func(w *healthMessage) { w.StateAgeMilliseconds = -1 },
		"failure age that overflows":    func(w *healthMessage) { w.FailureAgeMilliseconds = math.MaxInt64 / 2 },
		"endless ejection":              func(w *healthMessage) { w.RemainingMilliseconds = 24 * 3600 * 1000 },
		"remaining time that overflows": func(w *healthMessage) { w.RemainingMilliseconds = math.MinInt64 },
		"ejection without a round":      func(w *healthMessage) { w.Round = 0 },
		"huge round":                    func(w *healthMessage) { w.Round = 100 },
		"evidence not a number":         func(w *healthMessage) { w.Evidence = float32(math.NaN()) },
		"infinite failures":             func(w *healthMessage) { w.Failed = float32(math.Inf(1)) },
	} {
		invalid := valid
		change(&invalid)
		_, err := invalid.validated(now)
		assert.Error(t, err, name)
	}
}
