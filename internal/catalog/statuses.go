package catalog

import (
	"net"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// topicStatuses carries agents' status reports between entries.
const topicStatuses = "machine.statuses"

// Intervals and delays of forwarding status reports.
const (
	// statusInterval is how often entries are sent the reports of their own zone's agents,
	// remoteStatusInterval how often those of other zones, whose servers they choose less often.
	statusInterval       = 60 * time.Millisecond
	remoteStatusInterval = 240 * time.Millisecond
	// statusTTL is how long the last report of a silent agent is kept.
	statusTTL = 10 * time.Second
	// backupDelay is how long a report that this entry received directly may go without being
	// forwarded by another entry until this one forwards it in place of the main feeder. It is
	// longer than an agent's longest time between two reports.
	backupDelay = 400 * time.Millisecond
	// remoteSilence is longer than the time between two reports of an agent in another zone: the
	// agent's longest interval plus remoteStatusInterval.
	remoteSilence = 600 * time.Millisecond
	// flushDelay is how long reports that do not wait for the next statusInterval are collected:
	// after a silence of many links they arrive within some ten milliseconds.
	flushDelay = 10 * time.Millisecond
	// remoteFlushInterval is the minimum time between two expedited rounds of reports from or to
	// another zone. A report waits for it at two of up to three hops.
	remoteFlushInterval = statusInterval
)

// statusMessage is the wire form of an agent's status report.
type statusMessage struct {
	Status          fleet.MachineStatus `cbor:"1,keyasint"`
	Zone            string              `cbor:"2,keyasint"`
	AgeMilliseconds int64               `cbor:"3,keyasint"`
	// EndsSilence is set when the report ended a silence of its agent.
	EndsSilence bool `cbor:"4,keyasint,omitempty"`
}

// statusBatch is the wire form of the reports that one entry forwards at once.
type statusBatch struct {
	Statuses []statusMessage `cbor:"1,keyasint,omitempty"`
	// Packed are the compressed reports, for processes that support packingProtocol.
	Packed []byte `cbor:"2,keyasint,omitempty"`
}

// heldStatus is an agent's newest status report.
type heldStatus struct {
	status fleet.MachineStatus
	zone   string
	// at is when the agent sent the report; direct is set if it sent it to this entry.
	at     time.Time
	direct bool
	// sequence orders the reports by when they were stored here.
	sequence uint64
	// relayedAt is when another entry of the zone last forwarded a report of the agent.
	relayedAt time.Time
	// endsSilence is set when the report ended a silence. late is set when it came as late as after
	// a silence: if an agent's reports are always late, only the first ends one.
	endsSilence bool
	late        bool
}

// StatusHandler is called with an agent's status report, when the agent sent it, and whether this
// process received it directly.
type StatusHandler func(status fleet.MachineStatus, at time.Time, direct bool)

// OnStatus registers a function that is called with each newer report of an agent. It must be
// registered before Run.
func (c *Catalog) OnStatus(function StatusHandler) { c.onStatus = function }

func (c *Catalog) handleStatus(link *peering.Link, received *message.Message) {
	status, err := peering.Decode[fleet.MachineStatus](received)
	if err != nil {
		c.rejectFrame(link, err)
		return
	}
	c.mutex.Lock()
	c.recordStamp(link.Remote().ID, status.Stamp, time.Now())
	c.mutex.Unlock()
	status.Stamp = 0
	if probe := status.Probe; probe != 0 {
		status.Probe = 0
		go func() { _ = peering.Send(link, fleet.TopicStatusEcho, "", fleet.StatusEcho{Probe: probe}) }()
	}
	c.applyStatus(heldStatus{status: status, zone: link.Remote().Zone, at: time.Now(), direct: true})
}

func (c *Catalog) handleStatuses(link *peering.Link, received *message.Message) {
	batch, err := peering.Decode[statusBatch](received)
	if err != nil {
		c.rejectFrame(link, err)
		return
	}
	statuses, err := batch.unpack()
	if err != nil {
		c.rejectFrame(link, err)
		return
	}
	now := time.Now()
	isLocal := link.Remote().Zone == c.options.Zone
	for _, wire := range statuses {
		report := heldStatus{status: wire.Status, zone: wire.Zone, at: now.Add(-time.Duration(wire.AgeMilliseconds) * time.Millisecond), endsSilence: wire.EndsSilence}
		if isLocal {
			report.relayedAt = now
		}
		c.applyStatus(report)
	}
}

// sameReportTolerance is the difference of the times up to which two copies count as the same
// report, received by two paths.
const sameReportTolerance = 20 * time.Millisecond

func (c *Catalog) applyStatus(fresh heldStatus) {
	c.mutex.Lock()
	held, known := c.statuses[fresh.status.Address]
	if known && fresh.status.StartTime.Before(held.status.StartTime) && !fresh.direct && fresh.at.Sub(held.at) < statusTTL {
		c.mutex.Unlock()
		return
	}
	if fresh.relayedAt.IsZero() {
		fresh.relayedAt = held.relayedAt
	}
	if known && !fresh.at.After(held.at.Add(sameReportTolerance)) && !(fresh.direct && !held.direct) {
		held.relayedAt = fresh.relayedAt
		c.statuses[fresh.status.Address] = held
		c.mutex.Unlock()
		return
	}
	c.statusSequence++
	fresh.sequence = c.statusSequence
	fresh.recordSilence(held, c.isLate(fresh, held))
	c.statuses[fresh.status.Address] = fresh
	if fresh.endsSilence {
		c.expediteStatuses()
	}
	c.mutex.Unlock()
	if c.onStatus != nil {
		c.onStatus(fresh.status, fresh.at, fresh.direct)
	}
}

// recordSilence records whether a report, which follows an earlier one of its agent, ends a
// silence.
func (h *heldStatus) recordSilence(held heldStatus, late bool) {
	if !h.at.After(held.at.Add(sameReportTolerance)) {
		// The same report, received earlier by another path.
		h.endsSilence, h.late = h.endsSilence || held.endsSilence, held.late
		return
	}
	h.late = late
	h.endsSilence = (h.endsSilence || late) && !held.late
}

// isLate reports whether a report is as late as after a silence of its agent, or of the links it
// came by. A report of an agent of the local zone may well come from another entry, whose link to the
// agent recovered first.
func (c *Catalog) isLate(fresh, held heldStatus) bool {
	gap := fresh.at.Sub(held.at)
	if fresh.zone != c.options.Zone {
		return gap > remoteSilence
	}
	return gap > backupDelay
}

// expediteStatuses has reports sent soon to all entries, including those of other zones: they have
// been waiting for the report of an agent that was silent. The mutex must be held.
func (c *Catalog) expediteStatuses() {
	now := time.Now()
	for _, peer := range c.links {
		peer.expediteRemote(now)
	}
	c.flushAll = true
	c.scheduleFlush()
}

// expediteRemote makes a round of reports to another zone due, at least remoteFlushInterval after
// the last expedited one.
func (p *peerLink) expediteRemote(now time.Time) {
	p.remoteExpedited = true
	if due := p.remoteExpeditedAt.Add(remoteFlushInterval); !due.After(now) {
		p.remoteSentAt = time.Time{}
	} else if sentAt := due.Add(-remoteStatusInterval); sentAt.Before(p.remoteSentAt) {
		p.remoteSentAt = sentAt
	}
}

// scheduleFlush has reports sent before the next statusInterval, but no sooner than that after the
// last flush. The mutex must be held.
func (c *Catalog) scheduleFlush() {
	if c.flushScheduled {
		return
	}
	c.flushScheduled = true
	time.AfterFunc(max(flushDelay, statusInterval-time.Since(c.flushedAt)), func() {
		signal(c.flush)
	})
}

// flushStatuses sends reports before the next statusInterval: to all entries after a silence,
// otherwise only on new links.
func (c *Catalog) flushStatuses() {
	c.mutex.Lock()
	all := c.flushAll
	c.flushScheduled, c.flushAll, c.flushedAt = false, false, time.Now()
	c.mutex.Unlock()
	c.sendStatuses(func(peer *peerLink) bool { return all || peer.unused })
}

// relayStatuses sends each entry the reports it has not been sent: to an entry of the local zone
// those received directly from agents and, as the first gateway, those of other zones; to the
// gateways of other zones all of the local zone.
func (c *Catalog) relayStatuses() { c.sendStatuses(func(*peerLink) bool { return true }) }

// sendStatuses sends reports to the entries selected by wanted.
func (c *Catalog) sendStatuses(wanted func(*peerLink) bool) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expireStatuses(now)
	c.overlay.Advance(now)
	isFirstGateway := c.overlay.Rank() == 0
	batches := map[batchKey][]byte{}
	for _, peer := range c.links {
		if !peer.isEntry() || peer.sendingStatuses || !wanted(peer) {
			continue
		}
		key, due := c.nextBatch(peer, isFirstGateway, now)
		if !due {
			continue
		}
		payload, made := batches[key]
		if !made {
			payload = c.encodeBatch(key, now)
			batches[key] = payload
		}
		if payload == nil {
			continue
		}
		peer.sendingStatuses = true
		go c.publishBatch(peer, peer.link, payload)
	}
}

