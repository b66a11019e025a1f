package catalog

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/compression"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// Topics of messages between processes.
const (
	topicUpdate = "catalog.update"
	topicPull   = "catalog.pull"
)

// Intervals of the exchange.
const (
	// updateInterval is the interval of updates between entries, which also serve as heartbeats;
	// agentUpdateInterval is that of updates to agents, which can detect silence later. Urgent
	// changes are sent at once.
	updateInterval      = 300 * time.Millisecond
	agentUpdateInterval = 600 * time.Millisecond
	// listInterval is how often the list of entries is sent on a link whose peer knows other
	// entries.
	listInterval = 900 * time.Millisecond
	// minListInterval is the minimum time between two lists on a link when entries are new.
	minListInterval = 100 * time.Millisecond
)

// update carries the changes of one process. Large records (configurations) are only announced,
// with Heads, and sent on request.
type update struct {
	Records []mirror.Record `cbor:"1,keyasint,omitempty"`
	// AgesMilliseconds are the ages of the versions among the records.
	AgesMilliseconds map[string]int64 `cbor:"2,keyasint,omitempty"`
	// FreshMilliseconds is the age of the sender's copy.
	FreshMilliseconds int64 `cbor:"3,keyasint"`
	// Heads maps the keys of large records to the revision held.
	Heads map[string]uint64 `cbor:"4,keyasint,omitempty"`
	// Entries maps the known entries to their zone and the age of their last heartbeat. Not every
	// update has it.
	Entries map[string]entryHeartbeat `cbor:"5,keyasint,omitempty"`
	// Digest is the digest of the sender's records without the large ones, 0 if not sent. A
	// receiver with the same digest need not send any records.
	Digest uint64 `cbor:"6,keyasint,omitempty"`
	// Backup tells an agent that another entry forwards its reports, so that this one need not
	// receive all of them.
	Backup bool `cbor:"7,keyasint,omitempty"`
	// Complete is the store revision up to which the sender has received every change, 0 if
	// unknown.
	Complete uint64 `cbor:"8,keyasint,omitempty"`
	// Packed are large records, each compressed.
	Packed [][]byte `cbor:"9,keyasint,omitempty"`
	// CompleteMilliseconds is the age of the sender's watermark, rounded up; 0 if unknown.
	CompleteMilliseconds int64 `cbor:"10,keyasint,omitempty"`
	// Stamp is the sender's stamp of the time of sending. Echo is the newest stamp of the receiver
	// that the sender has, 0 for none, and EchoHeld for how many milliseconds it has held it.
	Stamp    int64 `cbor:"11,keyasint,omitempty"`
	Echo     int64 `cbor:"12,keyasint,omitempty"`
	EchoHeld int64 `cbor:"13,keyasint,omitempty"`
	// Announcements are the announced versions known to the sender.
	Announcements []announcementMessage `cbor:"14,keyasint,omitempty"`
	// Services are the part of the newest configuration that an agent uses.
	Services *publishedServices `cbor:"15,keyasint,omitempty"`
	// Roster identifies the entries known to the sender and replaces Entries between processes that
	// know the same ones. It is nil from builds that always send the list.
	Roster *roster `cbor:"16,keyasint,omitempty"`
	// Capacity is the sender's, as in entryHeartbeat.
	Capacity int `cbor:"17,keyasint,omitempty"`
	// Bundle are records compressed together, for processes that support packingProtocol.
	Bundle []byte `cbor:"18,keyasint,omitempty"`
	// Epoch is the store's epoch known to the sender; Complete is a revision of it. A process that
	// knows no epochs sends none.
	Epoch uint64 `cbor:"19,keyasint,omitempty"`
	// LargeRecords are the large records held, without their values. Heads has their revisions for
	// processes that know no epochs.
	LargeRecords map[string]recordHead `cbor:"20,keyasint,omitempty"`
	// ContentDigest is the digest of the sender's records and their contents, without the large ones.
	ContentDigest uint64 `cbor:"21,keyasint,omitempty"`
	// Confirmed is set when the sender's copy holds what the store has shown since the epoch settled.
	Confirmed bool `cbor:"22,keyasint,omitempty"`
}

