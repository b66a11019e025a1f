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
	maximumReadRetry = 600 * time.Millisecond
	// staleAfter is the age of the copy at which an entry that is not its zone's
	// reader reads for itself, and staleStep adds to it with its rank.
	staleAfter = 800 * time.Millisecond
	staleStep  = 100 * time.Millisecond
	// agentStaleAfter is the same for agents, which can wait longer.
	agentStaleAfter = 2 * time.Second
	// leastIdle is the least time between two looks of a process that does not read
	// whether it must, and rankCheck the most for an entry, which may have become the
	// first of its zone.
	leastIdle = 50 * time.Millisecond
	rankCheck = 200 * time.Millisecond
)

// position is where a watch of a prefix stands.
type position struct {
	prefix string
	at     uint64
	retry  time.Duration
	failed bool
}

// followStore lists the store's records once, and then watches them while this
// process is to read. A process that begins to read again goes on from what it
// had read last; the store says when that is too long ago.
func (c *Catalog) followStore(ctx context.Context) {
	at := &position{prefix: c.options.Decoder.Prefix()}
	for ctx.Err() == nil {
		if idle := c.untilReading(); at.at != 0 && idle > 0 {
			waiting.For(ctx, max(idle, leastIdle))
			continue
		}
		began := time.Now()
		c.read(ctx, at, watchWait)
		waiting.For(ctx, watchPace-time.Since(began))
	}
}

// untilReading is how long this process has not to read the store, unless it is told
// something meanwhile: the first entry of its zone reads always, the others when nobody
// has told them for a while.
func (c *Catalog) untilReading() time.Duration {
	if c.options.Role == RoleAgent {
		return agentStaleAfter - time.Since(c.Fresh())
	}
	rank := c.zoneRank()
	if rank == 0 {
		return 0
	}
	left := staleAfter + time.Duration(rank)*staleStep - time.Since(c.Fresh())
	return min(left, rankCheck)
}

// zoneRank is this entry's place among the entries of its zone.
func (c *Catalog) zoneRank() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.overlay.Advance(time.Now())
	return c.overlay.Rank()
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
	var err error
	if at.at == 0 {
		err = c.list(ctx, at)
	} else {
		var changes fleet.Listing
		changes, err = c.options.Store.Watch(ctx, at.prefix, at.at, wait)
		if err == nil {
			c.noteAnswered()
			c.takeWatched(changes.Records)
			at.at = max(at.at, changes.At)
		}
	}
	var historyGone *fault.HistoryGone
	switch {
	case err == nil:
		c.noteAnswer(at)
	case errors.As(err, &historyGone):
		c.options.Log.Log(logging.HistoryForgotten, zap.String("prefix", at.prefix), zap.Uint64("after", at.at))
		at.at = 0
	case ctx.Err() == nil:
		c.noteFailure(ctx, at, err)
	}
}

func (c *Catalog) list(ctx context.Context, at *position) error {
	listing, err := c.options.Store.List(ctx, at.prefix)
	if err != nil {
		return err
	}
	c.noteAnswered()
	c.replace(at.prefix, listing)
	at.at = listing.At
	return nil
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
