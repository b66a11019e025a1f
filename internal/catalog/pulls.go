package catalog

import (
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/compression"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// Large records, which are configurations, are announced by their heads. A process that lacks
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
func (c *Catalog) missingHeads(heads map[string]recordHead) map[string]recordHead {
	if c.options.Role == RoleAgent {
		return nil
	}
	return c.newerHeads(heads)
}

// newerHeads returns the large records of which a peer has newer ones. The mutex must be held.
func (c *Catalog) newerHeads(heads map[string]recordHead) map[string]recordHead {
	newer := map[string]recordHead{}
	for key, head := range heads {
		if c.mirror.Supersedes(head.record(key)) && (c.servicesHead == recordHead{} || c.mirror.Newer(head.record(key), c.servicesHead.record(key))) {
			newer[key] = head
		}
	}
	return newer
}

// pullTimeout is how long the answer to a request for a large record is awaited before another
// process is asked.
const pullTimeout = 300 * time.Millisecond

// pendingPull is a request for a large record.
type pendingPull struct {
	head        recordHead
	requestedAt time.Time
}

// pullFrom requests from a peer the large records that are still older here, unless another peer
// was just asked for them.
func (c *Catalog) pullFrom(link *peering.Link, heads map[string]recordHead) {
	now := time.Now()
	request := pullRequest{Held: map[string]uint64{}, Heads: map[string]recordHead{}}
	c.mutex.Lock()
	for key, head := range heads {
		pending, requested := c.pulls[key]
		covered := requested && !c.mirror.Newer(head.record(key), pending.head.record(key))
		if !c.mirror.Supersedes(head.record(key)) || (covered && now.Sub(pending.requestedAt) < pullTimeout) {
			continue
		}
		held, _ := c.mirror.Get(key)
		request.Held[key], request.Heads[key] = held.Revision, headOf(held)
		c.pulls[key] = pendingPull{head: head, requestedAt: now}
	}
	c.mutex.Unlock()
	if len(request.Held) > 0 {
		_ = peering.Send(link, topicPull, "", request)
	}
}

// pullRequest requests records newer than those held.
type pullRequest struct {
	// Held are the revisions held, for processes that know no epochs.
	Held map[string]uint64 `cbor:"1,keyasint"`
	// Heads are the records held, nil from processes that know no epochs.
	Heads map[string]recordHead `cbor:"2,keyasint,omitempty"`
}

func (c *Catalog) handlePull(link *peering.Link, received *message.Message) {
	request, err := peering.Decode[pullRequest](received)
	if err != nil {
		c.rejectFrame(link, err)
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
		held, present := c.mirror.Get(key)
		newer := held.Revision > revision
		if head, stated := request.Heads[key]; stated {
			newer = c.mirror.Newer(held, head.record(key))
		}
		if present && newer {
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
	version monotonic.Version
	data    []byte
}

// pack encodes and compresses a record; compression.Decode reads it.
func (p *packCache) pack(record mirror.Record) ([]byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if known, held := p.newest[record.Key]; held && known.version == record.Version() {
		return known.data, nil
	}
	data, err := compression.Encode(record)
	if err != nil {
		return nil, err
	}
	if p.newest == nil {
		p.newest = map[string]packedRecord{}
	}
	p.newest[record.Key] = packedRecord{version: record.Version(), data: data}
	return data, nil
}
