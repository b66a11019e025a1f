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
	// watchPace is the least time between the beginnings of two watches.
	watchPace = 200 * time.Millisecond
	// readRetry is the first pause after a failed call; it doubles up to
	// maximumReadRetry, each with jitter.
	readRetry        = 100 * time.Millisecond
	maximumReadRetry = 400 * time.Millisecond
	// zoneStaleAfter is the age of the copy at which the first entry of a zone reads that is
	// not the first zone: an answer of the store comes to the first one each watchWait, and
	// from it to the others in some milliseconds. staleAfter is that at which an entry reads
	// that is not the first of its zone; staleStep adds to either with the rank.
	zoneStaleAfter = 650 * time.Millisecond
	staleAfter     = 800 * time.Millisecond
	staleStep      = 100 * time.Millisecond
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
	// agentSpread is the time over which agents that lose their entries together begin.
	agentSpread = time.Second
	// listStep adds with the rank to the time that an entry waits before it lists
	// everything anew: a listing of half a megabyte takes that long over a link of
	// 20 Mbit/s that some share, and the first ones tell the others. mostListWait bounds it.
	listStep     = 600 * time.Millisecond
	mostListWait = 3 * time.Second
	// leastIdle is the least time between two looks of a process that does not read
	// whether it must, and rankCheck the most for an entry, which may have become the
	// first of its zone.
	leastIdle = 50 * time.Millisecond
	rankCheck = 200 * time.Millisecond
)

// position is where a watch of a prefix stands.
type position struct {
	prefix string
	// at is the revision up to which everything was heard; 0 when all is to be listed.
	at uint64
	// forgotten is the revision from which on the store has forgotten its history, and
	// listAt when this process lists everything if nobody has told it more by then.
	forgotten uint64
	listAt    time.Time
	retry     time.Duration
	failed    bool
}

// followStore lists the store's records unless another process has told them, and then
// watches them while this process is to read. A process that begins to read again goes
// on from what it has heard last, be it from the store or from others; the store says
// when that is too long ago.
func (c *Catalog) followStore(ctx context.Context) {
	at := &position{prefix: c.options.Decoder.Prefix()}
	for ctx.Err() == nil {
		c.advance(at)
		if idle := c.untilReading(at); idle > 0 {
			waiting.For(ctx, max(idle, leastIdle))
			continue
		}
		began := time.Now()
		wait := watchWait
		if c.options.Role == RoleAgent {
			wait = agentWatchWait
		}
		c.read(ctx, at, wait)
		waiting.For(ctx, c.pace(time.Now())-time.Since(began))
	}
}

// pace is the least time between the beginnings of two watches now.
func (c *Catalog) pace(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closeWatch.pace(now)
}

// advance moves a position to what others have told.
func (c *Catalog) advance(at *position) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.complete > at.forgotten {
		at.at = max(at.at, c.complete)
	}
}

// untilReading is how long this process has not to read the store, unless it is told
// something meanwhile.
func (c *Catalog) untilReading(at *position) time.Duration {
	if c.options.Role == RoleAgent {
		return c.untilAgentReads()
	}
	rank, zoneRank := c.ranks()
	if at.at == 0 {
		return min(time.Until(c.listTime(at, rank)), rankCheck)
	}
	return min(mayAge(rank, zoneRank)-time.Since(c.FreshAt()), rankCheck)
}

// mayAge is the age of its copy at which an entry reads the store, by its rank in its
// zone and that of the zone. The first of the first zone reads always.
func mayAge(rank, zoneRank int) time.Duration {
	switch {
	case rank > 0:
		return staleAfter + time.Duration(rank)*staleStep
	case zoneRank > 0:
		return zoneStaleAfter + time.Duration(zoneRank-1)*staleStep
	}
	return 0
}

