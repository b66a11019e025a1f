package catalog

import (
	"errors"
	"hash"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/mirror"
	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
)

// The store may come back from a copy of itself that is some seconds old. It then states a later epoch,
// its revisions go back, and what it has lost is missing until its writers have written it again. Until
// then what this process holds is kept where it is known to be later than what the copy shows
// (mirror.Mirror). Then one process lists everything again, and that listing is true.

const (
	// settleDelay is how long after a restore the store may lack what it has lost: servers write
	// their records again with their next heartbeats, and the records of servers that have ended go
	// after three.
	settleDelay = 4 * time.Second
	// settleMargin is how much later the reader lists: by then every process that learned of the
	// restore from it has settled, and takes what the listing says.
	settleMargin = time.Second
	// confirmTimeout is how long after that listing a process whose copy still differs from those of
	// its peers lists everything itself, for each rank one more time: it may hold a record that
	// the store has lost and that nobody who read the store ever knew.
	confirmTimeout = 3 * time.Second
)

// restoreState is the state of the last restore of the store.
type restoreState struct {
	// listAt is when a process that reads lists everything again, zero if it need not.
	listAt time.Time
	// confirmed is set when the copy is known to hold what the store has shown since it settled.
	confirmed bool
}

// listingDue reports whether a process that reads is to list everything again.
func (r restoreState) listingDue(now time.Time) bool {
	return !r.confirmed && !r.listAt.IsZero() && !now.Before(r.listAt)
}

// ownListingDue reports whether a process of a rank is to list everything itself, though others keep it
// current.
func (r restoreState) ownListingDue(now time.Time, rank int) bool {
	return r.listingDue(now) && now.Sub(r.listAt) >= time.Duration(rank+1)*confirmTimeout
}

// OlderRecords returns how many records from the store were older than the ones held.
func (c *Catalog) OlderRecords() uint64 { return c.olderRecords.Load() }

// isDurable reports whether a key's record stays in force when a restored store lacks it: its writer
// numbers what it writes, and says itself when something else applies.
func (c *Catalog) isDurable(key string) bool {
	kind := c.options.Decoder.Kind(key)
	return kind == fleet.RecordConfiguration || kind == fleet.RecordVersion
}

