package catalog

import (
	"fmt"
	"slices"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/peering"
)

// topicHealth carries entries' reports on the health of servers within a zone.
const topicHealth = "server.health"

// Bounds on the health reports held.
const (
	// healthTTL is how long a report is kept for entries that link later: as long as an ejection
	// and its trials usually last.
	healthTTL = 10 * time.Second
	// maxHealthReports bounds the reports held; the oldest are evicted first.
	maxHealthReports = 2048
)

// healthMessage is the wire form of an entry's health report on a server.
type healthMessage struct {
	Server    string  `cbor:"1,keyasint"`
	Entry     string  `cbor:"2,keyasint"`
	Ejected   bool    `cbor:"3,keyasint,omitempty"`
	Returned  bool    `cbor:"4,keyasint,omitempty"`
	TrialOpen bool    `cbor:"5,keyasint,omitempty"`
	Evidence  float32 `cbor:"6,keyasint,omitempty"`
	Round     int     `cbor:"7,keyasint,omitempty"`
	Failed    float32 `cbor:"8,keyasint,omitempty"`
	Served    float32 `cbor:"9,keyasint,omitempty"`
	// The ages and durations count from when the report was made, which AgeMilliseconds gives.
	FailureAgeMilliseconds int64 `cbor:"10,keyasint,omitempty"`
	StateAgeMilliseconds   int64 `cbor:"11,keyasint,omitempty"`
	RemainingMilliseconds  int64 `cbor:"12,keyasint,omitempty"`
	AgeMilliseconds        int64 `cbor:"13,keyasint,omitempty"`
	Unresponsive           bool  `cbor:"14,keyasint,omitempty"`
	// The following two are 0 if there was no such event recently.
	AnswerAgeMilliseconds    int64 `cbor:"16,keyasint,omitempty"`
	LostTrialAgeMilliseconds int64 `cbor:"17,keyasint,omitempty"`
	// Number orders the reports of one entry.
	Number uint64 `cbor:"15,keyasint"`
}

// healthBatch is the wire form of the reports that one entry sends at once.
type healthBatch struct {
	Reports []healthMessage `cbor:"1,keyasint"`
}

// heldHealthReport is the newest health report of an entry on a server.
type heldHealthReport = heldReport[health.Report]

// HealthHandler is called with a health report of another entry of the zone, and when it was made.
type HealthHandler func(report health.Report, at time.Time)

// healthReports holds the health reports of the zone's entries. The catalog's mutex guards it.
type healthReports struct {
	reportStore[health.Report]
	onReport HealthHandler
}

func newHealthReports(started time.Time) healthReports {
	return healthReports{reportStore: newReportStore[health.Report](started, healthTTL, maxHealthReports)}
}

// OnHealth registers a function that is called with each report of another entry. It must be
// registered before Run.
func (c *Catalog) OnHealth(function HealthHandler) { c.health.onReport = function }

// AnnounceHealth sends this entry's reports, made at a given time, to the other entries of the zone
// at the next interval.
func (c *Catalog) AnnounceHealth(reports []health.Report, at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for _, report := range reports {
		c.addHealth(heldHealthReport{report: report, at: at, number: c.health.nextNumber()}, now)
	}
}

// addHealth stores a report if it is newer than the one held. The mutex must be held.
func (c *Catalog) addHealth(fresh heldHealthReport, now time.Time) bool {
	return c.health.add(reportKey{entry: fresh.report.Entry, subject: fresh.report.Server}, fresh, now)
}

func (c *Catalog) handleHealth(link *peering.Link, received *message.Message) {
	batch, err := peering.Decode[healthBatch](received)
	if err != nil {
		c.rejectFrame(link, err)
		return
	}
	if link.Remote().Zone != c.options.Zone {
		return
	}
	now := time.Now()
	var fresh []heldHealthReport
	c.mutex.Lock()
	for _, report := range batch.Reports {
		held, err := report.validated(now)
		if err != nil {
			c.rejectFrame(link, err)
			continue
		}
		if report.Entry != c.options.Self && c.addHealth(held, now) {
			fresh = append(fresh, held)
		}
	}
	c.mutex.Unlock()
	if c.health.onReport == nil {
		return
	}
	for _, held := range fresh {
		c.health.onReport(held.report, held.at)
	}
}

// maxMilliseconds keeps the durations of reports within the range of a time.Duration.
const maxMilliseconds = int64(health.MaxDuration / time.Millisecond)