// listTime is when an entry that knows of nothing, or of too little, lists everything.
// A seed begins at once, because others ask it: after a loss of all entries they know of
// the servers 65 to 125 ms after their start, instead of 560 ms (TestFleetIsReadySoonAfterAllEntriesWereKilled).
func (c *Catalog) listTime(at *position, rank int) time.Time {
	switch {
	case at.forgotten != 0:
		return at.listAt.Add(min(time.Duration(rank)*listStep, mostListWait))
	case len(c.options.Seeds) == 0 || c.options.IsSeed:
		return c.started
	}
	return c.started.Add(startGrace + min(time.Duration(rank)*staleStep, mostListWait))
}

// untilAgentReads is how long an agent has not to read the store, if it hears nothing
// of any entry meanwhile.
func (c *Catalog) untilAgentReads() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	heard := c.started
	if c.toldAt.After(heard) {
		heard = c.toldAt
	}
	return agentSilence + c.agentOffset - time.Since(heard)
}

// ranks are this entry's place among the entries of its zone, and that of its zone.
func (c *Catalog) ranks() (rank, zoneRank int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.overlay.Advance(time.Now())
	return c.overlay.Rank(), c.overlay.ZoneRank()
}

// noteAnswered notes that the store has answered, before its answer is taken in.
func (c *Catalog) noteAnswered() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.noteFresh(time.Now())
}

// read makes one call and takes in what the store answers.
func (c *Catalog) read(ctx context.Context, at *position, wait time.Duration) {
	c.calls.Add(1)
	began := time.Now()
	var err error
	if at.at == 0 {
		err = c.list(ctx, at)
	} else {
		call := storeCall{sent: time.Now(), wait: wait}
		var changes fleet.Listing
		changes, err = c.options.Store.Watch(ctx, at.prefix, at.at, wait)
		if err == nil {
			call.received, call.changes = time.Now(), len(changes.Records)
			c.noteAnswered()
			c.takeWatched(changes.Records)
			c.noteKnown(call)
			at.at = max(at.at, changes.At)
			c.noteRead(at.at)
		}
	}
	var historyGone *fault.HistoryGone
	switch {
	case err == nil:
		c.noteAnswer(at)
	case errors.As(err, &historyGone):
		c.options.Log.Log(logging.HistoryForgotten, zap.String("prefix", at.prefix), zap.Uint64("after", at.at))
		at.forgotten, at.listAt = max(at.at, 1), time.Now()
		at.at = 0
	case ctx.Err() == nil:
		c.noteRefused(began, err)
		c.noteFailure(ctx, at, err)
	}
}

func (c *Catalog) list(ctx context.Context, at *position) error {
	call := storeCall{sent: time.Now()}
	listing, err := c.options.Store.List(ctx, at.prefix)
	if err != nil {
		return err
	}
	c.noteAnswered()
	c.replace(at.prefix, listing)
	call.received, call.changes = time.Now(), len(listing.Records)
	c.noteKnown(call)
	at.at, at.forgotten = listing.At, 0
	c.noteRead(at.at)
	return nil
}

// noteRead notes that every change up to a revision has been heard of from the store, and
// has all others told how fresh the copy is.
func (c *Catalog) noteRead(revision uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.complete = max(c.complete, revision)
	c.freshSequence++
	c.freshFromStore = c.freshSequence
	c.kickExchange()
}

func (c *Catalog) noteAnswer(at *position) {
	if at.failed {
		c.options.Log.Log(logging.ServiceReached, zap.String("prefix", at.prefix))
	}
	at.failed, at.retry = false, 0
}

func (c *Catalog) noteFailure(ctx context.Context, at *position, err error) {
	if !at.failed {
		c.options.Log.Log(logging.ServiceUnreached, zap.String("prefix", at.prefix), zap.Error(err))
	}
	at.failed = true
	at.retry = min(max(2*at.retry, readRetry), maximumReadRetry)
	waiting.For(ctx, at.retry/2+rand.N(at.retry))
}