// exchange maintains the links and sends updates. Agents only listen.
func (c *Catalog) exchange(ctx context.Context) {
	if c.options.Role == RoleAgent {
		return
	}
	c.mutex.Lock()
	for _, seed := range c.options.Seeds {
		c.recordEntry(seed, entryHeartbeat{})
	}
	c.mutex.Unlock()
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	statusTicker := time.NewTicker(statusInterval)
	defer statusTicker.Stop()
	linkTimer := time.NewTimer(linkCheckInterval)
	defer linkTimer.Stop()
	for {
		c.maintainLinks(ctx)
		// Quarantine reports go first, so that an entry that starts has them before it has servers
		// to send to.
		c.sendPendingQuarantine()
		c.sendPendingNotices()
		c.sendPendingAccounts()
		c.sendUpdates()
		for waiting := true; waiting; {
			select {
			case <-statusTicker.C:
				c.relayStatuses()
				c.sendPendingHealth()
			case <-linkTimer.C:
				linkTimer.Reset(c.checkLinks(ctx))
			case <-c.flush:
				c.flushStatuses()
			case <-c.quarantine.pending:
				c.sendPendingQuarantine()
			case <-c.notices.pending:
				c.sendPendingNotices()
			case <-c.accounts.pending:
				c.sendPendingAccounts()
			case <-ticker.C:
				waiting = false
			case <-c.wake:
				waiting = false
			case <-ctx.Done():
				return
			}
		}
	}
}

// wakeExchange has the links checked and urgent changes sent at once.
func (c *Catalog) wakeExchange() { signal(c.wake) }

// signal wakes the receiver of a channel of capacity one, once for any number of signals.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// isRelay reports whether this process forwards the reports of other entries of its zone. The mutex
// must be held.
func (c *Catalog) isRelay() bool {
	rank := c.overlay.Rank()
	return rank >= 0 && rank < relaysPerZone
}

// sendUpdates sends an update to each link that is due one.
func (c *Catalog) sendUpdates() {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	aged := sync.OnceValue(func() *roster { return rosterOf(c.overlay.Roster(now)) })
	for ip, peer := range c.links {
		if peer.link == nil || peer.sending || !c.updateDue(peer, now) {
			continue
		}
		message := c.composeUpdate(peer)
		if peer.isEntry() {
			c.addEntries(&message, peer, now, aged)
		} else {
			_, isMain := c.overlay.Feeds(ip, peer.zone())
			message.Backup = !isMain
			message.Services = c.servicesFor(peer)
		}
		if peer.compared {
			peer.sentSequence = c.changes.Sequence()
		}
		peer.sending, peer.updatedAt, peer.freshSent = true, now, c.freshSequence
		go c.sendUpdate(peer, peer.link, message)
	}
}

// updateDue reports whether a link is due an update: at its interval, and at once if there is an
// urgent change. Entries of other zones are updated at once when the store has answered this one,
// even if nothing changed, and otherwise at their interval. The mutex must be held.
func (c *Catalog) updateDue(peer *peerLink, now time.Time) bool {
	period := updateInterval
	if !peer.isEntry() {
		period = agentUpdateInterval
	}
	// Tolerate a timer that is slightly early, so that an update is not delayed by a whole tick.
	if now.Sub(peer.updatedAt) >= period-updateInterval/4 {
		return true
	}
	if !peer.isEntry() {
		return c.urgentSequence > peer.sentSequence
	}
	if peer.zone() != c.options.Zone {
		return c.storeFreshSequence > peer.freshSent
	}
	return (peer.compared && c.urgentSequence > peer.sentSequence) || c.freshSequence > peer.freshSent || c.newEntriesDue(peer, now)
}

