package dissemination

import (
	"slices"
	"time"
)

// ActionKind is what a Fetcher wants done.
type ActionKind int

// The kinds of actions.
const (
	// Offer tells a peer that this machine holds a chunk.
	Offer ActionKind = iota + 1
	// Query asks a peer for a chunk; a peer that lacks it offers it later.
	Query
	// Fetch transfers a chunk from a peer, verifies and stores it.
	Fetch
	// FetchOrigin transfers a chunk from the origin, verifies and stores it.
	FetchOrigin
)

// Action is one thing for the caller to do. The caller reports the end of each
// Fetch and FetchOrigin, and the failure of each Offer and Ask.
type Action struct {
	Kind  ActionKind
	Peer  MachineID
	Chunk int
}

// FailureReason says why a fetch failed.
type FailureReason int

// The failure reasons.
const (
	// Unreachable means that the source did not answer.
	Unreachable FailureReason = iota + 1
	// Stalled means that the transfer made too little progress.
	Stalled
	// Corrupted means that the bytes did not match their digest.
	Corrupted
	// NotHeld means that the source lacks the chunk.
	NotHeld
)

// Options tunes a Fetcher. Times are in the unit of the caller's clock.
type Options struct {
	Self   MachineID
	Plan   Plan
	Chunks int
	// Held marks the chunks that are already here; nil means none.
	Held []bool
	// PeersOnly leaves the origin to others: chunks come from machines that offer them.
	PeersOnly bool
	// MaxFetches is how many transfers from peers, and how many from the
	// origin, run at once.
	MaxFetches int
	// OriginWindow is how many chunks past the number received may be requested from
	// the origin, so that a fast origin is read at the pace of the fleet's links.
	OriginWindow int
	// OriginInterval is how long the origin takes for a chunk; 0 when that is not
	// known. The machines then read their chunks one after the other, so that the
	// first ones come soon and few connections stand at the origin at a time.
	OriginInterval time.Duration
	// LagChunks is how far a chunk may be behind the highest one heard of before
	// it counts as late.
	LagChunks int
	// ProgressTimeout is how long to wait for progress before asking around.
	ProgressTimeout time.Duration
	// PeerBackoff is how long a peer that failed is avoided.
	PeerBackoff time.Duration
}

func (o Options) applyDefaults() Options {
	if o.MaxFetches == 0 {
		o.MaxFetches = 64
	}
	if o.OriginWindow == 0 {
		o.OriginWindow = 128
	}
	if o.LagChunks == 0 {
		o.LagChunks = 112
	}
	if o.ProgressTimeout == 0 {
		o.ProgressTimeout = time.Second
	}
	if o.PeerBackoff == 0 {
		o.PeerBackoff = 30 * o.ProgressTimeout
	}
	return o
}

// chunkState is what a Fetcher knows of one chunk.
type chunkState struct {
	// ordinal counts the chunks before this one that were missing at the start.
	ordinal  int
	held     bool
	fetching bool
	queued   bool
	// late is set once the chunk is to be asked for, since lateSince.
	late      bool
	lateSince time.Duration
	nextAsk   time.Duration
	// nextOrigin is when the origin may be asked for the chunk again after it has failed.
	nextOrigin time.Duration
	// pendingAt is when a machine last knew at first hand that the chunk is to come.
	pendingAt time.Duration
	// denials counts the answers that the chunk is not there, since one that it is.
	denials int
	// sources have offered the chunk.
	sources []MachineID
	// interested have asked for the chunk before it was here.
	interested []MachineID
}

// Fetcher is the state machine of one machine for one manifest.
type Fetcher struct {
	options Options
	chunks  []chunkState
	missing int
	// wanted is how many chunks were missing at the start.
	wanted int
	active int
	// origin counts transfers from the origin under way.
	origin int
	// highest is the highest ordinal heard of.
	highest int
	// queue lists chunks with a source that are not being fetched.
	queue        []int
	lastProgress time.Duration
	started      time.Duration
	peers        map[MachineID]peerState
	// zones counts, for each zone, the machines that failed since one answered.
	zones map[string]zoneState
	// rootChunks lists the chunks this machine is to read from the origin.
	rootChunks []int
	actions    []Action
}

// NewFetcher returns a fetcher that has not started.
func NewFetcher(options Options) *Fetcher {
	fetcher := &Fetcher{
		options: options.applyDefaults(),
		chunks:  make([]chunkState, options.Chunks),
		peers:   map[MachineID]peerState{},
		zones:   map[string]zoneState{},
		highest: -1,
	}
	for chunk := range fetcher.chunks {
		fetcher.chunks[chunk].ordinal = fetcher.missing
		if options.Held != nil && options.Held[chunk] {
			fetcher.chunks[chunk].held = true
			continue
		}
		fetcher.missing++
	}
	fetcher.wanted = fetcher.missing
	return fetcher
}

