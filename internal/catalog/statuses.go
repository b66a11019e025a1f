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
	// statusPace is how often entries of a zone are told of its agents, farStatusPace
	// how often of those of other zones, which they choose less often.
	statusPace    = 60 * time.Millisecond
	farStatusPace = 240 * time.Millisecond
	// statusMemory is how long the word of an agent that says no more is kept.
	statusMemory = 10 * time.Second
	// backupPause is how long a word that this entry has from the agent itself may be
	// passed on by nobody until it does that in the main feeder's place: longer than an
	// agent's longest time between two words.
	backupPause = 400 * time.Millisecond
	// farPause is longer than the time between two words of an agent of another zone: its own
	// longest and farStatusPace.
	farPause = 600 * time.Millisecond
	// hastePause is how long words gather that are not left to the next statusPace: after a
	// silence of many links they come within some ten milliseconds.
	hastePause = 10 * time.Millisecond
	// farHastePace is the least time between two hastened rounds of words of or to another zone.
	// A word waits for it at two of up to three hops.
	farHastePace = statusPace
)

// toldStatus is an agent's word as it is passed on.
type toldStatus struct {
	Status          fleet.MachineStatus `cbor:"1,keyasint"`
	Zone            string              `cbor:"2,keyasint"`
	AgeMilliseconds int64               `cbor:"3,keyasint"`
	// Back is set when the word has ended a silence of its agent.
	Back bool `cbor:"4,keyasint,omitempty"`
}

// statusBatch is what one entry passes on at once.
type statusBatch struct {
	Statuses []toldStatus `cbor:"1,keyasint,omitempty"`
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
	// passedAt is when another entry of the zone last passed on a word of the agent.
	passedAt time.Time
	// back is set when the word has ended a silence, late when it came as late as after one: those of
	// an agent whose words always come that late end none.
	back bool
	late bool
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
	c.noteStamp(link.Remote().ID, status.Stamp, time.Now())
	c.mutex.Unlock()
	status.Stamp = 0
	if probe := status.Probe; probe != 0 {
		status.Probe = 0
		go func() { _ = peering.Send(link, fleet.TopicStatusEcho, "", fleet.StatusEcho{Probe: probe}) }()
	}
	c.takeStatus(heldStatus{status: status, zone: link.Remote().Zone, at: time.Now(), direct: true})
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
		passed := heldStatus{status: told.Status, zone: told.Zone, at: now.Add(-time.Duration(told.AgeMilliseconds) * time.Millisecond), back: told.Back}
		if near {
			passed.passedAt = now
		}
		c.takeStatus(passed)
	}
}

// sameMoment is the difference up to which two accounts of a word are taken for
// the same word, which has come by two ways.
const sameMoment = 20 * time.Millisecond

func (c *Catalog) takeStatus(fresh heldStatus) {
	c.mutex.Lock()
	held, known := c.statuses[fresh.status.Address]
	if known && fresh.status.Born.Before(held.status.Born) && !fresh.direct && fresh.at.Sub(held.at) < statusMemory {
		c.mutex.Unlock()
		return
	}
	if fresh.passedAt.IsZero() {
		fresh.passedAt = held.passedAt
	}
	if known && !fresh.at.After(held.at.Add(sameMoment)) && !(fresh.direct && !held.direct) {
		held.passedAt = fresh.passedAt
		c.statuses[fresh.status.Address] = held
		c.mutex.Unlock()
		return
	}
	c.statusSequence++
	fresh.sequence = c.statusSequence
	fresh.continues(held, c.isLate(fresh, held))
	c.statuses[fresh.status.Address] = fresh
	if fresh.back {
		c.hastenStatuses()
	}
	c.mutex.Unlock()
	if c.onStatus != nil {
		c.onStatus(fresh.status, fresh.at, fresh.direct)
	}
}

// continues notes whether a word that follows another one of its agent ends a silence.
func (h *heldStatus) continues(held heldStatus, late bool) {
	if !h.at.After(held.at.Add(sameMoment)) {
		// The same word, which has come by another way before.
		h.back, h.late = h.back || held.back, held.late
		return
	}
	h.late = late
	h.back = (h.back || late) && !held.late
}

// isLate reports whether a word comes as late as after a silence of its agent, or of what its words
// come by. The word of an agent of the own zone may as well come from another entry, whose link to the agent
// works again before the own one.
func (c *Catalog) isLate(fresh, held heldStatus) bool {
	pause := fresh.at.Sub(held.at)
	if fresh.zone != c.options.Zone {
		return pause > farPause
	}
	return pause > backupPause
}

// hastenStatuses has all entries told soon, those of other zones too: they have waited for the
// word of an agent that had fallen silent. The mutex is held.
func (c *Catalog) hastenStatuses() {
	now := time.Now()
	for _, peer := range c.links {
		peer.hastenFar(now)
	}
	c.hasteAll = true
	c.passSoon()
}

// hastenFar makes a round of words to another zone due, farHastePace after the last hastened one.
func (p *peerLink) hastenFar(now time.Time) {
	p.farHastened = true
	if due := p.farHastenedAt.Add(farHastePace); !due.After(now) {
		p.farToldAt = time.Time{}
	} else if toldAt := due.Add(-farStatusPace); toldAt.Before(p.farToldAt) {
		p.farToldAt = toldAt
	}
}