func (c *Catalog) sendUpdate(peer *peerLink, link *peering.Link, message update) {
	c.finishSend(peer, link, &peer.sending, peering.Send(link, topicUpdate, "", message))
}

// finishSend clears the flag of the peer that marked a send as under way. A link that has failed is
// made again.
func (c *Catalog) finishSend(peer *peerLink, link *peering.Link, underWay *bool, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	*underWay = false
	if err != nil && peer.link == link {
		peer.link = nil
		c.wakeExchange()
	}
}

// composeUpdate builds an update with every change that a link was not sent, once it is known how
// the peer's records differ. The mutex must be held.
func (c *Catalog) composeUpdate(peer *peerLink) update {
	now := time.Now()
	message := update{FreshMilliseconds: now.Sub(c.freshAt).Milliseconds(), Heads: c.headRevisions(), Digest: c.changes.Digest(), Complete: c.complete.Revision}
	message.Epoch, message.LargeRecords, message.ContentDigest, message.Confirmed = c.epochs.Current(), maps.Clone(c.heads), c.changes.ContentDigest(), c.restore.confirmed
	message.Stamp = c.stamp(now)
	message.Echo, message.EchoHeld = peer.stamps.echo(now)
	if since, known := c.watermark.maxAge(now); known {
		message.CompleteMilliseconds = since.Milliseconds() + 1
	}
	if c.freshAt.IsZero() {
		message.FreshMilliseconds = int64(time.Hour / time.Millisecond)
	}
	message.Announcements = c.announcements(now)
	if peer.compared {
		c.addChanges(&message, peer)
	}
	return message
}

// addChanges adds the records changed since the last update to a link. The mutex must be held.
func (c *Catalog) addChanges(message *update, peer *peerLink) {
	var records []mirror.Record
	for _, key := range c.changes.After(peer.sentSequence) {
		record, known := c.mirror.Lookup(key)
		if !known {
			continue
		}
		records = append(records, record)
		if c.options.Decoder.Kind(key) == fleet.RecordVersion {
			c.addAge(message, record)
		}
	}
	c.addRecords(message, peer.link, peer.sentSequence, records)
}

// addAge adds the age of a record's version, unless it is assumed. The mutex must be held.
func (c *Catalog) addAge(message *update, record mirror.Record) {
	named, err := c.options.Decoder.Version(record)
	if err != nil {
		return
	}
	announcement, known := c.View().Newest(named.Model)
	if !known || announcement.Revision != record.Revision || announcement.Assumed {
		return
	}
	if message.AgesMilliseconds == nil {
		message.AgesMilliseconds = map[string]int64{}
	}
	message.AgesMilliseconds[record.Key] = time.Since(announcement.Since).Milliseconds() + 1
}