func (c *Catalog) expireStatuses(now time.Time) {
	for address, held := range c.statuses {
		if now.Sub(held.at) > statusTTL {
			delete(c.statuses, address)
		}
	}
}

// batchKey describes which reports a link is sent. Links with the same key are sent the same bytes.
type batchKey struct {
	// local selects the reports that this entry forwards to its zone, wholeZone all reports of the
	// own zone, for another zone; both after localAfter.
	local      bool
	wholeZone  bool
	localAfter uint64
	// remote selects the reports of other zones after remoteAfter.
	remote      bool
	remoteAfter uint64
	// packed selects the compressed form.
	packed bool
}

// nextBatch returns the key of a link's next batch and marks it as sent; false if none is due. The
// mutex must be held.
func (c *Catalog) nextBatch(peer *peerLink, isFirstGateway bool, now time.Time) (batchKey, bool) {
	isLocal := peer.zone() == c.options.Zone
	// Tolerate a timer that is slightly early, so that a round is not delayed by a whole
	// statusInterval.
	remoteDue := isFirstGateway && now.Sub(peer.remoteSentAt) >= remoteStatusInterval-statusInterval/4
	peer.unused = false
	var key batchKey
	switch {
	case isLocal:
		key = batchKey{local: true, localAfter: peer.localSent, remote: remoteDue}
		if remoteDue {
			key.remoteAfter = peer.remoteSent
		}
	case remoteDue:
		key = batchKey{wholeZone: true, localAfter: peer.localSent}
	default:
		return key, false
	}
	key.packed = readsPacked(peer.link)
	if c.statusSequence == key.localAfter && (!key.remote || c.statusSequence == key.remoteAfter) {
		return key, false
	}
	peer.localSent = c.statusSequence
	if remoteDue {
		peer.remoteSentAt = now
		if peer.remoteExpedited {
			peer.remoteExpedited, peer.remoteExpeditedAt = false, now
		}
		if isLocal {
			peer.remoteSent = c.statusSequence
		}
	}
	return key, true
}

