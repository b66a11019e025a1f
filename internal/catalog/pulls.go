package catalog

import (
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/compression"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// Large records, which are configurations, are announced by their revisions. A process that lacks
// one requests it from a process that announced it.

// storeHeadStart is how long the store is given to return what a peer already has.
const storeHeadStart = 250 * time.Millisecond

// pullDelay gives the store time to return a record first if this process reads it, and gives the
// own zone time if another process reads it. The first entry of a zone that is not the first does
// not wait: it reads the store only when no other process does.
func (c *Catalog) pullDelay(link *peering.Link) time.Duration {
	if c.View().Configuration == nil {
		return 0
	}
	rank, zoneRank := c.ranks()
	ownZone := link.Remote().Zone == c.options.Zone
	if (rank > 0 && ownZone) || (rank == 0 && zoneRank > 0) {
		return 0
	}
	return storeHeadStart
}

// missingHeads returns the large records to request. Agents request none: they are sent the part
// that they use. The mutex must be held.
func (c *Catalog) missingHeads(heads map[string]uint64) map[string]uint64 {
	if c.options.Role == RoleAgent {
		return nil
	}
	return c.newerHeads(heads)
}

// newerHeads returns the large records of which a peer has newer revisions. The mutex must be held.
func (c *Catalog) newerHeads(heads map[string]uint64) map[string]uint64 {
	newer := map[string]uint64{}
	for key, revision := range heads {
		if held, _ := c.mirror.Get(key); max(held.Revision, c.servicesRevision) < revision {
			newer[key] = revision
		}
	}
	return newer
}

// pullTimeout is how long the answer to a request for a large record is awaited before another
// process is asked.
const pullTimeout = 300 * time.Millisecond

// pendingPull is a request for a large record.
type pendingPull struct {
	revision    uint64
	requestedAt time.Time
}

// pullFrom requests from a peer the large records that are still older here, unless another peer
// was just asked for them.
func (c *Catalog) pullFrom(link *peering.Link, heads map[string]uint64) {
	now := time.Now()
	c.mutex.Lock()
	wanted := map[string]uint64{}
	for key, revision := range heads {
		held, _ := c.mirror.Get(key)
		pending := c.pulls[key]
		if held.Revision >= revision || (pending.revision >= revision && now.Sub(pending.requestedAt) < pullTimeout) {
			continue
		}
		wanted[key] = held.Revision
		c.pulls[key] = pendingPull{revision: revision, requestedAt: now}
	}
	c.mutex.Unlock()
	if len(wanted) > 0 {
		_ = peering.Send(link, topicPull, "", pullRequest{Held: wanted})
	}
}

// pullRequest requests records newer than those held.
type pullRequest struct {
	Held map[string]uint64 `cbor:"1,keyasint"`
}

func (c *Catalog) handlePull(link *peering.Link, received *message.Message) {
	request, err := peering.Decode[pullRequest](received)
	if err != nil {
		c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
		return
	}
	go c.answerPull(link, request)
}

// answerPull sends the records that a peer requested. It runs apart from the link's reader, which
// would otherwise wait for the compression.
func (c *Catalog) answerPull(link *peering.Link, request pullRequest) {
	var records []mirror.Record
	c.mutex.Lock()
	for key, revision := range request.Held {
		if held, present := c.mirror.Get(key); present && held.Revision > revision {
			records = append(records, held)
		}
	}
	c.mutex.Unlock()
	answer := update{FreshMilliseconds: int64(time.Hour / time.Millisecond)}
	for _, record := range records {
		packed, err := c.packs.pack(record)
		if err != nil {
			c.options.Log.Log(logging.FrameRejected, zap.String("key", record.Key), zap.Error(err))
			continue
		}
		answer.Packed = append(answer.Packed, packed)
	}
	if len(answer.Packed) > 0 {
		_ = peering.Send(link, topicUpdate, "", answer)
	}
}

// packCache compresses large records. It caches the newest form of each key, because a changed
// record is requested by many processes at the same time.
type packCache struct {
	mutex  sync.Mutex
	newest map[string]packedRecord
}

type packedRecord struct {
	revision uint64
	data     []byte
}

// pack encodes and compresses a record; compression.Decode reads it.
func (p *packCache) pack(record mirror.Record) ([]byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known, held := p.newest[record.Key]; held && known.revision == record.Revision {
		return known.data, nil
	}
	data, err := compression.Encode(record)
	if err != nil {
		return nil, err
	}
	if p.newest == nil {
		p.newest = map[string]packedRecord{}
	}
	p.newest[record.Key] = packedRecord{revision: record.Revision, data: data}
	return data, nil
}