func (c *Catalog) handleUpdate(link *peering.Link, received *message.Message) {
	peerUpdate, err := peering.Decode[update](received)
	if err != nil {
		c.rejectFrame(link, err)
		return
	}
	now := time.Now()
	flight, flightKnown := maxFlight(c.started, peerUpdate.Echo, peerUpdate.EchoHeld, now)
	ages := map[string]peerAge{}
	for key, age := range peerUpdate.AgesMilliseconds {
		ages[key] = peerAge{age: time.Duration(age) * time.Millisecond, flight: flight, flightKnown: flightKnown, received: now}
	}
	c.mutex.Lock()
	c.recordStamp(link.Remote().ID, peerUpdate.Stamp, now)
	c.backupOf[link.Remote().ID] = peerUpdate.Backup
	c.applyEntries(link.Remote(), peerUpdate, now)
	c.lastUpdateAt = time.Now()
	if c.observePeerEpoch(link.Remote().ID, peerUpdate.Epoch) && statesEpochs(link, peerUpdate) {
		c.recordPeerFresh(link.Remote().Zone, c.lastUpdateAt.Add(-time.Duration(peerUpdate.FreshMilliseconds)*time.Millisecond))
	}
	missing := c.missingHeads(peerUpdate.peerHeads())
	c.mutex.Unlock()
	if peerUpdate.Records, err = peerUpdate.unbundle(); err != nil {
		c.rejectFrame(link, err)
	}
	for _, packed := range peerUpdate.Packed {
		record, err := compression.Decode[mirror.Record](packed)
		if err != nil {
			c.rejectFrame(link, err)
			continue
		}
		peerUpdate.Records = append(peerUpdate.Records, record)
	}
	if len(peerUpdate.Records) > 0 {
		c.applyReceived(peerUpdate.Records, ages)
	}
	if peerUpdate.Services != nil {
		c.applyServices(link, *peerUpdate.Services)
	}
	if flightKnown {
		c.applyAnnouncements(peerUpdate.Announcements, flight, now)
	}
	if c.compareRecords(link.Remote().ID, peerUpdate) {
		c.mutex.Lock()
		c.recordPeerComplete(peerUpdate, flight, flightKnown, now)
		c.mutex.Unlock()
	}
	if len(missing) > 0 {
		time.AfterFunc(c.pullDelay(link), func() { c.pullFrom(link, missing) })
	}
}

// minFreshProgress is the minimum progress of freshness, received from another zone, that the first
// entry of a zone forwards at once.
const minFreshProgress = 200 * time.Millisecond

// recordPeerFresh records the freshness reported by an entry of a zone. The mutex must be held.
func (c *Catalog) recordPeerFresh(zone string, at time.Time) {
	progress := at.Sub(c.freshAt)
	c.recordFresh(at)
	if zone != c.options.Zone && progress >= minFreshProgress && c.overlay.Rank() == 0 {
		c.freshSequence++
		c.wakeExchange()
	}
}

// compareRecords compares a peer's records with those of this process. It reports whether this
// process has received every change that the peer has: their records are the same, and none of the
// peer's large records is newer. A peer with the same records need not be sent earlier changes. The
// first time the records differ, the peer is sent everything.
func (c *Catalog) compareRecords(ip string, peerUpdate update) (complete bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	same := peerUpdate.ContentDigest == c.changes.ContentDigest()
	if peerUpdate.LargeRecords == nil {
		same = peerUpdate.Digest == c.changes.Digest()
	}
	complete = same && peerUpdate.Epoch == c.epochs.Current() && len(c.newerHeads(peerUpdate.peerHeads())) == 0
	if complete {
		c.recordCompleteVersion(monotonic.Version{Epoch: peerUpdate.Epoch, Revision: peerUpdate.Complete})
		if peerUpdate.Confirmed {
			c.confirm()
		}
	}
	peer, linked := c.links[ip]
	if !linked {
		return complete
	}
	switch {
	case same:
		peer.sentSequence = c.changes.Sequence()
		peer.recheck, peer.mismatches = false, 0
	case !peer.compared:
		peer.updatedAt = time.Time{}
		c.wakeExchange()
	case peer.recheck:
		c.resendIfDifferent(peer)
	}
	peer.compared = true
	return complete
}

// maxMismatches is the number of updates in a row in which a peer's records may differ from those of this
// process because changes are under way.
const maxMismatches = 2

// resendIfDifferent has a peer sent all records again if its records differ for longer than changes are
// under way. The mutex must be held.
func (c *Catalog) resendIfDifferent(peer *peerLink) {
	peer.mismatches++
	if peer.mismatches <= maxMismatches {
		return
	}
	peer.recheck, peer.mismatches = false, 0
	peer.sentSequence, peer.updatedAt = 0, time.Time{}
	c.wakeExchange()
}

// rejectFrame logs a message of another process, or a part of one, that could not be decoded and is dropped.
func (c *Catalog) rejectFrame(link *peering.Link, err error) {
	c.options.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
}
