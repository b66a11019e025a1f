package catalog

import (
	"net"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// topicStatuses carries what agents have said from entry to entry.
const topicStatuses = "machine.statuses"

// statusPace is how often entries pass on what agents have said.
const statusPace = 60 * time.Millisecond

// toldStatus is an agent's word as it is passed on.
type toldStatus struct {
	Status          fleet.MachineStatus `cbor:"1,keyasint"`
	Zone            string              `cbor:"2,keyasint"`
	AgeMilliseconds int64               `cbor:"3,keyasint"`
}

// statusBatch is what one entry passes on at once.
type statusBatch struct {
	Statuses []toldStatus `cbor:"1,keyasint"`
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
}

// OnStatus registers a function that is called with each newer word of an agent
// and the time of that word. It must be registered before Run.
func (c *Catalog) OnStatus(function func(status fleet.MachineStatus, at time.Time)) {
	c.onStatus = function
}

func (c *Catalog) handleStatus(link *peering.Link, received *message.Message) {
	status, err := peering.Decode[fleet.MachineStatus](received)
	if err != nil {
		c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
		return
	}
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
	now := time.Now()
	for _, told := range batch.Statuses {
		c.takeStatus(heldStatus{status: told.Status, zone: told.Zone, at: now.Add(-time.Duration(told.AgeMilliseconds) * time.Millisecond)})
	}
}

// sameMoment is the difference up to which two accounts of a word are taken for
// the same word, which has come by two ways.
const sameMoment = 20 * time.Millisecond

func (c *Catalog) takeStatus(fresh heldStatus) {
	c.mutex.Lock()
	held, known := c.statuses[fresh.status.Address]
	if known && !fresh.at.After(held.at.Add(sameMoment)) && !(fresh.direct && !held.direct) {
		c.mutex.Unlock()
		return
	}
	c.statusSequence++
	fresh.sequence = c.statusSequence
	c.statuses[fresh.status.Address] = fresh
	c.mutex.Unlock()
	if c.onStatus != nil {
		c.onStatus(fresh.status, fresh.at)
	}
}

// statusMemory is how long the word of an agent that says no more is kept.
const statusMemory = 10 * time.Second

// passStatuses sends each entry what it has not heard of agents: those of the own
// zone what the agents have said here, and as a gate what other zones' have; the
// gates of other zones everything of the own zone.
func (c *Catalog) passStatuses() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for address, held := range c.statuses {
		if now.Sub(held.at) > statusMemory {
			delete(c.statuses, address)
		}
	}
	firstGate := c.gates(c.options.Zone)[0] == c.options.Self
	for ip, out := range c.links {
		peer, isEntry := c.entries[ip]
		if !isEntry || out.link == nil || out.passing || out.statusSequence == c.statusSequence {
			continue
		}
		var batch statusBatch
		for _, held := range c.statuses {
			if held.sequence > out.statusSequence && c.passes(held, peer.zone, firstGate) {
				batch.Statuses = append(batch.Statuses, toldStatus{Status: held.status, Zone: held.zone, AgeMilliseconds: now.Sub(held.at).Milliseconds()})
			}
		}
		out.statusSequence = c.statusSequence
		if len(batch.Statuses) == 0 {
			continue
		}
		out.passing = true
		go c.pass(out, out.link, batch)
	}
}

// passes reports whether an agent's word is to be passed on to an entry of a zone.
// Of the entries that could do it, the first does; when it falls silent another is
// first. The mutex is held.
func (c *Catalog) passes(held heldStatus, zone string, firstGate bool) bool {
	switch {
	case held.zone != c.options.Zone:
		return zone == c.options.Zone && firstGate
	case zone != c.options.Zone:
		return firstGate
	}
	return held.direct && c.isFirstFeeder(held)
}

// isFirstFeeder reports whether this entry is the first of those that an agent
// speaks with; the mutex is held.
func (c *Catalog) isFirstFeeder(held heldStatus) bool {
	agent, _, err := net.SplitHostPort(held.status.Address)
	return err == nil && c.feedersOf(agent, held.zone)[0] == c.options.Self
}

func (c *Catalog) pass(out *outLink, link *peering.Link, batch statusBatch) {
	err := peering.Send(link, topicStatuses, "", batch)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	out.passing = false
	if err != nil && out.link == link {
		out.link = nil
	}
}