// encodeBatch encodes the reports of a batch, or returns nil if there are none. The mutex must be
// held.
func (c *Catalog) encodeBatch(key batchKey, now time.Time) []byte {
	var batch statusBatch
	for _, held := range c.statuses {
		if c.inBatch(held, key, now) {
			batch.Statuses = append(batch.Statuses, statusMessage{Status: held.status, Zone: held.zone, AgeMilliseconds: now.Sub(held.at).Milliseconds(), EndsSilence: held.endsSilence})
		}
	}
	if len(batch.Statuses) == 0 {
		return nil
	}
	var err error
	if key.packed {
		batch, err = batch.pack()
	}
	var payload []byte
	if err == nil {
		payload, err = cbor.Marshal(batch)
	}
	if err != nil {
		c.options.Log.Log(logging.FrameRejected, zap.Error(&fault.InvalidFrame{Field: topicStatuses, Reason: err.Error()}))
		return nil
	}
	return payload
}

// inBatch reports whether a report belongs to a batch. The mutex must be held.
func (c *Catalog) inBatch(held heldStatus, key batchKey, now time.Time) bool {
	if held.zone != c.options.Zone {
		return key.remote && held.sequence > key.remoteAfter
	}
	if held.sequence <= key.localAfter {
		return false
	}
	return key.wholeZone || (key.local && c.relays(held, now))
}

// relays reports whether this entry forwards an agent's report to its zone: as the agent's main
// feeder, or as its backup when no other entry of the zone has forwarded one for backupDelay. The
// mutex must be held.
func (c *Catalog) relays(held heldStatus, now time.Time) bool {
	if !held.direct {
		return false
	}
	agent, _, err := net.SplitHostPort(held.status.Address)
	if err != nil {
		return false
	}
	feeds, isMain := c.overlay.Feeds(agent, held.zone)
	return isMain || (feeds && now.Sub(held.relayedAt) > backupDelay)
}

func (c *Catalog) publishBatch(peer *peerLink, link *peering.Link, payload []byte) {
	c.finishSend(peer, link, &peer.sendingStatuses, link.Publish(topicStatuses, message.NewMessage("", payload)))
}

// IsBackup reports whether an entry has announced that another entry forwards this agent's reports.
func (c *Catalog) IsBackup(entry string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.backupOf[entry]
}