// Missing returns how many chunks are not here yet.
func (f *Fetcher) Missing() int { return f.missing }

// HasSource reports whether a peer has offered a chunk that is not here.
func (f *Fetcher) HasSource(chunk int) bool { return len(f.chunks[chunk].sources) > 0 }

// Unsourced returns how many of the missing chunks are offered by nobody.
func (f *Fetcher) Unsourced() int {
	count := 0
	for chunk := range f.chunks {
		if !f.chunks[chunk].held && len(f.chunks[chunk].sources) == 0 {
			count++
		}
	}
	return count
}

// LastProgress returns when a chunk last came, or the transfer began.
func (f *Fetcher) LastProgress() time.Duration { return f.lastProgress }

// Holds reports whether a chunk is here.
func (f *Fetcher) Holds(chunk int) bool { return f.chunks[chunk].held }

// pendingRounds is for how many rounds of asking the word counts that the root of a chunk lives:
// as many as it takes to reach the last machine of a zone, and some lost answers.
const pendingRounds = 8

// trustedRounds is for how many rounds a late chunk is left to a root that lives: for an
// origin's usual absence of some seconds. One that does not bring it for longer is taken for
// stuck.
const trustedRounds = 24

// Expects reports whether a chunk is here, has a source, or is to be read from the origin by
// this machine or by one that has said so; and how long ago that was known at first hand. So
// the whole zone knows that the root of a chunk lives while the origin is away, and leaves the
// origin to it. Ages only grow on the way, so that machines whose lists differ can't keep each
// other believing.
func (f *Fetcher) Expects(chunk int, now time.Duration) (age time.Duration, expected bool) {
	if !f.valid(chunk) {
		return 0, false
	}
	state := &f.chunks[chunk]
	if state.held || state.fetching || len(state.sources) > 0 || f.isRoot(chunk) {
		return 0, true
	}
	age = now - state.pendingAt
	trusted := !state.late || now-state.lateSince < trustedRounds*f.options.ProgressTimeout
	return age, trusted && state.pendingAt > 0 && age < pendingRounds*f.options.ProgressTimeout
}

// TakeActions returns the actions since the last call.
func (f *Fetcher) TakeActions() []Action {
	actions := f.actions
	f.actions = nil
	return actions
}

// Start begins the transfer. Chunks that are already here are offered at once.
func (f *Fetcher) Start(now time.Duration) {
	f.lastProgress, f.started = now, now
	f.SetPlan(f.options.Plan, now)
	for chunk := range f.chunks {
		if f.chunks[chunk].held {
			f.offerToChildren(chunk, now)
		}
	}
}

// SetPlan replaces the plan when the membership list has changed.
func (f *Fetcher) SetPlan(plan Plan, now time.Duration) {
	f.options.Plan = plan
	f.rootChunks = f.rootChunks[:0]
	for chunk := range f.chunks {
		if f.isRoot(chunk) && !f.chunks[chunk].held {
			f.rootChunks = append(f.rootChunks, chunk)
		}
	}
	f.schedule(now)
}

// RecordOffer records that a peer holds a chunk.
func (f *Fetcher) RecordOffer(from MachineID, chunk int, now time.Duration) {
	if !f.valid(chunk) {
		return
	}
	f.reached(from)
	f.hear(chunk)
	state := &f.chunks[chunk]
	if state.held || slices.Contains(state.sources, from) {
		return
	}
	state.sources = append(state.sources, from)
	state.denials = 0
	f.enqueue(chunk)
	f.schedule(now)
}

// maximumBacklog is how many uploads may wait at a machine that still invites
// further ones.
const maximumBacklog = 4

// HandleChunkQuery answers a peer that wants a chunk: it is held now, or is offered once
// it is here. The backlog is how many uploads wait at this machine; a busy one
// does not say that it holds a chunk, so that the peer turns to another.
func (f *Fetcher) HandleChunkQuery(from MachineID, chunk int, backlog int, now time.Duration) (held bool) {
	if !f.valid(chunk) {
		return false
	}
	f.reached(from)
	state := &f.chunks[chunk]
	if !state.held && !slices.Contains(state.interested, from) {
		state.interested = append(state.interested, from)
	}
	if !state.held && !state.fetching && f.isRoot(chunk) {
		f.fetchOrigin(chunk, now)
	}
	f.noteBypass(from, chunk, now)
	return state.held && backlog <= maximumBacklog
}

