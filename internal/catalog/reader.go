package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/waiting"
)

// Timeouts and intervals of reading the store.
const (
	// watchWait is how long one watch waits. A watch of a store that has lost its history may
	// return nothing at all, so the next one must follow soon.
	watchWait = 500 * time.Millisecond
	// watchInterval is the minimum time between the starts of two watches.
	watchInterval = 200 * time.Millisecond
	// minReadRetry is the delay after a first failed call; it doubles up to maxReadRetry, each with
	// jitter.
	minReadRetry = 100 * time.Millisecond
	maxReadRetry = 400 * time.Millisecond
	// zoneStaleAfter is the age of the copy at which the first entry of a zone other than the first
	// zone reads the store: the first entry has an answer of the store every watchWait, and the
	// others have it some milliseconds later. staleAfter is the same for entries that are not the
	// first of their zone. staleStagger is added to either for each further rank.
	zoneStaleAfter = 650 * time.Millisecond
	staleAfter     = 800 * time.Millisecond
	staleStagger   = 100 * time.Millisecond
	// startGrace is how long a starting process waits for others to send what the store holds:
	// dialling a seed and receiving from it takes some round trips.
	startGrace = 500 * time.Millisecond
	// agentSilence is how long an agent goes without an update of any entry before it reads the
	// store itself. That entries have no changes is no reason: they read as soon as the store lets
	// them. The first configuration of a fleet, without which entries do not know which machines
	// have agents, may come seconds after the machines.
	agentSilence = 5 * time.Second
	// agentWatchWait is how long a watch of an agent waits; no other process depends on it.
	agentWatchWait = 2 * time.Second
	// agentReadJitter spreads agents that lose their entries at the same time.
	agentReadJitter = time.Second
	// listStagger is multiplied by the rank to delay an entry before it lists everything again: a
	// listing of half a megabyte takes that long over a shared link of 20 Mbit/s, and the first
	// entries send it to the others. maxListWait bounds the delay.
	// zoneListStagger is the same for the rank of the zone.
	listStagger     = 600 * time.Millisecond
	zoneListStagger = 150 * time.Millisecond
	maxListWait     = 3 * time.Second
	// minIdle is the minimum time between two checks by a process that does not read the store
	// whether it must; rankCheckInterval is the maximum for an entry, which may have become the
	// first of its zone.
	minIdle           = 50 * time.Millisecond
	rankCheckInterval = 200 * time.Millisecond
)

// watchPosition is the position of a watch on a prefix.
type watchPosition struct {
	prefix string
	// version is the version of the store up to which everything was received, zero if everything
	// is to be listed.
	version monotonic.Version
	// forgotten is the position at which the store reported its history lost, or that it had in a
	// former epoch; historyLostAt is when that was learned. The process then lists everything after
	// a delay, unless a peer has sent more by then.
	forgotten     monotonic.Version
	historyLostAt time.Time
	backoff       time.Duration
	failed        bool
}

// followStore lists the store's records unless another process has sent them, and watches them
// while it is up to this process to read. A process that starts to read again continues from what
// it last received, from the store or from others; the store reports if that is too long ago.
func (c *Catalog) followStore(ctx context.Context) {
	position := &watchPosition{prefix: c.options.Decoder.Prefix()}
	for ctx.Err() == nil {
		c.advancePosition(position)
		if idle := c.untilReading(position); idle > 0 {
			waiting.For(ctx, max(idle, minIdle))
			continue
		}
		began := time.Now()
		wait := watchWait
		if c.options.Role == RoleAgent {
			wait = agentWatchWait
		}
		c.readStore(ctx, position, wait)
		waiting.For(ctx, c.watchInterval(time.Now())-time.Since(began))
	}
}

// watchInterval returns the current minimum time between the starts of two watches.
func (c *Catalog) watchInterval(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.watchPacer.interval(now)
}

// advancePosition moves a position to what others have sent.
func (c *Catalog) advancePosition(position *watchPosition) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if position.version.Epoch != c.epochs.Current() && !position.version.IsZero() {
		position.forget(time.Now())
	}
	if c.complete.Revision > 0 && c.complete.Compare(position.forgotten) > 0 && c.complete.Compare(position.version) > 0 {
		position.version = c.complete
	}
	if c.restore.listingDue(time.Now()) {
		position.version = monotonic.Version{}
	}
}

// forget gives up a position that the store no longer knows.
func (p *watchPosition) forget(now time.Time) {
	p.forgotten, p.historyLostAt = p.version, now
	p.version = monotonic.Version{}
}

// untilReading returns how long this process need not read the store, unless an update arrives in
// the meantime.
func (c *Catalog) untilReading(position *watchPosition) time.Duration {
	if c.options.Role == RoleAgent {
		return c.untilAgentReads()
	}
	rank, zoneRank := c.ranks()
	untilStale := maxCopyAge(rank, zoneRank) - time.Since(c.FreshAt())
	if c.ownListingDue(rank) {
		return 0
	}
	if position.version.IsZero() {
		untilList := time.Until(c.listTime(position, rank, zoneRank))
		if !position.forgotten.IsZero() {
			// Whoever reads the store lists it and sends the others what it says.
			untilList = max(untilList, untilStale)
		}
		return min(untilList, rankCheckInterval)
	}
	return min(untilStale, rankCheckInterval)
}

// ownListingDue reports whether this process is to list everything itself after a restore of the store.
func (c *Catalog) ownListingDue(rank int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.restore.ownListingDue(time.Now(), rank)
}

