package dissemination

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

func (f *Fetcher) enqueue(chunk int) {
	state := &f.chunks[chunk]
	if state.fetching || state.queued {
		return
	}
	state.queued = true
	f.queue = append(f.queue, chunk)
}

// schedule starts the transfers that the limits allow: first the chunks for which most
// levels of machines wait behind this one, then the earliest.
func (f *Fetcher) schedule(now time.Duration) {
	f.scheduleRoots(now)
	for f.peerFetches < f.options.MaxFetches && len(f.queue) > 0 {
		chunk := f.popMostUrgent()
		state := &f.chunks[chunk]
		state.queued = false
		if state.held || state.fetching || len(state.sources) == 0 {
			continue
		}
		source, usable := f.bestSource(state, now)
		if !usable && !f.mayRetryFailedSource(state, now) {
			f.markLate(state, now)
			continue
		}
		state.fetching = true
		f.peerFetches++
		f.addAction(Fetch, source, chunk)
	}
}

func (f *Fetcher) popMostUrgent() int {
	best := 0
	for i := 1; i < len(f.queue); i++ {
		if f.moreUrgent(f.queue[i], f.queue[best]) {
			best = i
		}
	}
	chunk := f.queue[best]
	f.queue = slices.Delete(f.queue, best, best+1)
	return chunk
}

func (f *Fetcher) moreUrgent(a, b int) bool {
	return MoreUrgent(f.Height(a), a, f.Height(b), b)
}

// Height returns the number of levels of machines that wait for a chunk behind this one.
func (f *Fetcher) Height(chunk int) int {
	return f.options.Plan.Height(chunk, f.options.Self)
}

// chunksPerLevel is how many chunks of age weigh as much as one level of waiting machines.
const chunksPerLevel = 16

// MoreUrgent reports whether transfer A goes before transfer B. Each level of machines
// that waits behind the receiver counts as much as chunksPerLevel chunks of age, so that
// inner nodes go first but no transfer starves.
func MoreUrgent(heightA, chunkA, heightB, chunkB int) bool {
	urgencyA, urgencyB := heightA*chunksPerLevel-chunkA, heightB*chunksPerLevel-chunkB
	if urgencyA != urgencyB {
		return urgencyA > urgencyB
	}
	return chunkA < chunkB
}

func (f *Fetcher) hasUsableSource(state *chunkState, now time.Duration) bool {
	for _, source := range state.sources {
		if !f.isAvoided(source, now) {
			return true
		}
	}
	return false
}

func (f *Fetcher) bestSource(state *chunkState, now time.Duration) (MachineID, bool) {
	for _, source := range state.sources {
		if !f.isAvoided(source, now) {
			return source, true
		}
	}
	return state.sources[0], false
}

// scheduleRoots reads from the origin the chunks of which this machine is the root,
// at most originLimit ahead.
func (f *Fetcher) scheduleRoots(now time.Duration) {
	kept := f.rootChunks[:0]
	for i, chunk := range f.rootChunks {
		state := &f.chunks[chunk]
		// A chunk that a peer already holds need not be read from the origin again.
		if state.held || state.fetching || state.late || f.hasUsableSource(state, now) {
			continue
		}
		if f.originFetches >= f.options.MaxFetches || f.chunks[chunk].ordinal > f.originLimit() || now < f.originReadTime(chunk) {
			kept = append(kept, f.rootChunks[i:]...)
			break
		}
		f.fetchOrigin(chunk, now)
	}
	f.rootChunks = kept
}

// The window of chunks that may be read from the origin ahead of the number received
// starts at initialWindow and grows by windowGrowth per chunk received.
const (
	initialWindow = 16
	windowGrowth  = 4
)

// originLimit returns the highest ordinal that may be read from the origin now.
func (f *Fetcher) originLimit() int {
	received := f.initiallyMissing - f.missing
	return received + min(f.options.OriginWindow, initialWindow+windowGrowth*received)
}

// originLead is how many chunk intervals early a chunk is requested, so that the origin
// is never idle although the machines start the transfer at different times.
const originLead = 10

// originReadTime returns when a chunk is to be requested from the origin.
func (f *Fetcher) originReadTime(chunk int) time.Duration {
	preceding := max(0, f.chunks[chunk].ordinal-originLead)
	return f.started + time.Duration(preceding)*f.options.OriginInterval
}

// skippedCycles is how many retry cycles of a chunk a machine that is not its root skips after a
// failure.
const skippedCycles = 2

// originRetryTime returns when a chunk may be requested from the origin again after a failure. A
// chunk that was corrupt or refused while others arrive is retried soon. When a transfer stalls,
// or nothing arrives from any source, the origin is unavailable or its link is saturated: the
// machines then retry in cycles, at the rate at which the link carries the missing chunks. If all
// of them retried every few hundred milliseconds, the link would carry all chunks at once, each so
// slowly that most would time out and be sent again: after an outage of 6 s that took 16 s and
// 1.65 copies instead of 6 s and 1.05. A machine that is not the chunk's root leaves the next
// cycles to the root.
func (f *Fetcher) originRetryTime(chunk int, reason FailureReason, now time.Duration) time.Duration {
	soon := now + f.options.ProgressTimeout
	cycle := time.Duration(f.missing) * f.options.OriginInterval
	progressing := now-f.lastProgress <= 2*f.options.ProgressTimeout
	if cycle <= 0 || (progressing && reason != Stalled) {
		return soon
	}
	if !f.isRoot(chunk) {
		soon += skippedCycles * cycle
	}
	slot := f.started + (time.Duration(f.missingBefore(chunk))*f.options.OriginInterval+f.originOffset(cycle))%cycle
	cycles := max(0, (soon-slot+cycle-1)/cycle)
	return slot + cycles*cycle
}

// originOffset spreads the retries of machines that consider themselves the root of the same chunk
// because their membership lists differ: the first one to fetch it passes it to the others.
func (f *Fetcher) originOffset(cycle time.Duration) time.Duration {
	const steps = 1 << 10
	return cycle * time.Duration(xxhash.Sum64String(string(f.options.Self))%steps) / steps
}

// missingBefore returns the number of missing chunks before a chunk.
func (f *Fetcher) missingBefore(chunk int) int {
	count := 0
	for preceding := range chunk {
		if !f.chunks[preceding].held {
			count++
		}
	}
	return count
}

// isRoot reports whether this machine reads a chunk from the origin.
func (f *Fetcher) isRoot(chunk int) bool {
	_, hasParent := f.options.Plan.Parent(chunk, f.options.Self)
	return !hasParent && !f.options.PeersOnly
}

func (f *Fetcher) fetchOrigin(chunk int, now time.Duration) {
	if f.options.PeersOnly || now < f.chunks[chunk].nextOrigin {
		return
	}
	f.chunks[chunk].fetching = true
	f.originFetches++
	f.addAction(FetchOrigin, "", chunk)
}
