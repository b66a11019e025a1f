package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/waiting"
)

// Times of reading the store.
const (
	// watchWait is how long one watch waits. A watch whose store has forgotten its
	// history may hear nothing at all, so that the next one must follow soon.
	watchWait = 500 * time.Millisecond
	// watchInterval is the least time between the beginnings of two watches.
	watchInterval = 200 * time.Millisecond
	// minReadRetry is the first pause after a failed call; it doubles up to
	// maximumReadRetry, each with jitter.
	minReadRetry = 100 * time.Millisecond
	maxReadRetry = 400 * time.Millisecond
	// zoneStaleAfter is the age of the copy at which the first entry of a zone reads that is
	// not the first zone: an answer of the store comes to the first one each watchWait, and
	// from it to the others in some milliseconds. staleAfter is that at which an entry reads
	// that is not the first of its zone; staleStep adds to either with the rank.
	zoneStaleAfter = 650 * time.Millisecond
	staleAfter     = 800 * time.Millisecond
	staleStagger   = 100 * time.Millisecond
	// startGrace is how long a process that starts waits to be told by others what the
	// store holds: dialling a seed and hearing from it takes some round trips.
	startGrace = 500 * time.Millisecond
	// agentSilence is how long an agent hears of no entry before it reads for itself. That
	// entries hear nothing new is no reason: they read as soon as the store lets them.
	// The first configuration of a fleet, without which entries do not know which machines
	// have agents, may come seconds after the machines.
	agentSilence = 5 * time.Second
	// agentWatchWait is how long a watch of an agent waits, which nobody else depends on.
	agentWatchWait = 2 * time.Second
	// agentReadJitter is the time over which agents that lose their entries together begin.
	agentReadJitter = time.Second
	// listStagger adds with the rank to the time that an entry waits before it lists
	// everything anew: a listing of half a megabyte takes that long over a link of
	// 20 Mbit/s that some share, and the first ones tell the others. mostListWait bounds it.
	listStagger = 600 * time.Millisecond
	maxListWait = 3 * time.Second
	// minIdle is the least time between two looks of a process that does not read
	// whether it must, and rankCheck the most for an entry, which may have become the
	// first of its zone.
	minIdle           = 50 * time.Millisecond
	rankCheckInterval = 200 * time.Millisecond
)

// watchPosition is where a watch of a prefix stands.
type watchPosition struct {
	prefix string
	// revision is the revision up to which everything was heard; 0 when all is to be listed.
	revision uint64
	// forgottenRevision is the revision from which on the store has forgotten its history, and
	// listAt when this process lists everything if nobody has told it more by then.
	forgottenRevision uint64
	historyLostAt     time.Time
	backoff           time.Duration
	failed            bool
}

// followStore lists the store's records unless another process has told them, and then
// watches them while this process is to read. A process that begins to read again goes
// on from what it has heard last, be it from the store or from others; the store says
// when that is too long ago.
func (c *Catalog) followStore(ctx context.Context) {
	at := &watchPosition{prefix: c.options.Decoder.Prefix()}
	for ctx.Err() == nil {
		c.advancePosition(at)
		if idle := c.untilReading(at); idle > 0 {
			waiting.For(ctx, max(idle, minIdle))
			continue
		}
		began := time.Now()
		wait := watchWait
		if c.options.Role == RoleAgent {
			wait = agentWatchWait
		}
		c.readStore(ctx, at, wait)
		waiting.For(ctx, c.watchInterval(time.Now())-time.Since(began))
	}
}

// watchInterval is the least time between the beginnings of two watches now.
func (c *Catalog) watchInterval(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.watchPacer.interval(now)
}

// advancePosition moves a position to what others have told.
func (c *Catalog) advancePosition(at *watchPosition) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.completeRevision > at.forgottenRevision {
		at.revision = max(at.revision, c.completeRevision)
	}
}

// untilReading is how long this process has not to read the store, unless it is told
// something meanwhile.
func (c *Catalog) untilReading(at *watchPosition) time.Duration {
	if c.options.Role == RoleAgent {
		return c.untilAgentReads()
	}
	rank, zoneRank := c.ranks()
	if at.revision == 0 {
		return min(time.Until(c.listTime(at, rank)), rankCheckInterval)
	}
	return min(maxCopyAge(rank, zoneRank)-time.Since(c.FreshAt()), rankCheckInterval)
}