// maxCopyAge returns the age of its copy at which an entry reads the store, by its rank in the zone
// and the rank of the zone. The first entry of the first zone always reads.
func maxCopyAge(rank, zoneRank int) time.Duration {
	switch {
	case rank > 0:
		return staleAfter + time.Duration(rank)*staleStagger
	case zoneRank > 0:
		return zoneStaleAfter + time.Duration(zoneRank-1)*staleStagger
	}
	return 0
}

// listTime returns when an entry that knows nothing, or too little, lists everything. A seed starts
// at once, because others depend on it: after a loss of all entries they know the servers 65 to 125
// ms after their start, instead of 560 ms (TestFleetIsReadySoonAfterAllEntriesWereKilled).
func (c *Catalog) listTime(position *watchPosition, rank, zoneRank int) time.Time {
	switch {
	case !position.forgotten.IsZero():
		return position.historyLostAt.Add(min(time.Duration(rank)*listStagger+time.Duration(zoneRank)*zoneListStagger, maxListWait))
	case len(c.options.Seeds) == 0 || c.options.IsSeed:
		return c.started
	}
	return c.started.Add(startGrace + min(time.Duration(rank)*staleStagger, maxListWait))
}

// untilAgentReads returns how long an agent need not read the store, unless an entry updates it in
// the meantime.
func (c *Catalog) untilAgentReads() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	lastUpdate := c.started
	if c.lastUpdateAt.After(lastUpdate) {
		lastUpdate = c.lastUpdateAt
	}
	return agentSilence + c.agentReadDelay - time.Since(lastUpdate)
}

// ranks returns this entry's rank among the entries of its zone, and the rank of the zone.
func (c *Catalog) ranks() (rank, zoneRank int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.overlay.Advance(time.Now())
	return c.overlay.Rank(), c.overlay.ZoneRank()
}

// recordAnswered records that the store has answered, before its answer is applied.
func (c *Catalog) recordAnswered() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recordFresh(time.Now())
}

// readStore makes one call and applies the answer.
func (c *Catalog) readStore(ctx context.Context, position *watchPosition, wait time.Duration) {
	c.storeCalls.Add(1)
	began := time.Now()
	var err error
	if position.version.IsZero() {
		err = c.listStore(ctx, position)
	} else {
		err = c.watchStore(ctx, position, wait)
	}
	c.observeRefusedEpoch(err)
	var historyCompacted *fault.HistoryCompacted
	switch {
	case err == nil:
		c.recordSuccess(position)
	case errors.As(err, &historyCompacted):
		c.options.Log.Log(logging.HistoryCompacted, zap.String("prefix", position.prefix), zap.Uint64("after", position.version.Revision), zap.Bool("too_long", historyCompacted.TooLong), zap.Uint64("epoch", historyCompacted.Epoch))
		position.forget(time.Now())
	case ctx.Err() == nil:
		c.recordRefused(began, err)
		c.recordFailure(ctx, position, err)
	}
}

// watchStore waits for changes and applies them. Changes of a later epoch do not continue the records
// held: everything is to be listed.
func (c *Catalog) watchStore(ctx context.Context, position *watchPosition, wait time.Duration) error {
	call := storeCall{sentAt: time.Now(), wait: wait}
	changes, err := c.options.Store.Watch(ctx, position.prefix, position.version.Revision, wait)
	if err != nil {
		return err
	}
	if err := c.observeAnswer(&changes); err != nil {
		return err
	}
	if changes.Epoch != position.version.Epoch {
		return nil
	}
	call.receivedAt, call.changes = time.Now(), len(changes.Records)
	c.reportOlder(changes)
	c.recordAnswered()
	c.applyWatched(changes.Records)
	c.recordComplete(call)
	position.version.Revision = max(position.version.Revision, changes.Revision)
	c.recordRead(position.version)
	return nil
}

// listStore lists everything and applies it.
func (c *Catalog) listStore(ctx context.Context, position *watchPosition) error {
	call := storeCall{sentAt: time.Now()}
	listing, err := c.options.Store.List(ctx, position.prefix)
	if err != nil {
		return err
	}
	if err := c.observeAnswer(&listing); err != nil {
		return err
	}
	c.reportOlder(listing)
	c.recordAnswered()
	c.applyListing(position.prefix, listing)
	call.receivedAt, call.changes = time.Now(), len(listing.Records)
	c.recordComplete(call)
	position.version, position.forgotten = monotonic.Version{Epoch: listing.Epoch, Revision: listing.Revision}, monotonic.Version{}
	c.recordRead(position.version)
	c.recordListed()
	return nil
}

// recordRead records that every change up to a version was received from the store, and has all
// peers sent how fresh the copy is.
func (c *Catalog) recordRead(version monotonic.Version) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recordCompleteVersion(version)
	c.freshSequence++
	c.storeFreshSequence = c.freshSequence
	c.wakeExchange()
}

// recordCompleteVersion records that every change up to a version was received. The mutex must be held.
func (c *Catalog) recordCompleteVersion(version monotonic.Version) {
	if version.Epoch != c.epochs.Current() || version.Compare(c.complete) <= 0 {
		return
	}
	c.complete = version
}

func (c *Catalog) recordSuccess(position *watchPosition) {
	if position.failed {
		c.options.Log.Log(logging.ServiceRecovered, zap.String("prefix", position.prefix))
	}
	position.failed, position.backoff = false, 0
}

func (c *Catalog) recordFailure(ctx context.Context, position *watchPosition, err error) {
	if !position.failed {
		c.options.Log.Log(logging.ServiceUnreachable, zap.String("prefix", position.prefix), zap.Error(err))
	}
	position.failed = true
	position.backoff = min(max(2*position.backoff, minReadRetry), maxReadRetry)
	waiting.For(ctx, position.backoff/2+rand.N(position.backoff))
}