// validated converts a report received now, or rejects one with impossible values. An invalid
// report does not affect the others of its message.
func (m healthMessage) validated(now time.Time) (heldHealthReport, error) {
	for _, duration := range []struct {
		field        string
		milliseconds int64
		minimum      int64
	}{
		{"since", m.FailureAgeMilliseconds, 0}, {"changed", m.StateAgeMilliseconds, 0}, {"age", m.AgeMilliseconds, 0},
		{"answered", m.AnswerAgeMilliseconds, 0}, {"tried", m.LostTrialAgeMilliseconds, 0},
		{"left", m.RemainingMilliseconds, -maxMilliseconds},
	} {
		if duration.milliseconds < duration.minimum || duration.milliseconds > maxMilliseconds {
			return heldHealthReport{}, &fault.InvalidFrame{Field: topicHealth, Reason: fmt.Sprintf("%s of %d ms", duration.field, duration.milliseconds)}
		}
	}
	held := m.toReport(now)
	return held, held.report.Validate()
}

// toReport converts a report received now.
func (m healthMessage) toReport(now time.Time) heldHealthReport {
	duration := func(milliseconds int64) time.Duration { return time.Duration(milliseconds) * time.Millisecond }
	return heldHealthReport{
		at: now.Add(-duration(m.AgeMilliseconds)), number: m.Number,
		report: health.Report{
			Server: m.Server, Entry: m.Entry, Ejected: m.Ejected, Returned: m.Returned, TrialOpen: m.TrialOpen, Unresponsive: m.Unresponsive, Evidence: float64(m.Evidence),
			Failed: float64(m.Failed), Served: float64(m.Served),
			Round: m.Round, FailureAge: duration(m.FailureAgeMilliseconds), StateAge: duration(m.StateAgeMilliseconds), Remaining: duration(m.RemainingMilliseconds),
			AnswerAge: duration(m.AnswerAgeMilliseconds), LostTrialAge: duration(m.LostTrialAgeMilliseconds),
		},
	}
}

// newHealthMessage converts a report to its wire form.
func newHealthMessage(h heldHealthReport, now time.Time) healthMessage {
	return healthMessage{
		Server: h.report.Server, Entry: h.report.Entry, Ejected: h.report.Ejected, Returned: h.report.Returned, TrialOpen: h.report.TrialOpen, Unresponsive: h.report.Unresponsive,
		Evidence: float32(h.report.Evidence), Failed: float32(h.report.Failed), Served: float32(h.report.Served), Round: h.report.Round, FailureAgeMilliseconds: h.report.FailureAge.Milliseconds(),
		StateAgeMilliseconds: h.report.StateAge.Milliseconds(), RemainingMilliseconds: h.report.Remaining.Milliseconds(),
		AnswerAgeMilliseconds: h.report.AnswerAge.Milliseconds(), LostTrialAgeMilliseconds: h.report.LostTrialAge.Milliseconds(),
		AgeMilliseconds: now.Sub(h.at).Milliseconds(), Number: h.number,
	}
}

// sendPendingHealth sends each linked entry of the zone the reports that it has not been sent. Only
// relays forward the reports of others: every entry is linked to each of them.
func (c *Catalog) sendPendingHealth() {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.health.expire(now)
	isRelay := c.isRelay()
	for _, peer := range c.links {
		if !peer.isEntry() || peer.zone() != c.options.Zone || peer.sendingHealth || peer.healthSent == c.health.sequence {
			continue
		}
		reports := c.healthFor(peer, isRelay, now)
		peer.healthSent = c.health.sequence
		if len(reports) > 0 {
			peer.sendingHealth = true
			go c.sendHealth(peer, peer.link, reports)
		}
	}
}

// healthFor returns the reports to send to an entry. The mutex must be held.
func (c *Catalog) healthFor(peer *peerLink, isRelay bool, now time.Time) []healthMessage {
	var reports []healthMessage
	for _, held := range c.health.unsent(peer.healthSent, peer.ip, c.options.Self, isRelay) {
		reports = append(reports, newHealthMessage(held, now))
	}
	slices.SortFunc(reports, func(a, b healthMessage) int { return int(b.AgeMilliseconds - a.AgeMilliseconds) })
	return reports
}

func (c *Catalog) sendHealth(peer *peerLink, link *peering.Link, reports []healthMessage) {
	c.finishSend(peer, link, &peer.sendingHealth, peering.Send(link, topicHealth, "", healthBatch{Reports: reports}))
}