// observeAnswer takes the epoch that an answer of the store states and completes its records with it.
// The answer of another epoch than the present one is a *fault.StaleEpoch.
func (c *Catalog) observeAnswer(answer *fleet.Listing) error {
	if answer.EpochFault != nil {
		c.options.Log.Log(logging.StoreEpochInvalid, zap.Error(answer.EpochFault))
	}
	// Without the mutex, which every request takes: a large configuration takes milliseconds to scan.
	for index := range answer.Records {
		c.addOrder(&answer.Records[index])
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before := c.epochs.Current()
	verdict := c.epochs.ObserveStore(answer.Epoch, time.Now())
	if verdict == mirror.EpochStale {
		return &fault.StaleEpoch{Current: before, Offered: answer.Epoch}
	}
	c.adoptEpoch(verdict, before, "store")
	answer.Epoch = c.epochs.Current()
	for index := range answer.Records {
		answer.Records[index].Epoch = answer.Epoch
	}
	return nil
}

// addOrder sets the order that the record's writer gave it, as far as it is not known.
func (c *Catalog) addOrder(record *mirror.Record) {
	if record.Deleted || record.Sequence != 0 {
		return
	}
	record.Incarnation, record.Sequence = c.options.Decoder.Order(record.Key, record.Value)
}

// addMissingOrders does so for records from a process that knows no epochs. Where the store states none
// either, the order is not needed.
func (c *Catalog) addMissingOrders(records []mirror.Record) {
	c.mutex.Lock()
	stated := c.epochs.Current() != 0
	c.mutex.Unlock()
	for index := range records {
		if stated && records[index].Epoch == 0 {
			c.addOrder(&records[index])
		}
	}
}

// statesEpochs reports whether the sender of an update states the store's epoch if it knows one. That the copy
// of another process is current proves nothing: it may be that of a store before its restore.
func statesEpochs(link *peering.Link, received update) bool {
	return link.Remote().Protocol >= epochProtocol || received.LargeRecords != nil
}

// observeRefusedEpoch takes the epoch that the store states in the answer to a call that failed.
func (c *Catalog) observeRefusedEpoch(err error) {
	var unavailable *fault.Unavailable
	var compacted *fault.HistoryCompacted
	epoch := uint64(0)
	switch {
	case errors.As(err, &compacted):
		epoch = compacted.Epoch
	case errors.As(err, &unavailable):
		epoch = unavailable.Epoch
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before := c.epochs.Current()
	c.adoptEpoch(c.epochs.ObserveStore(epoch, time.Now()), before, "store")
}

// observePeerEpoch takes the epoch that a peer states, and reports whether the peer's copy is of the
// present one. The mutex must be held.
func (c *Catalog) observePeerEpoch(peer string, epoch uint64) bool {
	before := c.epochs.Current()
	c.adoptEpoch(c.epochs.ObservePeer(epoch), before, peer)
	return epoch == c.epochs.Current()
}

// adoptEpoch begins a new epoch if the verdict says so. Nothing is known to be complete in it: the store
// is listed by whoever reads it. The mutex must be held.
func (c *Catalog) adoptEpoch(verdict mirror.EpochVerdict, before uint64, source string) {
	now := time.Now()
	epoch := c.epochs.Current()
	switch verdict {
	case mirror.EpochLearned:
		c.restore = restoreState{}
		c.mirror.Advance(epoch)
	case mirror.EpochRaised:
		c.restore = restoreState{listAt: now.Add(settleDelay + settleMargin)}
		c.mirror.Advance(epoch)
		// Servers that the copy lacks are kept as after an outage, see retainExpired.
		c.regainedAt = now
	case mirror.EpochReplaced:
		c.restore = restoreState{}
		c.mirror.Rebase(epoch)
	default:
		return
	}
	if verdict != mirror.EpochLearned {
		c.options.Log.Log(logging.StoreRestored, zap.Uint64("before", before), zap.Uint64("now", epoch), zap.String("from", source),
			zap.Uint64("complete_revision", c.complete.Revision))
	}
	c.complete = monotonic.Version{Epoch: epoch}
	c.freshSequence++
	c.storeFreshSequence = c.freshSequence
	c.wakeExchange()
	time.AfterFunc(settleDelay, func() { c.settle(epoch) })
}

// settle ends the time in which what the store has lost is kept. Peers whose records then still differ
// exchange all of them once more.
func (c *Catalog) settle(epoch uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.epochs.Current() != epoch {
		return
	}
	c.mirror.Settle()
	for _, peer := range c.links {
		peer.recheck = true
	}
}

// recordListed records a listing: after the epoch has settled it confirms the copy. It must be called
// after the listing was applied and its version recorded.
func (c *Catalog) recordListed() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.confirm()
}

// confirm records that the copy holds what the store has shown since the epoch settled. The mutex must be
// held.
func (c *Catalog) confirm() {
	if c.restore.confirmed || !c.mirror.Settled() {
		return
	}
	c.restore.confirmed = true
	c.mirror.Confirm(c.complete.Revision)
}

// contentOf identifies what a record says to this process, the same in all processes. The mutex must be
// held.
func (c *Catalog) contentOf(record mirror.Record) uint64 {
	hasher := xxhash.New()
	switch c.options.Decoder.Kind(record.Key) {
	case fleet.RecordServer:
		hashServer(hasher, c.servers[record.Key])
	case fleet.RecordVersion:
		if named, err := c.options.Decoder.Version(record); err == nil {
			hashText(hasher, strconv.FormatUint(named.Version, 10))
		}
	}
	return hasher.Sum64()
}

// hashServer hashes what sameServer compares, without the time until the server is warm, which each
// process knows by its own clock.
func hashServer(hasher hash.Hash64, server fleet.Server) {
	for _, text := range []string{
		strconv.FormatInt(int64(server.StartTime), 10), server.Service, server.Address, server.Zone,
		strconv.Itoa(server.Slots), strconv.FormatBool(server.Draining),
	} {
		hashText(hasher, text)
	}
	for _, model := range server.Models {
		hashText(hasher, model.Name)
		hashText(hasher, strconv.FormatUint(model.Version, 10))
		hashText(hasher, strconv.Itoa(model.FromLayer))
		hashText(hasher, strconv.Itoa(model.ToLayer))
	}
}

// hashText hashes a text and its end.
func hashText(hasher hash.Hash64, text string) {
	_, _ = hasher.Write([]byte(text))
	_, _ = hasher.Write([]byte{0})
}

// reportOlder counts and logs the records of a store's answer that are older than the ones held. It must
// be called before the answer is applied.
func (c *Catalog) reportOlder(answer fleet.Listing) {
	c.mutex.Lock()
	count := 0
	var first, firstHeld mirror.Record
	for _, record := range answer.Records {
		held, known := c.mirror.Lookup(record.Key)
		if !known || held.Revision == record.Revision || c.mirror.Supersedes(record) {
			continue
		}
		if count == 0 {
			first, firstHeld = record, held
		}
		count++
	}
	c.mutex.Unlock()
	if count == 0 {
		return
	}
	c.olderRecords.Add(uint64(count))
	c.options.Log.Log(logging.OlderRecordsIgnored, zap.Int("records", count), zap.String("key", first.Key),
		zap.Uint64("held", firstHeld.Revision), zap.Uint64("held_epoch", firstHeld.Epoch), zap.Uint64("offered", first.Revision),
		zap.Uint64("answer_revision", answer.Revision), zap.Uint64("epoch", answer.Epoch))
}
