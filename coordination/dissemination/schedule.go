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

// schedule starts the transfers that the limits allow: first the chunks that
// most machines wait for behind this one, then the earliest.
func (f *Fetcher) schedule(now time.Duration) {
	f.scheduleRoots(now)
	for f.active < f.options.MaxFetches && len(f.queue) > 0 {
		chunk := f.takeUrgent()
		state := &f.chunks[chunk]
		state.queued = false
		if state.held || state.fetching || len(state.sources) == 0 {
			continue
		}
		source, trusted := f.bestSource(state, now)
		if !trusted && !f.desperate(state, now) {
			f.makeLate(state, now)
			continue
		}
		state.fetching = true
		f.active++
		f.act(Fetch, source, chunk)
	}
}

func (f *Fetcher) takeUrgent() int {
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

// Height returns how many levels of machines wait for a chunk behind this one.
func (f *Fetcher) Height(chunk int) int {
	return f.options.Plan.Height(chunk, f.options.Self)
}

// levelChunks is how many chunks of age one level of waiting machines outweighs.
const levelChunks = 16

// MoreUrgent orders transfers: each level of machines that waits behind the
// receiver counts as much as a number of chunks of age, so that inner machines go
// first but nothing waits for ever.
func MoreUrgent(heightA, chunkA, heightB, chunkB int) bool {
	urgencyA, urgencyB := heightA*levelChunks-chunkA, heightB*levelChunks-chunkB
	if urgencyA != urgencyB {
		return urgencyA > urgencyB
	}
	return chunkA < chunkB
}

func (f *Fetcher) hasTrustedSource(state *chunkState, now time.Duration) bool {
	for _, source := range state.sources {
		if !f.isDistrusted(source, now) {
			return true
		}
	}
	return false
}

func (f *Fetcher) bestSource(state *chunkState, now time.Duration) (MachineID, bool) {
	for _, source := range state.sources {
		if !f.isDistrusted(source, now) {
			return source, true
		}
	}
	return state.sources[0], false
}

// scheduleRoots reads from the origin the chunks that this machine is the root
// of, not far ahead of what this machine has reached.
func (f *Fetcher) scheduleRoots(now time.Duration) {
	kept := f.rootChunks[:0]
	for i, chunk := range f.rootChunks {
		state := &f.chunks[chunk]
		// What a peer holds already need not come from the origin once more.
		if state.held || state.fetching || state.late || f.hasTrustedSource(state, now) {
			continue
		}
		if f.origin >= f.options.MaxFetches || f.chunks[chunk].ordinal > f.originLimit() || now < f.originTurn(chunk) {
			kept = append(kept, f.rootChunks[i:]...)
			break
		}
		f.fetchOrigin(chunk, now)
	}
	f.rootChunks = kept
}

// The origin is read ahead of the number of chunks received, first by a few.
const (
	startWindow  = 16
	windowGrowth = 4
)

// originLimit is the highest ordinal that may be read from the origin now.
func (f *Fetcher) originLimit() int {
	received := f.wanted - f.missing
	return received + min(f.options.OriginWindow, startWindow+windowGrowth*received)
}

// originAhead is how many chunks before its turn a chunk is asked for, so that the
// origin is never idle though the machines' clocks of the transfer differ.
const originAhead = 10

// originTurn is when a chunk is to be asked of the origin.
func (f *Fetcher) originTurn(chunk int) time.Duration {
	before := max(0, f.chunks[chunk].ordinal-originAhead)
	return f.started + time.Duration(before)*f.options.OriginInterval
}

// readerCycles is how many turns of a chunk a machine that is not its root leaves out after a
// failure.
const readerCycles = 2

// originTurnAfterFailure is when the origin is to be asked again for a chunk that it has not
// given. A chunk that came spoilt or was refused while others come is asked for soon. When the
// origin does not answer, or nothing comes from anywhere, it is away or its link is full: the
// machines then ask in a cycle of turns, at the pace at which the link carries what is missing.
// Were they all to ask every few hundred milliseconds, it would carry all chunks at once, each
// so slowly that most are given up and sent again: 16 s and 1.65 copies for what takes 6 s and
// 1.05, after an absence of 6 s. A machine that is not the chunk's root leaves the next turns to
// that.
func (f *Fetcher) originTurnAfterFailure(chunk int, reason FailureReason, now time.Duration) time.Duration {
	soon := now + f.options.ProgressTimeout
	cycle := time.Duration(f.missing) * f.options.OriginInterval
	comes := now-f.lastProgress <= 2*f.options.ProgressTimeout
	if cycle <= 0 || (comes && reason != Stalled) {
		return soon
	}
	if !f.isRoot(chunk) {
		soon += readerCycles * cycle
	}
	turn := f.started + (time.Duration(f.missingBefore(chunk))*f.options.OriginInterval+f.originOffset(cycle))%cycle
	cycles := max(0, (soon-turn+cycle-1)/cycle)
	return turn + cycles*cycle
}

// originOffset spreads the turns of machines that take themselves for the root of the same
// chunk, because their lists differ: the first of them brings it to the others.
func (f *Fetcher) originOffset(cycle time.Duration) time.Duration {
	const steps = 1 << 10
	return cycle * time.Duration(xxhash.Sum64String(string(f.options.Self))%steps) / steps
}

// missingBefore counts the missing chunks before one.
func (f *Fetcher) missingBefore(chunk int) int {
	count := 0
	for before := range chunk {
		if !f.chunks[before].held {
			count++
		}
	}
	return count
}

// isRoot reports whether this machine is to read a chunk from the origin.
func (f *Fetcher) isRoot(chunk int) bool {
	_, hasParent := f.options.Plan.Parent(chunk, f.options.Self)
	return !hasParent && !f.options.PeersOnly
}

func (f *Fetcher) fetchOrigin(chunk int, now time.Duration) {
	if f.options.PeersOnly || now < f.chunks[chunk].nextOrigin {
		return
	}
	f.chunks[chunk].fetching = true
	f.origin++
	f.act(FetchOrigin, "", chunk)
}
