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

// topicStatuses carries what agents have said from entry to entry.
const topicStatuses = "machine.statuses"

// Times of passing on what agents have said.
const (
	// statusInterval is how often entries of a zone are told of its agents, farStatusPace
	// how often of those of other zones, which they choose less often.
	statusInterval       = 60 * time.Millisecond
	remoteStatusInterval = 240 * time.Millisecond
	// statusTTL is how long the word of an agent that says no more is kept.
	statusTTL = 10 * time.Second
	// backupDelay is how long a word that this entry has from the agent itself may be
	// passed on by nobody until it does that in the main feeder's place: longer than an
	// agent's longest time between two words.
	backupDelay = 400 * time.Millisecond
	// remoteSilence is longer than the time between two words of an agent of another zone: its own
	// longest and farStatusPace.
	remoteSilence = 600 * time.Millisecond
	// flushDelay is how long words gather that are not left to the next statusPace: after a
	// silence of many links they come within some ten milliseconds.
	flushDelay = 10 * time.Millisecond
	// remoteFlushInterval is the least time between two hastened rounds of words of or to another zone.
	// A word waits for it at two of up to three hops.
	remoteFlushInterval = statusInterval
)

// statusMessage is an agent's word as it is passed on.
type statusMessage struct {
	Status          fleet.MachineStatus `cbor:"1,keyasint"`
	Zone            string              `cbor:"2,keyasint"`
	AgeMilliseconds int64               `cbor:"3,keyasint"`
	// EndsSilence is set when the word has ended a silence of its agent.
	EndsSilence bool `cbor:"4,keyasint,omitempty"`
}

// statusBatch is what one entry passes on at once.
type statusBatch struct {
	Statuses []statusMessage `cbor:"1,keyasint,omitempty"`
	// Packed are the statuses, compressed, for processes that read packingProtocol.
	Packed []byte `cbor:"2,keyasint,omitempty"`
}

// heldStatus is an agent's newest word.
type heldStatus struct {
	status fleet.MachineStatus
	zone   string
	// at is when the agent said it; direct that it said so to this entry.
	at     time.Time
	direct bool
	// sequence orders the changes, for the links.
	sequence uint64
	// relayedAt is when another entry of the zone last passed on a word of the agent.
	relayedAt time.Time
	// endsSilence is set when the word has ended a silence, late when it came as late as after one: those of
	// an agent whose words always come that late end none.
	endsSilence bool
	late        bool
}

// StatusHandler is told an agent's word, when the agent said it, and whether it said
// so to this process itself.
type StatusHandler func(status fleet.MachineStatus, at time.Time, direct bool)

// OnStatus registers a function that is called with each newer word of an agent. It
// must be registered before Run.
func (c *Catalog) OnStatus(function StatusHandler) { c.onStatus = function }

func (c *Catalog) handleStatus(link *peering.Link, received *message.Message) {
	status, err := peering.Decode[fleet.MachineStatus](received)
	if err != nil {
		c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
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
		c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
		return
	}
	statuses, err := batch.unpack()
	if err != nil {
		c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
		return
	}
	now := time.Now()
	near := link.Remote().Zone == c.options.Zone
	for _, told := range statuses {
		passed := heldStatus{status: told.Status, zone: told.Zone, at: now.Add(-time.Duration(told.AgeMilliseconds) * time.Millisecond), endsSilence: told.EndsSilence}
		if near {
			passed.relayedAt = now
		}
		c.applyStatus(passed)
	}
}

// sameReportTolerance is the difference up to which two accounts of a word are taken for
// the same word, which has come by two ways.
const sameReportTolerance = 20 * time.Millisecond