// RecordDenial records that a peer answered a question and neither has nor expects
// the chunk.
func (f *Fetcher) RecordDenial(peer MachineID, chunk int) {
	f.reached(peer)
	if f.valid(chunk) {
		f.chunks[chunk].denials++
	}
}

// RecordPending records that a peer answered a question and has the chunk or expects it, by what
// was known at first hand an age ago.
func (f *Fetcher) RecordPending(peer MachineID, chunk int, age, now time.Duration) {
	f.reached(peer)
	if f.valid(chunk) {
		state := &f.chunks[chunk]
		state.denials = 0
		state.pendingAt = max(state.pendingAt, now-age)
	}
}

// RecordQueryFailure records that a peer did not answer a question.
func (f *Fetcher) RecordQueryFailure(peer MachineID, chunk int, now time.Duration) {
	f.unreached(peer, now)
	if f.valid(chunk) {
		f.chunks[chunk].nextAsk = now
	}
}

// RecordOfferFailure records that a peer did not take an offer; what it would have
// passed on is offered to its children directly.
func (f *Fetcher) RecordOfferFailure(peer MachineID, chunk int, now time.Duration) {
	f.unreached(peer, now)
	if f.valid(chunk) {
		f.offerBelow(peer, chunk, now)
	}
}

// RecordFetched records a verified and stored chunk.
func (f *Fetcher) RecordFetched(from MachineID, chunk int, now time.Duration) {
	f.ended(from)
	state := &f.chunks[chunk]
	state.fetching = false
	if state.held {
		return
	}
	state.held = true
	state.sources = nil
	f.missing--
	f.lastProgress = now
	f.hear(chunk)
	f.offerToChildren(chunk, now)
	f.offerToInterested(chunk)
	f.schedule(now)
}

// RecordFetchFailure records a transfer that did not give the chunk. An empty source
// is the origin.
func (f *Fetcher) RecordFetchFailure(from MachineID, chunk int, reason FailureReason, now time.Duration) {
	f.ended(from)
	state := &f.chunks[chunk]
	state.fetching = false
	state.sources = slices.DeleteFunc(state.sources, func(source MachineID) bool { return source == from })
	switch {
	case from == "":
		f.makeLate(state, now)
		state.nextOrigin = f.originTurnAfterFailure(chunk, reason, now)
		state.nextAsk = now + f.options.ProgressTimeout
	case reason == Unreachable:
		f.unreached(from, now)
	case reason == Stalled || reason == Corrupted:
		f.distrust(from, now)
	}
	if len(state.sources) > 0 {
		f.enqueue(chunk)
	} else {
		f.makeLate(state, now)
	}
	f.schedule(now)
}

func (f *Fetcher) valid(chunk int) bool { return chunk >= 0 && chunk < len(f.chunks) }

func (f *Fetcher) hear(chunk int) { f.highest = max(f.highest, f.chunks[chunk].ordinal) }

func (f *Fetcher) ended(from MachineID) {
	if from == "" {
		f.origin--
		return
	}
	f.active--
}

func (f *Fetcher) act(kind ActionKind, peer MachineID, chunk int) {
	f.actions = append(f.actions, Action{Kind: kind, Peer: peer, Chunk: chunk})
}

func (f *Fetcher) offer(peer MachineID, chunk int) { f.act(Offer, peer, chunk) }

func (f *Fetcher) offerToChildren(chunk int, now time.Duration) {
	f.offerBelow(f.options.Self, chunk, now)
}

// offerToInterested offers a chunk to those who asked before it was here and are
// no children, up to a number that the uplink can serve.
func (f *Fetcher) offerToInterested(chunk int) {
	state := &f.chunks[chunk]
	children := f.options.Plan.Children(chunk, f.options.Self)
	offered := 0
	for _, peer := range state.interested {
		if offered < maximumBacklog && !slices.Contains(children, peer) {
			f.offer(peer, chunk)
			offered++
		}
	}
	state.interested = nil
}

// offerBelow offers a chunk to the children of a machine. The children of one
// that can't pass it on get it from here. No machine is offered it twice, also in
// plans that are no trees.
func (f *Fetcher) offerBelow(machine MachineID, chunk int, now time.Duration) {
	seen := map[MachineID]bool{f.options.Self: true, machine: true}
	below := slices.Clone(f.options.Plan.Children(chunk, machine))
	for len(below) > 0 {
		peer := below[0]
		below = below[1:]
		if seen[peer] {
			continue
		}
		seen[peer] = true
		if !f.isUnreachable(peer, now) {
			f.offer(peer, chunk)
		}
		if f.isDistrusted(peer, now) {
			below = append(below, f.options.Plan.Children(chunk, peer)...)
		}
	}
}