// passSoon has statuses passed on before the next statusPace, though no sooner than that after the
// last time; the mutex is held.
func (c *Catalog) passSoon() {
	if c.hastened {
		return
	}
	c.hastened = true
	time.AfterFunc(max(hastePause, statusPace-time.Since(c.hastenedAt)), func() {
		signal(c.haste)
	})
}

// passHastened passes on statuses before the next statusPace: to all entries after a silence, else to
// those alone whose links are new.
func (c *Catalog) passHastened() {
	c.mutex.Lock()
	all := c.hasteAll
	c.hastened, c.hasteAll, c.hastenedAt = false, false, time.Now()
	c.mutex.Unlock()
	c.pass(func(peer *peerLink) bool { return all || peer.untold })
}

// passStatuses sends each entry what it has not heard of agents: those of the own
// zone what the agents have said here, and as the first gate what other zones' have;
// the gates of other zones everything of the own zone.
func (c *Catalog) passStatuses() { c.pass(func(*peerLink) bool { return true }) }

// pass sends statuses to the entries that are wanted.
func (c *Catalog) pass(wanted func(*peerLink) bool) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.forgetStatuses(now)
	c.overlay.Advance(now)
	firstGate := c.overlay.Rank() == 0
	batches := map[batchKey][]byte{}
	for _, peer := range c.links {
		if !peer.isEntry() || peer.passing || !wanted(peer) {
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
		peer.passing = true
		go c.passBatch(peer, peer.link, payload)
	}
}

func (c *Catalog) forgetStatuses(now time.Time) {
	for address, held := range c.statuses {
		if now.Sub(held.at) > statusMemory {
			delete(c.statuses, address)
		}
	}
}

// batchKey tells which statuses a link is to be sent. Links with the same one are sent
// the same bytes.
type batchKey struct {
	// near asks for what this entry passes on to its zone, after nearAfter; ofZone for
	// all statuses of the own zone, which another zone is sent, after the same.
	near      bool
	ofZone    bool
	nearAfter uint64
	// far asks for those of other zones after farAfter.
	far      bool
	farAfter uint64
	// packed asks for the compressed form.
	packed bool
}

// nextBatch takes the next batch of a link, and reports whether there is one; the
// mutex is held.
func (c *Catalog) nextBatch(peer *peerLink, firstGate bool, now time.Time) (batchKey, bool) {
	isNear := peer.zone() == c.options.Zone
	// A timer that is a little early does not put others off by a whole statusPace.
	farDue := firstGate && now.Sub(peer.farToldAt) >= farStatusPace-statusPace/4
	peer.untold = false
	var key batchKey
	switch {
	case isNear:
		key = batchKey{near: true, nearAfter: peer.nearTold, far: farDue}
		if farDue {
			key.farAfter = peer.farTold
		}
	case farDue:
		key = batchKey{ofZone: true, nearAfter: peer.nearTold}
	default:
		return key, false
	}
	key.packed = readsPacked(peer.link)
	if c.statusSequence == key.nearAfter && (!key.far || c.statusSequence == key.farAfter) {
		return key, false
	}
	peer.nearTold = c.statusSequence
	if farDue {
		peer.farToldAt = now
		if peer.farHastened {
			peer.farHastened, peer.farHastenedAt = false, now
		}
		if isNear {
			peer.farTold = c.statusSequence
		}
	}
	return key, true
}

// encodeBatch encodes the statuses of a batch, or returns nil if there are none; the
// mutex is held.
func (c *Catalog) encodeBatch(key batchKey, now time.Time) []byte {
	var batch statusBatch
	for _, held := range c.statuses {
		if c.belongs(held, key, now) {
			batch.Statuses = append(batch.Statuses, toldStatus{Status: held.status, Zone: held.zone, AgeMilliseconds: now.Sub(held.at).Milliseconds(), Back: held.back})
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

// belongs reports whether an agent's word is part of a batch; the mutex is held.
func (c *Catalog) belongs(held heldStatus, key batchKey, now time.Time) bool {
	if held.zone != c.options.Zone {
		return key.far && held.sequence > key.farAfter
	}
	if held.sequence <= key.nearAfter {
		return false
	}
	return key.ofZone || (key.near && c.passesOn(held, now))
}

// passesOn reports whether this entry passes an agent's word on to its zone: as the
// main feeder of that agent, or in the place of one that does not. The mutex is held.
func (c *Catalog) passesOn(held heldStatus, now time.Time) bool {
	if !held.direct {
		return false
	}
	agent, _, err := net.SplitHostPort(held.status.Address)
	if err != nil {
		return false
	}
	feeds, main := c.overlay.Feeds(agent, held.zone)
	return main || (feeds && now.Sub(held.passedAt) > backupPause)
}

func (c *Catalog) passBatch(peer *peerLink, link *peering.Link, payload []byte) {
	c.sent(peer, link, &peer.passing, link.Publish(topicStatuses, message.NewMessage("", payload)))
}

// IsBackup reports whether an entry has said that another one passes on this agent's
// words.
func (c *Catalog) IsBackup(entry string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.backupOf[entry]
}
