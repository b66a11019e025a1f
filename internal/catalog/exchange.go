package catalog

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/internal/compression"
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
	// updatePeriod is the pace of updates between entries, which are signs of life too;
	// agentUpdatePeriod that of updates to agents, which need to know of silence later.
	// Urgent changes are sent at once.
	updatePeriod      = 300 * time.Millisecond
	agentUpdatePeriod = 600 * time.Millisecond
	// listPeriod is how often the list of entries is sent on a link whose other end does not know
	// the same ones.
	listPeriod = 900 * time.Millisecond
	// newListPause is the least time between two lists on a link while entries are new.
	newListPause = 100 * time.Millisecond
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
	// Digest sums up the sender's records without the large ones; 0 when it does not
	// say. A receiver whose own is the same need not send any.
	Digest uint64 `cbor:"6,keyasint,omitempty"`
	// Backup tells an agent that another entry passes on its words, so that this one
	// need not hear every one of them.
	Backup bool `cbor:"7,keyasint,omitempty"`
	// Complete is the store's revision up to which the sender has heard of every change;
	// 0 when it does not know.
	Complete uint64 `cbor:"8,keyasint,omitempty"`
	// Packed are large records, compressed one by one.
	Packed [][]byte `cbor:"9,keyasint,omitempty"`
	// KnownMilliseconds is the time since the sender's copy was surely complete, cut up to
	// a whole one; 0 when it does not know.
	KnownMilliseconds int64 `cbor:"10,keyasint,omitempty"`
	// Stamp is the sender's stamp of the moment of sending. Echo is the newest stamp that it
	// has of the receiver, 0 for none, and EchoHeld for how many milliseconds it has had it.
	Stamp    int64 `cbor:"11,keyasint,omitempty"`
	Echo     int64 `cbor:"12,keyasint,omitempty"`
	EchoHeld int64 `cbor:"13,keyasint,omitempty"`
	// Namings are the named versions that the sender knows.
	Namings []naming `cbor:"14,keyasint,omitempty"`
	// Services tell an agent the part of the newest configuration that it acts on.
	Services *publishedServices `cbor:"15,keyasint,omitempty"`
	// Roster sums up the entries that the sender knows, in place of Entries between processes
	// that know the same; nil from builds that always send the list.
	Roster *roster `cbor:"16,keyasint,omitempty"`
	// Capacity is the sender's, as in entrySign.
	Capacity int `cbor:"17,keyasint,omitempty"`
	// Bundle are records, compressed together, for processes that read packingProtocol.
	Bundle []byte `cbor:"18,keyasint,omitempty"`
}

