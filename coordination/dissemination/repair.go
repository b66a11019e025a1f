package dissemination

import (
	"slices"
	"time"
)

// Bounds of repair.
const (
	// maximumAsks is how many chunks are asked for in one tick.
	maximumAsks = 16
	// quietChunks is how many of the earliest missing chunks are taken for late
	// when nothing at all arrives.
	quietChunks = 4
)

// Tick looks for chunks that are late and asks for them.
func (f *Fetcher) Tick(now time.Duration) {
	if f.missing == 0 {
		return
	}
	quiet := 0
	if now-f.lastProgress > 2*f.options.ProgressTimeout {
		quiet = quietChunks
	}
	idle := f.idle(now)
	asked := 0
	for chunk := range f.chunks {
		state := &f.chunks[chunk]
		if state.held || state.fetching {
			continue
		}
		if len(state.sources) > 0 {
			f.enqueue(chunk)
		}
		if f.hasTrustedSource(state, now) {
			continue
		}
		if quiet == 0 && !f.isLate(chunk, idle, now) {
			continue
		}
		quiet = max(0, quiet-1)
		f.makeLate(state, now)
		if now >= state.nextAsk && asked < maximumAsks {
			asked++
			f.repair(chunk, now)
		}
	}
	f.schedule(now)
}

// idle reports whether nothing has been under way for a while.
func (f *Fetcher) idle(now time.Duration) bool {
	return f.active == 0 && len(f.queue) == 0 && now-f.lastProgress >= f.options.ProgressTimeout
}

// isLate reports whether a chunk without a source is to be asked for: it was
// before, the machine has nothing else to do, the chunk has fallen behind the
// newest one heard of, or the machine that is to bring it can't be reached.
func (f *Fetcher) isLate(chunk int, idle bool, now time.Duration) bool {
	state := &f.chunks[chunk]
	behind := f.highest - state.ordinal
	switch {
	case state.late:
		return true
	case idle && behind > 0:
		return true
	case behind > f.lagOf(chunk):
		return true
	}
	return f.parentLost(chunk, now)
}

// Each level of machines that waits behind this one makes a chunk count as late
// some chunks earlier, because it is to come here earlier.
const (
	lagPerLevel = 8
	minimumLag  = 16
)

// lagOf is how far a chunk may be behind before it counts as late.
func (f *Fetcher) lagOf(chunk int) int {
	return max(minimumLag, f.options.LagChunks-lagPerLevel*f.Height(chunk))
}

// desperateRounds is how many rounds of asking come before a source that failed
// is tried again.
const desperateRounds = 4

// desperate reports whether a chunk has been late for so long that a source
// that failed before is tried again.
func (f *Fetcher) desperate(state *chunkState, now time.Duration) bool {
	return state.late && now-state.lateSince > desperateRounds*f.options.ProgressTimeout
}

func (f *Fetcher) makeLate(state *chunkState, now time.Duration) {
	if !state.late {
		state.late = true
		state.lateSince = now
		state.nextAsk = now
	}
}

// repair asks for a late chunk the nearest machine that is to bring it and
// lives; that machine is then waited for. When there is none, this machine is
// the one to read the origin.
func (f *Fetcher) repair(chunk int, now time.Duration) {
	state := &f.chunks[chunk]
	state.nextAsk = now + f.options.ProgressTimeout
	for _, peer := range f.options.Plan.Providers(chunk, f.options.Self) {
		if !f.isUnreachable(peer, now) && !f.failedSource(state, peer, now) {
			f.act(Query, peer, chunk)
			f.escalate(chunk, now)
			return
		}
	}
	if f.origin < f.options.MaxFetches {
		f.fetchOrigin(chunk, now)
	}
	state.nextAsk = min(state.nextAsk, max(now, state.nextOrigin))
}

// failedSource reports whether a peer holds the chunk but could not send it.
func (f *Fetcher) failedSource(state *chunkState, peer MachineID, now time.Duration) bool {
	return f.isDistrusted(peer, now) && !f.desperate(state, now)
}

// deniedEnough is how many machines must lack a chunk, for each turn, until a
// reader takes it that the zone lacks it. For the last few chunks fewer will do:
// the whole zone waits, and reading one twice costs little.
const (
	deniedEnough     = 24
	deniedEnoughLast = 6
	lastChunks       = 2
)

func (f *Fetcher) deniedEnough() int {
	if f.missing <= lastChunks {
		return deniedEnoughLast
	}
	return deniedEnough
}

// escalate deals with a chunk that the machines waited for do not bring, perhaps
// because lists differ and they wait for this one. Other machines of the zone
// are asked, a few at a time. When all of them lack it the zone's readers for
// the chunk read it from the origin in turn; they are picked by rendezvous
// hashing, on which differing lists almost agree, so that the origin's copies
// are bounded without anyone counting them.
func (f *Fetcher) escalate(chunk int, now time.Duration) {
	waited := now - f.chunks[chunk].lateSince
	if waited < f.options.ProgressTimeout {
		return
	}
	f.askMates(chunk, int(waited/f.options.ProgressTimeout), now)
	turns := f.chunks[chunk].denials / f.deniedEnough()
	if turns == 0 {
		return
	}
	rank := slices.Index(f.options.Plan.OriginReaders(chunk, f.options.Self), f.options.Self)
	// One at a time: while the origin is away every reader finds that its zone lacks every
	// chunk, and what they had queued up would fill its link on its return.
	if rank >= 0 && turns > rank && f.origin == 0 {
		f.fetchOrigin(chunk, now)
	}
}

// matesAsked is how many machines of the zone are asked in a round.
const matesAsked = 4

// mateStride spreads the rounds of different chunks over the zone.
const mateStride = 7

func (f *Fetcher) askMates(chunk, round int, now time.Duration) {
	mates := f.options.Plan.Neighbors(f.options.Self)
	if len(mates) == 0 {
		return
	}
	start := (chunk*mateStride + round*matesAsked) % len(mates)
	for offset := range matesAsked {
		mate := mates[(start+offset)%len(mates)]
		if mate != f.options.Self && !f.isDistrusted(mate, now) {
			f.act(Query, mate, chunk)
		}
	}
}
