package dissemination

import (
	"slices"
	"time"
)

// Limits of the repair of late chunks.
const (
	// maxQueriesPerTick is for how many chunks peers are queried in one tick.
	maxQueriesPerTick = 16
	// stalledChunks is how many of the earliest missing chunks count as late when
	// nothing at all arrives.
	stalledChunks = 4
)

// Tick detects late chunks and queries peers for them.
func (f *Fetcher) Tick(now time.Duration) {
	if f.missing == 0 {
		return
	}
	forcedLate := 0
	if now-f.lastProgress > 2*f.options.ProgressTimeout {
		forcedLate = stalledChunks
	}
	idle := f.idle(now)
	queried := 0
	for chunk := range f.chunks {
		state := &f.chunks[chunk]
		if state.held || state.fetching {
			continue
		}
		if len(state.sources) > 0 {
			f.enqueue(chunk)
		}
		if f.hasUsableSource(state, now) {
			continue
		}
		if forcedLate == 0 && !f.isLate(chunk, idle, now) {
			continue
		}
		forcedLate = max(0, forcedLate-1)
		f.markLate(state, now)
		if now >= state.nextQuery && queried < maxQueriesPerTick {
			queried++
			f.repair(chunk, now)
		}
	}
	f.schedule(now)
}

// idle reports whether no transfer is in progress and none has completed for a while.
func (f *Fetcher) idle(now time.Duration) bool {
	return f.peerFetches == 0 && len(f.queue) == 0 && now-f.lastProgress >= f.options.ProgressTimeout
}

// isLate reports whether a chunk without a source is late: it already was, the
// machine is idle, the chunk has fallen too far behind the highest one known, or the
// parent that should offer it is unreachable.
func (f *Fetcher) isLate(chunk int, idle bool, now time.Duration) bool {
	state := &f.chunks[chunk]
	behind := f.highestOrdinal - state.ordinal
	switch {
	case state.late:
		return true
	case idle && behind > 0:
		return true
	case behind > f.maxLag(chunk):
		return true
	}
	return f.parentUnreachable(chunk, now)
}

// Each level of machines that waits behind this one makes a chunk count as late some
// chunks earlier, because it should arrive here earlier.
const (
	lagPerLevel = 8
	minLag      = 16
)

// maxLag returns how far a chunk may be behind before it counts as late.
func (f *Fetcher) maxLag(chunk int) int {
	return max(minLag, f.options.LagChunks-lagPerLevel*f.Height(chunk))
}

// failedSourceRetryRounds is how many query rounds pass before a source that failed
// is tried again.
const failedSourceRetryRounds = 4

// mayRetryFailedSource reports whether a chunk has been late for so long that a
// source that failed is tried again.
func (f *Fetcher) mayRetryFailedSource(state *chunkState, now time.Duration) bool {
	return state.late && now-state.lateSince > failedSourceRetryRounds*f.options.ProgressTimeout
}

func (f *Fetcher) markLate(state *chunkState, now time.Duration) {
	if !state.late {
		state.late = true
		state.lateSince = now
		state.nextQuery = now
	}
}

// repair queries the nearest live provider for a late chunk and waits for it. When
// there is none, this machine reads the chunk from the origin.
func (f *Fetcher) repair(chunk int, now time.Duration) {
	state := &f.chunks[chunk]
	state.nextQuery = now + f.options.ProgressTimeout
	for _, peer := range f.options.Plan.Providers(chunk, f.options.Self) {
		if !f.isUnreachable(peer, now) && !f.isFailedSource(state, peer, now) {
			f.addAction(Query, peer, chunk)
			f.escalate(chunk, now)
			return
		}
	}
	if f.originFetches < f.options.MaxFetches {
		f.fetchOrigin(chunk, now)
	}
	state.nextQuery = min(state.nextQuery, max(now, state.nextOrigin))
}

// isFailedSource reports whether a peer failed and is not yet due to be tried again.
func (f *Fetcher) isFailedSource(state *chunkState, peer MachineID, now time.Duration) bool {
	return f.isAvoided(peer, now) && !f.mayRetryFailedSource(state, now)
}

// denialsPerReader is after how many denials of a chunk the next origin reader, in order
// of rank, concludes that the zone lacks the chunk. For the last few chunks
// fewer suffice: the whole zone waits, and reading a chunk twice costs little.
const (
	denialsPerReader     = 24
	denialsPerReaderLast = 6
	lastChunks           = 2
)

func (f *Fetcher) requiredDenials() int {
	if f.missing <= lastChunks {
		return denialsPerReaderLast
	}
	return denialsPerReader
}

// escalate handles a chunk that the provider does not deliver, perhaps because
// membership lists differ and the provider waits for this machine. Other machines of
// the zone are queried, a few at a time. When all of them lack the chunk, its origin
// readers in the zone read it from the origin one after the other. They are picked by
// rendezvous hashing, which gives almost the same result for lists that differ, so
// that the number of copies from the origin is bounded without coordination.
func (f *Fetcher) escalate(chunk int, now time.Duration) {
	waited := now - f.chunks[chunk].lateSince
	if waited < f.options.ProgressTimeout {
		return
	}
	f.queryNeighbors(chunk, int(waited/f.options.ProgressTimeout), now)
	readers := f.chunks[chunk].denials / f.requiredDenials()
	if readers == 0 {
		return
	}
	rank := slices.Index(f.options.Plan.OriginReaders(chunk, f.options.Self), f.options.Self)
	// One at a time: while the origin is unavailable every reader finds that its zone lacks
	// every chunk, and their queued reads would saturate the origin's link on its return.
	if rank >= 0 && readers > rank && f.originFetches == 0 {
		f.fetchOrigin(chunk, now)
	}
}

// neighborsPerRound is how many machines of the zone are queried in a round.
const neighborsPerRound = 4

// neighborStride spreads the rounds of different chunks over the zone.
const neighborStride = 7

func (f *Fetcher) queryNeighbors(chunk, round int, now time.Duration) {
	neighbors := f.options.Plan.Neighbors(f.options.Self)
	if len(neighbors) == 0 {
		return
	}
	start := (chunk*neighborStride + round*neighborsPerRound) % len(neighbors)
	for offset := range neighborsPerRound {
		neighbor := neighbors[(start+offset)%len(neighbors)]
		if neighbor != f.options.Self && !f.isAvoided(neighbor, now) {
			f.addAction(Query, neighbor, chunk)
		}
	}
}
