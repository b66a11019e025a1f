package catalog

import (
	"fmt"
	"slices"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/quarantine"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// topicQuarantine carries entries' reports on requests that crash servers to every process. Agents
// do not act on them: they hold them for entries that start when all others have stopped.
const topicQuarantine = "quarantine.words"

// Bounds on messages and reports.
const (
	// reportsPerMessage keeps a message within 100 KB, which a link of 7.3 Mbit/s passes in 0.1 s.
	reportsPerMessage = 8
	// maxReportDuration bounds the durations in reports: no quarantine lasts longer, and no report
	// is held for twice as long.
	maxReportDuration = 48 * time.Hour
	// maxReportServers bounds the crashed servers that a quarantine names.
	maxReportServers = 16
	// maxReportCallers bounds the callers that a quarantine concerns.
	maxReportCallers = 16
)

// Kinds of reports on parts of prompts. Builds that know whole requests only reject them, and pass over
// the fields of their own about parts.
const (
	wirePartCleared     = 4
	wirePartQuarantined = 5
)

// fingerprintMessage is the wire form of the fingerprint of a whole request, or of a part of a prompt
// where the kind of the report says so.
type fingerprintMessage struct {
	ID    []byte `cbor:"1,keyasint"`
	Scope uint64 `cbor:"2,keyasint"`
}

// suspectMessage is a request that was running at a server when it crashed, and how long before the
// crash it was sent.
type suspectMessage struct {
	Fingerprint        fingerprintMessage `cbor:"1,keyasint"`
	BeforeMilliseconds int64              `cbor:"2,keyasint"`
	Model              uint64             `cbor:"3,keyasint,omitempty"`
	// Parts are the ids of the parts of the prompt; Model is their scope.
	Parts [][]byte `cbor:"4,keyasint,omitempty"`
}

// answerMessage is a part of a prompt that was answered some time before a crash.
type answerMessage struct {
	Part               fingerprintMessage `cbor:"1,keyasint"`
	BeforeMilliseconds int64              `cbor:"2,keyasint"`
}

// quarantineMessage is the wire form of a quarantine report; package quarantine documents the
// fields.
type quarantineMessage struct {
	Kind              int                  `cbor:"1,keyasint"`
	Entry             string               `cbor:"2,keyasint"`
	Number            uint64               `cbor:"3,keyasint"`
	AgeMilliseconds   int64                `cbor:"4,keyasint"`
	Server            string               `cbor:"5,keyasint,omitempty"`
	Suspects          []suspectMessage     `cbor:"6,keyasint,omitempty"`
	Fingerprint       *fingerprintMessage  `cbor:"7,keyasint,omitempty"`
	Lifts             bool                 `cbor:"8,keyasint,omitempty"`
	Servers           []string             `cbor:"9,keyasint,omitempty"`
	Round             int                  `cbor:"10,keyasint,omitempty"`
	LastsMilliseconds int64                `cbor:"11,keyasint,omitempty"`
	Answered          []answerMessage      `cbor:"12,keyasint,omitempty"`
	Companions        []fingerprintMessage `cbor:"13,keyasint,omitempty"`
	Callers           []uint64             `cbor:"14,keyasint,omitempty"`
}

// quarantineBatch is the wire form of the reports that one process sends at once.
type quarantineBatch struct {
	Reports []quarantineMessage `cbor:"1,keyasint"`
}

// QuarantineHandler is called with a report of another process. The time in the report counts from
// the given one.
type QuarantineHandler func(report quarantine.Report, from time.Time)

// quarantineReports holds the reports of all entries. The catalog's mutex guards the archive.
type quarantineReports struct {
	archive  *quarantine.Archive
	onReport QuarantineHandler
	// pending is signalled when there are reports to send.
	pending chan struct{}
}

func newQuarantineReports() quarantineReports {
	return quarantineReports{archive: quarantine.NewArchive(), pending: make(chan struct{}, 1)}
}

// OnQuarantine registers a function that is called with each report of another process. It must be
// registered before Run.
func (c *Catalog) OnQuarantine(function QuarantineHandler) { c.quarantine.onReport = function }

// AnnounceQuarantine sends reports of this process to all others at once. The times in the reports
// count from the given one.
func (c *Catalog) AnnounceQuarantine(reports []quarantine.Report, from time.Time) {
	c.mutex.Lock()
	for _, report := range reports {
		report.At += from.Sub(c.started)
		c.quarantine.archive.Add(report, time.Since(c.started))
	}
	c.mutex.Unlock()
	c.scheduleQuarantine()
}

func (c *Catalog) scheduleQuarantine() { signal(c.quarantine.pending) }

func (c *Catalog) handleQuarantine(link *peering.Link, received *message.Message) {
	batch, err := peering.Decode[quarantineBatch](received)
	if err != nil {
		c.rejectFrame(link, err)
		return
	}
	now := time.Since(c.started)
	var added []quarantine.Report
	for _, wire := range batch.Reports {
		report, err := wire.validated(now)
		if err != nil {
			c.rejectFrame(link, err)
			continue
		}
		c.mutex.Lock()
		if c.quarantine.archive.Add(report, now) {
			added = append(added, report)
		}
		c.mutex.Unlock()
	}
	if len(added) == 0 {
		return
	}
	c.scheduleQuarantine()
	if c.quarantine.onReport == nil {
		return
	}
	for _, report := range added {
		c.quarantine.onReport(report, c.started)
	}
}

// validated converts a report received now, or rejects one with impossible values. An invalid
// report does not affect the others of its message.
func (m quarantineMessage) validated(now time.Duration) (quarantine.Report, error) {
	report := quarantine.Report{
		Entry: m.Entry, Number: m.Number, Server: m.Server, LiftsQuarantine: m.Lifts, Servers: m.Servers, Round: m.Round, Callers: m.Callers,
	}
	report.Kind, report.Fingerprint.Part = m.kind()
	for _, duration := range []struct {
		field        string
		milliseconds int64
		target       *time.Duration
	}{{"age", m.AgeMilliseconds, &report.At}, {"lasts", m.LastsMilliseconds, &report.Duration}} {
		if duration.milliseconds < 0 || duration.milliseconds > maxReportDuration.Milliseconds() {
			return report, &fault.InvalidFrame{Field: topicQuarantine, Reason: fmt.Sprintf("%s of %d ms", duration.field, duration.milliseconds)}
		}
		*duration.target = time.Duration(duration.milliseconds) * time.Millisecond
	}
	report.At = now - report.At
	switch {
	case m.Entry == "" || m.Round < 0 || len(m.Servers) > maxReportServers:
		return report, &fault.InvalidFrame{Field: topicQuarantine, Reason: "no reporter, negative round or too many servers"}
	case report.Kind == quarantine.Crashed:
		return report, m.decodeCrash(&report)
	case report.Kind == quarantine.Cleared || report.Kind == quarantine.Quarantined:
		if m.Fingerprint == nil || len(m.Companions) > quarantine.MaxParts || len(m.Callers) > maxReportCallers {
			return report, &fault.InvalidFrame{Field: topicQuarantine, Reason: "no fingerprint, or too many companions or callers"}
		}
		return report, m.decodeSubject(&report)
	}
	return report, &fault.InvalidFrame{Field: topicQuarantine, Reason: fmt.Sprintf("kind %d", m.Kind)}
}

// kind returns the kind of the report and whether it is on a part of a prompt.
func (m quarantineMessage) kind() (kind quarantine.Kind, onPart bool) {
	switch m.Kind {
	case wirePartCleared:
		return quarantine.Cleared, true
	case wirePartQuarantined:
		return quarantine.Quarantined, true
	}
	return quarantine.Kind(m.Kind), false
}

// wireKind returns the kind that a report is sent as.
func wireKind(report quarantine.Report) int {
	switch {
	case report.Fingerprint.Part && report.Kind == quarantine.Cleared:
		return wirePartCleared
	case report.Fingerprint.Part && report.Kind == quarantine.Quarantined:
		return wirePartQuarantined
	}
	return int(report.Kind)
}

// decodeSubject decodes what was cleared or is quarantined.
func (m quarantineMessage) decodeSubject(report *quarantine.Report) error {
	for _, wire := range m.Companions {
		companion := quarantine.Fingerprint{Part: true}
		if err := wire.decode(&companion); err != nil {
			return err
		}
		report.Companions = append(report.Companions, companion)
	}
	return m.Fingerprint.decode(&report.Fingerprint)
}

// decodeCrash decodes the suspects of a crash and the answers to their parts.
func (m quarantineMessage) decodeCrash(report *quarantine.Report) error {
	if m.Server == "" || len(m.Suspects) > quarantine.MaxSuspects || len(m.Answered) > quarantine.MaxCrashParts {
		return &fault.InvalidFrame{Field: topicQuarantine, Reason: "crash without a server, or with too many suspects or answers"}
	}
	for _, wire := range m.Suspects {
		suspect, err := wire.decode()
		if err != nil {
			return err
		}
		report.Suspects = append(report.Suspects, suspect)
	}
	for _, wire := range m.Answered {
		answer := quarantine.Answer{Part: quarantine.Fingerprint{Part: true}}
		if err := wire.Part.decode(&answer.Part); err != nil {
			return err
		}
		var err error
		if answer.Before, err = decodeBefore(wire.BeforeMilliseconds); err != nil {
			return err
		}
		report.Answered = append(report.Answered, answer)
	}
	return nil
}

func (m suspectMessage) decode() (suspect quarantine.Suspect, err error) {
	if err := m.Fingerprint.decode(&suspect.Request.Fingerprint); err != nil {
		return suspect, err
	}
	if len(m.Parts) > quarantine.MaxParts {
		return suspect, &fault.InvalidFrame{Field: topicQuarantine, Reason: fmt.Sprintf("prompt of %d parts", len(m.Parts))}
	}
	suspect.Request.Model = m.Model
	for _, id := range m.Parts {
		part := quarantine.Fingerprint{Part: true}
		if err := (fingerprintMessage{ID: id, Scope: m.Model}).decode(&part); err != nil {
			return suspect, err
		}
		suspect.Request.Parts = append(suspect.Request.Parts, part)
	}
	suspect.SentBefore, err = decodeBefore(m.BeforeMilliseconds)
	return suspect, err
}

// decodeBefore decodes how long before a crash something happened.
func decodeBefore(milliseconds int64) (time.Duration, error) {
	if milliseconds < 0 || milliseconds > maxReportDuration.Milliseconds() {
		return 0, &fault.InvalidFrame{Field: topicQuarantine, Reason: fmt.Sprintf("%d ms before the crash", milliseconds)}
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

func (m fingerprintMessage) decode(fingerprint *quarantine.Fingerprint) error {
	if len(m.ID) != quarantine.FingerprintSize {
		return &fault.InvalidFrame{Field: topicQuarantine, Reason: fmt.Sprintf("fingerprint of %d bytes", len(m.ID))}
	}
	copy(fingerprint.ID[:], m.ID)
	fingerprint.Scope = m.Scope
	return nil
}

func newFingerprintMessage(fingerprint quarantine.Fingerprint) fingerprintMessage {
	return fingerprintMessage{ID: fingerprint.ID[:], Scope: fingerprint.Scope}
}

func newSuspectMessage(suspect quarantine.Suspect) suspectMessage {
	wire := suspectMessage{
		Fingerprint: newFingerprintMessage(suspect.Request.Fingerprint), BeforeMilliseconds: suspect.SentBefore.Milliseconds(), Model: suspect.Request.Model,
	}
	for _, part := range suspect.Request.Parts {
		wire.Parts = append(wire.Parts, part.ID[:])
	}
	return wire
}

// newQuarantineMessage converts a report to its wire form.
func newQuarantineMessage(report quarantine.Report, now time.Duration) quarantineMessage {
	wire := quarantineMessage{
		Kind: wireKind(report), Entry: report.Entry, Number: report.Number, AgeMilliseconds: max(0, now-report.At).Milliseconds(), Server: report.Server, Lifts: report.LiftsQuarantine,
		Servers: report.Servers, Round: report.Round, LastsMilliseconds: report.Duration.Milliseconds(), Callers: report.Callers,
	}
	for _, suspect := range report.Suspects {
		wire.Suspects = append(wire.Suspects, newSuspectMessage(suspect))
	}
	for _, answer := range report.Answered {
		wire.Answered = append(wire.Answered, answerMessage{Part: newFingerprintMessage(answer.Part), BeforeMilliseconds: answer.Before.Milliseconds()})
	}
	for _, companion := range report.Companions {
		wire.Companions = append(wire.Companions, newFingerprintMessage(companion))
	}
	if report.Kind != quarantine.Crashed {
		fingerprint := newFingerprintMessage(report.Fingerprint)
		wire.Fingerprint = &fingerprint
	}
	return wire
}

// sendPendingQuarantine sends each linked process the reports that it has not been sent. Only
// relays forward the reports of others: every entry is linked to each relay of its zone, and the
// relays are linked to other zones and to the agents.
func (c *Catalog) sendPendingQuarantine() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Since(c.started)
	c.quarantine.archive.Expire(now)
	sequence := c.quarantine.archive.Sequence()
	isRelay := c.isRelay()
	for _, peer := range c.links {
		if peer.link == nil || peer.sendingQuarantine || peer.quarantineSent == sequence {
			continue
		}
		reports := c.quarantineFor(peer, isRelay, now)
		peer.quarantineSent = sequence
		if len(reports) > 0 {
			peer.sendingQuarantine = true
			go c.sendQuarantine(peer, peer.link, reports)
		}
	}
}

// quarantineFor returns the reports to send to a process. The mutex must be held.
func (c *Catalog) quarantineFor(peer *peerLink, isRelay bool, now time.Duration) []quarantineMessage {
	var reports []quarantineMessage
	for _, report := range c.quarantine.archive.Since(peer.quarantineSent) {
		if report.Entry == c.options.Self || isRelay {
			reports = append(reports, newQuarantineMessage(report, now))
		}
	}
	return reports
}

func (c *Catalog) sendQuarantine(peer *peerLink, link *peering.Link, reports []quarantineMessage) {
	err := sendQuarantineReports(link, reports)
	c.finishSend(peer, link, &peer.sendingQuarantine, err)
	// More reports may have arrived in the meantime.
	c.scheduleQuarantine()
}

func sendQuarantineReports(link *peering.Link, reports []quarantineMessage) error {
	for batch := range slices.Chunk(reports, reportsPerMessage) {
		if err := peering.Send(link, topicQuarantine, "", quarantineBatch{Reports: batch}); err != nil {
			return err
		}
	}
	return nil
}

// sendHeldQuarantine has an agent send the reports it holds to an entry that has linked to it: the
// entry may have just started, and all others may have stopped.
func (c *Catalog) sendHeldQuarantine(link *peering.Link) {
	if c.options.Role != RoleAgent || link.Remote().Role != RoleEntry {
		return
	}
	c.mutex.Lock()
	now := time.Since(c.started)
	c.quarantine.archive.Expire(now)
	var reports []quarantineMessage
	for _, report := range c.quarantine.archive.Since(0) {
		reports = append(reports, newQuarantineMessage(report, now))
	}
	c.mutex.Unlock()
	if len(reports) == 0 {
		return
	}
	go func() {
		if err := sendQuarantineReports(link, reports); err != nil {
			// The entry is sent them when it links again.
			c.options.Log.Log(logging.PeerLost, zap.String("peer", link.Remote().ID), zap.Error(err))
		}
	}()
}
