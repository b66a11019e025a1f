package catalog

import (
	"context"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// Topics between processes.
const (
	topicUpdate = "catalog.update"
	topicPull   = "catalog.pull"
)

// Times of the exchange.
const (
	// updatePeriod is the pace of signs of life; changes are sent at once.
	updatePeriod = 300 * time.Millisecond
	// linkSilence is the silence after which a link is taken for broken.
	linkSilence = 1500 * time.Millisecond
	// probeAfter is the silence after which a link is probed: early enough for an
	// answer over a slow link to come within linkSilence.
	probeAfter = linkSilence / 2
	// entryMemory is how long an entry that nobody hears is remembered.
	entryMemory = 12 * time.Second
	// listPeriod is how often the list of entries is sent on a link, and farRecent
	// the age up to which an entry of another zone, of which only the list tells,
	// counts as alive.
	listPeriod = 900 * time.Millisecond
	// newListPause is the least time between two lists on a link while entries are new.
	newListPause = 100 * time.Millisecond
	farRecent    = 4 * time.Second
	// gatesPerZone is how many entries of a zone speak with those of others.
	gatesPerZone = 2
	// dialTimeout bounds the making of a link. After the first failure, which at the
	// start means that the other does not listen yet, firstDialPause goes by until the
	// next try; it doubles up to dialPause.
	dialTimeout          = 1200 * time.Millisecond
	firstDialPause       = 100 * time.Millisecond
	dialPause            = 700 * time.Millisecond
	maximumDialDoublings = 3
	// pullAfter is how long the store is given to bring what a peer already has.
	pullAfter = 250 * time.Millisecond
	// feedersPerAgent is how many entries tell each agent the news.
	feedersPerAgent = 2
)

// update is the news of one process. Large records (configurations) are only
// announced, with Heads; whoever lacks one asks for it.
type update struct {
	Records []mirror.Record `cbor:"1,keyasint,omitempty"`
	// AgesMilliseconds tells since when the versions among the records are known.
	AgesMilliseconds map[string]int64 `cbor:"2,keyasint,omitempty"`
	// FreshMilliseconds is the age of the sender's copy.
	FreshMilliseconds int64 `cbor:"3,keyasint"`
	// Heads maps the keys of large records to the revision held.
	Heads map[string]uint64 `cbor:"4,keyasint,omitempty"`
	// Entries maps the entries heard of to the zone and the age of their last sign;
	// it is not in every update.
	Entries map[string]entrySign `cbor:"5,keyasint,omitempty"`
}

type entrySign struct {
	Zone            string `cbor:"1,keyasint"`
	AgeMilliseconds int64  `cbor:"2,keyasint"`
}

// entryPeer is another entry.
type entryPeer struct {
	zone  string
	heard time.Time
}

// outLink is a link to another process that this one makes and sends on.
type outLink struct {
	address string
	// sequence is the catalog's sequence up to which the other was told.
	sequence uint64
	link     *peering.Link
	dialling bool
	nextDial time.Time
	sending  bool
	// statusSequence is up to which the other was told of agents; passing is set
	// while it is being told.
	statusSequence uint64
	passing        bool
	// listedAt is when the other was last sent the list of entries, listedSequence how
	// many entries had been new by then.
	listedAt       time.Time
	listedSequence uint64
	// failures counts the dials in a row that failed.
	failures int
}

// exchange keeps the links and sends the news. Agents only listen.
func (c *Catalog) exchange(ctx context.Context) {
	if c.options.Role == RoleAgent {
		return
	}
	c.mutex.Lock()
	for _, seed := range c.options.Seeds {
		c.entries[seed] = &entryPeer{heard: time.Now()}
	}
	c.mutex.Unlock()
	ticker := time.NewTicker(updatePeriod)
	defer ticker.Stop()
	statusTicker := time.NewTicker(statusPace)
	defer statusTicker.Stop()
	for {
		c.keepLinks(ctx)
		c.sendAll()
		for waiting := true; waiting; {
			select {
			case <-statusTicker.C:
				c.passStatuses()
			case <-ticker.C:
				waiting = false
			case <-c.kick:
				waiting = false
			case <-ctx.Done():
				return
			}
		}
	}
}

// sendAll sends each link what it lacks, or a sign of life.
func (c *Catalog) sendAll() {
	agents := c.View().Agents()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for ip, out := range c.links {
		if out.link == nil || out.sending {
			continue
		}
		_, isAgent := agents[ip]
		withList := !isAgent && c.listDue(out)
		if withList {
			out.listedAt, out.listedSequence = time.Now(), c.entriesSequence
		}
		message := c.compose(out.sequence, withList)
		out.sequence = c.sequence
		out.sending = true
		go c.send(out, out.link, message)
	}
}

// listDue reports whether a link is to be sent the list of entries: from time to time,
// and soon after an entry was new, so that entries that start together know each other
// quickly; the mutex is held.
func (c *Catalog) listDue(out *outLink) bool {
	since := time.Since(out.listedAt)
	return since > listPeriod || (out.listedSequence != c.entriesSequence && since > newListPause)
}

func (c *Catalog) send(out *outLink, link *peering.Link, message update) {
	err := peering.Send(link, topicUpdate, "", message)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	out.sending = false
	if err != nil && out.link == link {
		out.link = nil
	}
}

// compose builds an update with every change after a sequence; the mutex is held.
func (c *Catalog) compose(after uint64, withList bool) update {
	message := update{FreshMilliseconds: time.Since(c.fresh).Milliseconds(), Heads: map[string]uint64{}}
	if c.fresh.IsZero() {
		message.FreshMilliseconds = int64(time.Hour / time.Millisecond)
	}
	for _, record := range c.mirror.All(c.options.Decoder.Prefix()) {
		kind := c.options.Decoder.Kind(record.Key)
		switch {
		case kind == fleet.RecordConfiguration:
			message.Heads[record.Key] = record.Revision
		case c.changedAt[record.Key] > after:
			message.Records = append(message.Records, record)
			if kind == fleet.RecordVersion {
				c.addAge(&message, record)
			}
		}
	}
	if withList {
		message.Entries = map[string]entrySign{}
		for ip, peer := range c.entries {
			message.Entries[ip] = entrySign{Zone: peer.zone, AgeMilliseconds: time.Since(peer.heard).Milliseconds()}
		}
	}
	return message
}

// addAge adds how long ago the version of a record was named, unless that is only
// assumed; the mutex is held.
func (c *Catalog) addAge(message *update, record mirror.Record) {
	named, err := c.options.Decoder.Version(record)
	if err != nil {
		return
	}
	notice, known := c.View().Newest(named.Model)
	if !known || notice.Revision != record.Revision || notice.Assumed {
		return
	}
	if message.AgesMilliseconds == nil {
		message.AgesMilliseconds = map[string]int64{}
	}
	message.AgesMilliseconds[record.Key] = time.Since(notice.Since).Milliseconds()
}

func (c *Catalog) handleUpdate(link *peering.Link, received *message.Message) {
	news, err := peering.Decode[update](received)
	if err != nil {
		c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
		return
	}
	ages := map[string]time.Duration{}
	for key, age := range news.AgesMilliseconds {
		ages[key] = time.Duration(age) * time.Millisecond
	}
	c.mutex.Lock()
	c.heardEntry(link.Remote().ID, link.Remote().Zone, 0)
	for ip, sign := range news.Entries {
		c.heardEntry(ip, sign.Zone, time.Duration(sign.AgeMilliseconds)*time.Millisecond)
	}
	fresh := time.Now().Add(-time.Duration(news.FreshMilliseconds) * time.Millisecond)
	c.noteFresh(fresh)
	lacking := c.lacking(news.Heads)
	c.mutex.Unlock()
	if len(news.Records) > 0 {
		c.takeTold(news.Records, ages)
	}
	if len(lacking) > 0 {
		time.AfterFunc(c.pullDelay(link), func() { c.pullFrom(link, lacking) })
	}
}

// pullDelay leaves the store time to bring a record first where this process
// reads it, and the own zone where another does.
func (c *Catalog) pullDelay(link *peering.Link) time.Duration {
	if c.View().Configuration == nil || (link.Remote().Zone == c.options.Zone && c.zoneRank() > 0) {
		return 0
	}
	return pullAfter
}

// lacking returns the large records that a peer has newer; the mutex is
// held. An agent takes only its first configuration from peers.
func (c *Catalog) lacking(heads map[string]uint64) map[string]uint64 {
	if c.options.Role == RoleAgent && c.view.Load().Configuration != nil {
		return nil
	}
	lacking := map[string]uint64{}
	for key, revision := range heads {
		if held, _ := c.mirror.Get(key); held.Revision < revision {
			lacking[key] = revision
		}
	}
	return lacking
}

func (c *Catalog) pullFrom(link *peering.Link, heads map[string]uint64) {
	c.mutex.Lock()
	wanted := map[string]uint64{}
	for key, revision := range heads {
		if held, _ := c.mirror.Get(key); held.Revision < revision {
			wanted[key] = held.Revision
		}
	}
	c.mutex.Unlock()
	if len(wanted) > 0 {
		_ = peering.Send(link, topicPull, "", pullSince{Held: wanted})
	}
}

// pullSince asks for records that are newer than those held.
type pullSince struct {
	Held map[string]uint64 `cbor:"1,keyasint"`
}

func (c *Catalog) handlePull(link *peering.Link, received *message.Message) {
	request, err := peering.Decode[pullSince](received)
	if err != nil {
		c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
		return
	}
	var answer update
	c.mutex.Lock()
	answer.FreshMilliseconds = int64(time.Hour / time.Millisecond)
	for key, revision := range request.Held {
		if held, present := c.mirror.Get(key); present && held.Revision > revision {
			answer.Records = append(answer.Records, held)
		}
	}
	c.mutex.Unlock()
	if len(answer.Records) == 0 {
		return
	}
	go func() { _ = peering.Send(link, topicUpdate, "", answer) }()
}