// maxCopyAge is the age of its copy at which an entry reads the store, by its rank in its
// zone and that of the zone. The first of the first zone reads always.
func maxCopyAge(rank, zoneRank int) time.Duration {
	switch {
	case rank > 0:
		return staleAfter + time.Duration(rank)*staleStagger
	case zoneRank > 0:
		return zoneStaleAfter + time.Duration(zoneRank-1)*staleStagger
	}
	return 0
}

// listTime is when an entry that knows of nothing, or of too little, lists everything.
// A seed begins at once, because others ask it: after a loss of all entries they know of
// the servers 65 to 125 ms after their start, instead of 560 ms (TestFleetIsReadySoonAfterAllEntriesWereKilled).
func (c *Catalog) listTime(at *watchPosition, rank int) time.Time {
	switch {
	case at.forgottenRevision != 0:
		return at.historyLostAt.Add(min(time.Duration(rank)*listStagger, maxListWait))
	case len(c.options.Seeds) == 0 || c.options.IsSeed:
		return c.started
	}
	return c.started.Add(startGrace + min(time.Duration(rank)*staleStagger, maxListWait))
}

// untilAgentReads is how long an agent has not to read the store, if it hears nothing
// of any entry meanwhile.
func (c *Catalog) untilAgentReads() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	heard := c.started
	if c.lastUpdateAt.After(heard) {
		heard = c.lastUpdateAt
	}
	return agentSilence + c.agentReadDelay - time.Since(heard)
}

// ranks are this entry's place among the entries of its zone, and that of its zone.
func (c *Catalog) ranks() (rank, zoneRank int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.overlay.Advance(time.Now())
	return c.overlay.Rank(), c.overlay.ZoneRank()
}

// recordAnswered notes that the store has answered, before its answer is taken in.
func (c *Catalog) recordAnswered() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recordFresh(time.Now())
}

// readStore makes one call and takes in what the store answers.
func (c *Catalog) readStore(ctx context.Context, at *watchPosition, wait time.Duration) {
	c.storeCalls.Add(1)
	began := time.Now()
	var err error
	if at.revision == 0 {
		err = c.listStore(ctx, at)
	} else {
		call := storeCall{sentAt: time.Now(), wait: wait}
		var changes fleet.Listing
		changes, err = c.options.Store.Watch(ctx, at.prefix, at.revision, wait)
		if err == nil {
			call.receivedAt, call.changes = time.Now(), len(changes.Records)
			c.recordAnswered()
			c.applyWatched(changes.Records)
			c.recordComplete(call)
			at.revision = max(at.revision, changes.At)
			c.recordRead(at.revision)
		}
	}
	var historyGone *fault.HistoryGone
	switch {
	case err == nil:
		c.recordSuccess(at)
	case errors.As(err, &historyGone):
		c.options.Log.Log(logging.HistoryForgotten, zap.String("prefix", at.prefix), zap.Uint64("after", at.revision))
		at.forgottenRevision, at.historyLostAt = max(at.revision, 1), time.Now()
		at.revision = 0
	case ctx.Err() == nil:
		c.recordRefused(began, err)
		c.recordFailure(ctx, at, err)
	}
}

func (c *Catalog) listStore(ctx context.Context, at *watchPosition) error {
	call := storeCall{sentAt: time.Now()}
	listing, err := c.options.Store.List(ctx, at.prefix)
	if err != nil {
		return err
	}
	c.recordAnswered()
	c.applyListing(at.prefix, listing)
	call.receivedAt, call.changes = time.Now(), len(listing.Records)
	c.recordComplete(call)
	at.revision, at.forgottenRevision = listing.At, 0
	c.recordRead(at.revision)
	return nil
}

// recordRead notes that every change up to a revision has been heard of from the store, and
// has all others told how fresh the copy is.
func (c *Catalog) recordRead(revision uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.completeRevision = max(c.completeRevision, revision)
	c.freshSequence++
	c.storeFreshSequence = c.freshSequence
	c.wakeExchange()
}

func (c *Catalog) recordSuccess(at *watchPosition) {
	if at.failed {
		c.options.Log.Log(logging.ServiceReached, zap.String("prefix", at.prefix))
	}
	at.failed, at.backoff = false, 0
}

func (c *Catalog) recordFailure(ctx context.Context, at *watchPosition, err error) {
	if !at.failed {
		c.options.Log.Log(logging.ServiceUnreached, zap.String("prefix", at.prefix), zap.Error(err))
	}
	at.failed = true
	at.backoff = min(max(2*at.backoff, minReadRetry), maxReadRetry)
	waiting.For(ctx, at.backoff/2+rand.N(at.backoff))
}