func (c *Catalog) applyStatus(fresh heldStatus) {
	c.mutex.Lock()
	held, known := c.statuses[fresh.status.Address]
	if known && fresh.status.Born.Before(held.status.Born) && !fresh.direct && fresh.at.Sub(held.at) < statusTTL {
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

// recordSilence notes whether a word that follows another one of its agent ends a silence.
func (h *heldStatus) recordSilence(held heldStatus, late bool) {
	if !h.at.After(held.at.Add(sameReportTolerance)) {
		// The same word, which has come by another way before.
		h.endsSilence, h.late = h.endsSilence || held.endsSilence, held.late
		return
	}
	h.late = late
	h.endsSilence = (h.endsSilence || late) && !held.late
}

// isLate reports whether a word comes as late as after a silence of its agent, or of what its words
// come by. The word of an agent of the own zone may as well come from another entry, whose link to the agent
// works again before the own one.
func (c *Catalog) isLate(fresh, held heldStatus) bool {
	pause := fresh.at.Sub(held.at)
	if fresh.zone != c.options.Zone {
		return pause > remoteSilence
	}
	return pause > backupDelay
}

// expediteStatuses has all entries told soon, those of other zones too: they have waited for the
// word of an agent that had fallen silent. The mutex is held.
func (c *Catalog) expediteStatuses() {
	now := time.Now()
	for _, peer := range c.links {
		peer.expediteRemote(now)
	}
	c.flushAll = true
	c.scheduleFlush()
}

// expediteRemote makes a round of words to another zone due, farHastePace after the last hastened one.
func (p *peerLink) expediteRemote(now time.Time) {
	p.remoteExpedited = true
	if due := p.remoteExpeditedAt.Add(remoteFlushInterval); !due.After(now) {
		p.remoteSentAt = time.Time{}
	} else if toldAt := due.Add(-remoteStatusInterval); toldAt.Before(p.remoteSentAt) {
		p.remoteSentAt = toldAt
	}
}

// scheduleFlush has statuses passed on before the next statusPace, though no sooner than that after the
// last time; the mutex is held.
func (c *Catalog) scheduleFlush() {
	if c.flushScheduled {
		return
	}
	c.flushScheduled = true
	time.AfterFunc(max(flushDelay, statusInterval-time.Since(c.flushedAt)), func() {
		signal(c.flush)
	})
}

// flushStatuses passes on statuses before the next statusPace: to all entries after a silence, else to
// those alone whose links are new.
func (c *Catalog) flushStatuses() {
	c.mutex.Lock()
	all := c.flushAll
	c.flushScheduled, c.flushAll, c.flushedAt = false, false, time.Now()
	c.mutex.Unlock()
	c.sendStatuses(func(peer *peerLink) bool { return all || peer.unused })
}

// relayStatuses sends each entry what it has not heard of agents: those of the own
// zone what the agents have said here, and as the first gate what other zones' have;
// the gates of other zones everything of the own zone.
func (c *Catalog) relayStatuses() { c.sendStatuses(func(*peerLink) bool { return true }) }

// sendStatuses sends statuses to the entries that are wanted.
func (c *Catalog) sendStatuses(wanted func(*peerLink) bool) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expireStatuses(now)
	c.overlay.Advance(now)
	firstGate := c.overlay.Rank() == 0
	batches := map[batchKey][]byte{}
	for _, peer := range c.links {
		if !peer.isEntry() || peer.sendingStatuses || !wanted(peer) {
			continue
		}
		key, due := c.nextBatch(peer, firstGate, now)
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

// batchKey tells which statuses a link is to be sent. Links with the same one are sent
// the same bytes.
type batchKey struct {
	// local asks for what this entry passes on to its zone, after nearAfter; ofZone for
	// all statuses of the own zone, which another zone is sent, after the same.
	local      bool
	wholeZone  bool
	localAfter uint64
	// remote asks for those of other zones after farAfter.
	remote      bool
	remoteAfter uint64
	// packed asks for the compressed form.
	packed bool
}

// nextBatch takes the next batch of a link, and reports whether there is one; the
// mutex is held.
func (c *Catalog) nextBatch(peer *peerLink, firstGate bool, now time.Time) (batchKey, bool) {
	isNear := peer.zone() == c.options.Zone
	// A timer that is a little early does not put others off by a whole statusPace.
	farDue := firstGate && now.Sub(peer.remoteSentAt) >= remoteStatusInterval-statusInterval/4
	peer.unused = false
	var key batchKey
	switch {
	case isNear:
		key = batchKey{local: true, localAfter: peer.localSent, remote: farDue}
		if farDue {
			key.remoteAfter = peer.remoteSent
		}
	case farDue:
		key = batchKey{wholeZone: true, localAfter: peer.localSent}
	default:
		return key, false
	}
	key.packed = readsPacked(peer.link)
	if c.statusSequence == key.localAfter && (!key.remote || c.statusSequence == key.remoteAfter) {
		return key, false
	}
	peer.localSent = c.statusSequence
	if farDue {
		peer.remoteSentAt = now
		if peer.remoteExpedited {
			peer.remoteExpedited, peer.remoteExpeditedAt = false, now
		}
		if isNear {
			peer.remoteSent = c.statusSequence
		}
	}
	return key, true
}

// encodeBatch encodes the statuses of a batch, or returns nil if there are none; the
// mutex is held.
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

// inBatch reports whether an agent's word is part of a batch; the mutex is held.
func (c *Catalog) inBatch(held heldStatus, key batchKey, now time.Time) bool {
	if held.zone != c.options.Zone {
		return key.remote && held.sequence > key.remoteAfter
	}
	if held.sequence <= key.localAfter {
		return false
	}
	return key.wholeZone || (key.local && c.relays(held, now))
}

// relays reports whether this entry passes an agent's word on to its zone: as the
// main feeder of that agent, or in the place of one that does not. The mutex is held.
func (c *Catalog) relays(held heldStatus, now time.Time) bool {
	if !held.direct {
		return false
	}
	agent, _, err := net.SplitHostPort(held.status.Address)
	if err != nil {
		return false
	}
	feeds, main := c.overlay.Feeds(agent, held.zone)
	return main || (feeds && now.Sub(held.relayedAt) > backupDelay)
}

func (c *Catalog) publishBatch(peer *peerLink, link *peering.Link, payload []byte) {
	c.finishSend(peer, link, &peer.sendingStatuses, link.Publish(topicStatuses, message.NewMessage("", payload)))
}

// IsBackup reports whether an entry has said that another one passes on this agent's
// words.
func (c *Catalog) IsBackup(entry string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.backupOf[entry]
}