// exchange keeps the links and sends the news. Agents only listen.
func (c *Catalog) exchange(ctx context.Context) {
	if c.options.Role == RoleAgent {
		return
	}
	c.mutex.Lock()
	for _, seed := range c.options.Seeds {
		c.hearEntry(seed, entrySign{})
	}
	c.mutex.Unlock()
	ticker := time.NewTicker(updatePeriod)
	defer ticker.Stop()
	statusTicker := time.NewTicker(statusPace)
	defer statusTicker.Stop()
	linkTimer := time.NewTimer(linkLook)
	defer linkTimer.Stop()
	for {
		c.keepLinks(ctx)
		// First, so that an entry that starts hears of it before it has servers to send to.
		c.passQuarantine()
		c.passAsks()
		c.sendUpdates()
		for waiting := true; waiting; {
			select {
			case <-statusTicker.C:
				c.passStatuses()
				c.passHealth()
			case <-linkTimer.C:
				linkTimer.Reset(c.checkLinks(ctx))
			case <-c.haste:
				c.passHastened()
			case <-c.quarantine.fresh:
				c.passQuarantine()
			case <-c.asks.fresh:
				c.passAsks()
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

// kickExchange has the links looked after and the urgent news sent at once.
func (c *Catalog) kickExchange() { signal(c.kick) }

// signal wakes who waits on a channel of one place, once for any number of signals.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// isRelay reports whether this process passes on what others of its zone have said; the mutex is held.
func (c *Catalog) isRelay() bool {
	rank := c.overlay.Rank()
	return rank >= 0 && rank < relaysPerZone
}

// sendUpdates sends each link that is due what it lacks, or a sign of life.
func (c *Catalog) sendUpdates() {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	aged := sync.OnceValue(func() *roster { return rosterOf(c.overlay.Roster(now)) })
	for ip, peer := range c.links {
		if peer.link == nil || peer.sending || !c.updateDue(peer, now) {
			continue
		}
		message := c.compose(peer)
		if peer.isEntry() {
			c.addEntries(&message, peer, now, aged)
		} else {
			_, main := c.overlay.Feeds(ip, peer.zone())
			message.Backup = !main
			message.Services = c.servicesFor(peer)
		}
		if peer.compared {
			peer.sequence = c.changes.Sequence()
		}
		peer.sending, peer.updatedAt, peer.freshTold = true, now, c.freshSequence
		go c.send(peer, peer.link, message)
	}
}

// updateDue reports whether a link is to be sent an update now: at its pace, and at
// once when there is something urgent to tell. Entries of other zones are told at once
// what the store has answered to this one, be it that nothing has changed, and everything
// else at their pace. The mutex is held.
func (c *Catalog) updateDue(peer *peerLink, now time.Time) bool {
	period := updatePeriod
	if !peer.isEntry() {
		period = agentUpdatePeriod
	}
	// An update of which the timer is a little early is not put off by a whole tick.
	if now.Sub(peer.updatedAt) >= period-updatePeriod/4 {
		return true
	}
	if !peer.isEntry() {
		return c.urgent > peer.sequence
	}
	if peer.zone() != c.options.Zone {
		return c.freshFromStore > peer.freshTold
	}
	return (peer.compared && c.urgent > peer.sequence) || c.freshSequence > peer.freshTold || c.newEntriesDue(peer, now)
}

func (c *Catalog) send(peer *peerLink, link *peering.Link, message update) {
	c.sent(peer, link, &peer.sending, peering.Send(link, topicUpdate, "", message))
}

// sent notes that a send over a link has ended, of which a flag of the peer says that it was under
// way. A link that has failed is made anew.
func (c *Catalog) sent(peer *peerLink, link *peering.Link, underWay *bool, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	*underWay = false
	if err != nil && peer.link == link {
		peer.link = nil
		c.kickExchange()
	}
}

// compose builds an update with every change that a link was not told, once it is
// known how far the other process's records differ; the mutex is held.
func (c *Catalog) compose(peer *peerLink) update {
	now := time.Now()
	message := update{FreshMilliseconds: now.Sub(c.fresh).Milliseconds(), Heads: maps.Clone(c.heads), Digest: c.changes.Digest(), Complete: c.complete}
	message.Stamp = c.stamp(now)
	message.Echo, message.EchoHeld = peer.stamps.echo(now)
	if since, known := c.known.longest(now); known {
		message.KnownMilliseconds = since.Milliseconds() + 1
	}
	if c.fresh.IsZero() {
		message.FreshMilliseconds = int64(time.Hour / time.Millisecond)
	}
	message.Namings = c.namings(now)
	if peer.compared {
		c.addChanges(&message, peer)
	}
	return message
}

// addChanges adds the records that have changed since a link was last told; the mutex is held.
func (c *Catalog) addChanges(message *update, peer *peerLink) {
	var records []mirror.Record
	for _, key := range c.changes.After(peer.sequence) {
		record, known := c.mirror.Lookup(key)
		if !known {
			continue
		}
		records = append(records, record)
		if c.options.Decoder.Kind(key) == fleet.RecordVersion {
			c.addAge(message, record)
		}
	}
	c.addRecords(message, peer.link, peer.sequence, records)
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
	message.AgesMilliseconds[record.Key] = time.Since(notice.Since).Milliseconds() + 1
}

func (c *Catalog) handleUpdate(link *peering.Link, received *message.Message) {
	news, err := peering.Decode[update](received)
	if err != nil {
		c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
		return
	}
	now := time.Now()
	flight, flightKnown := flightOf(c.started, news.Echo, news.EchoHeld, now)
	ages := map[string]word{}
	for key, age := range news.AgesMilliseconds {
		ages[key] = word{age: time.Duration(age) * time.Millisecond, flight: flight, flightKnown: flightKnown, received: now}
	}
	c.mutex.Lock()
	c.noteStamp(link.Remote().ID, news.Stamp, now)
	c.backupOf[link.Remote().ID] = news.Backup
	c.takeEntries(link.Remote(), news, now)
	c.toldAt = time.Now()
	c.noteToldFresh(link.Remote().Zone, c.toldAt.Add(-time.Duration(news.FreshMilliseconds)*time.Millisecond))
	lacking := c.lacking(news.Heads)
	c.mutex.Unlock()
	if news.Records, err = news.unbundle(); err != nil {
		c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
	}
	for _, packed := range news.Packed {
		record, err := compression.Decode[mirror.Record](packed)
		if err != nil {
			c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
			continue
		}
		news.Records = append(news.Records, record)
	}
	if len(news.Records) > 0 {
		c.takeTold(news.Records, ages)
	}
	if news.Services != nil {
		c.takeServices(link, *news.Services)
	}
	if flightKnown {
		c.takeNamings(news.Namings, flight, now)
	}
	if c.compare(link.Remote().ID, news) {
		c.mutex.Lock()
		c.noteToldKnown(news, flight, flightKnown, now)
		c.mutex.Unlock()
	}
	if len(lacking) > 0 {
		time.AfterFunc(c.pullDelay(link), func() { c.pullFrom(link, lacking) })
	}
}

// freshStep is the least progress of its freshness that the first entry of a zone passes
// on at once, when it hears of it from another zone.
const freshStep = 200 * time.Millisecond

// noteToldFresh notes how fresh the copy is by the word of an entry of a zone; the mutex
// is held.
func (c *Catalog) noteToldFresh(zone string, at time.Time) {
	progress := at.Sub(c.fresh)
	c.noteFresh(at)
	if zone != c.options.Zone && progress >= freshStep && c.overlay.Rank() == 0 {
		c.freshSequence++
		c.kickExchange()
	}
}

// compare notes whether another process holds the same records. If it does, it need
// not be told what has changed, and this process has heard of every change that the
// other has, which is reported; the first time that it does not, it is told everything.
func (c *Catalog) compare(ip string, news update) (complete bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	same := news.Digest == c.changes.Digest()
	complete = same && len(c.newerHeads(news.Heads)) == 0
	if complete {
		c.complete = max(c.complete, news.Complete)
	}
	peer, linked := c.links[ip]
	if !linked {
		return complete
	}
	if same {
		peer.sequence = c.changes.Sequence()
	} else if !peer.compared {
		peer.updatedAt = time.Time{}
		c.kickExchange()
	}
	peer.compared = true
	return complete
}
