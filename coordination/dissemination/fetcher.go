package dissemination

import (
	"slices"
	"time"
)

// ActionKind is the kind of an action that a Fetcher requests.
type ActionKind int

// The actions that a Fetcher requests from its caller.
const (
	// Offer announces to a peer that this machine holds a chunk.
	Offer ActionKind = iota + 1
	// Query queries a peer for a chunk; a peer that lacks it offers it later.
	Query
	// Fetch transfers a chunk from a peer, verifies and stores it.
	Fetch
	// FetchOrigin transfers a chunk from the origin, verifies and stores it.
	FetchOrigin
)

// Action is an operation for the caller to run. The caller reports the result of each
// Fetch and FetchOrigin, and the failure of each Offer and Query.
type Action struct {
	Kind  ActionKind
	Peer  MachineID
	Chunk int
}

// FailureReason is the reason why a fetch failed.
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

// Options configures a Fetcher. Durations are measured by the caller's clock.
type Options struct {
	Self   MachineID
	Plan   Plan
	Chunks int
	// Held marks the chunks that this machine already holds; nil means none.
	Held []bool
	// PeersOnly makes the machine fetch chunks only from machines that offer them, never from
	// the origin.
	PeersOnly bool
	// MaxFetches is how many transfers from peers, and how many from the origin, run at
	// once.
	MaxFetches int
	// OriginWindow is how many chunks beyond the number received may be requested from
	// the origin, so that a fast origin is read at the rate of the fleet's links.
	OriginWindow int
	// OriginInterval is the time that the origin takes to send a chunk, or 0 when it is
	// not known. It paces the machines' reads, so that the first chunks arrive early
	// and few connections to the origin are open at a time.
	OriginInterval time.Duration
	// LagChunks is how far a chunk may be behind the highest chunk known to be
	// available before it counts as late.
	LagChunks int
	// ProgressTimeout is how long to wait for progress before querying peers.
	ProgressTimeout time.Duration
	// PeerBackoff is how long a peer is avoided after a failure.
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

// chunkState is the state of one chunk.
type chunkState struct {
	// ordinal is the number of chunks before this one that were missing at the start.
	ordinal  int
	held     bool
	fetching bool
	queued   bool
	// late is set at lateSince, when the chunk is overdue and peers are to be queried.
	late      bool
	lateSince time.Duration
	nextQuery time.Duration
	// nextOrigin is when the chunk may be requested from the origin again after a failure.
	nextOrigin time.Duration
	// pendingAt is when a machine that has a source for the chunk, or reads it from the
	// origin, last confirmed that the chunk is expected.
	pendingAt time.Duration
	// denials counts the replies that the chunk is missing since the last one that it is
	// held or pending.
	denials int
	// sources are the machines that have offered the chunk.
	sources []MachineID
	// requesters are the machines that queried for the chunk before this machine held it.
	requesters []MachineID
}

// Fetcher is one machine's state machine for fetching the chunks of one manifest.
type Fetcher struct {
	options Options
	chunks  []chunkState
	missing int
	// initiallyMissing is how many chunks were missing at the start.
	initiallyMissing int
	peerFetches      int
	// originFetches counts the transfers from the origin in progress.
	originFetches int
	// highestOrdinal is the highest ordinal of a chunk that was offered or fetched.
	highestOrdinal int
	// queue lists the chunks with a source that are not being fetched.
	queue        []int
	lastProgress time.Duration
	started      time.Duration
	peers        map[MachineID]peerState
	// zones counts, for each zone, the machines that failed since the last one answered.
	zones map[string]zoneState
	// rootChunks lists the chunks that this machine reads from the origin.
	rootChunks []int
	actions    []Action
}

// NewFetcher returns a fetcher; Start begins the transfer.
func NewFetcher(options Options) *Fetcher {
	fetcher := &Fetcher{
		options:        options.applyDefaults(),
		chunks:         make([]chunkState, options.Chunks),
		peers:          map[MachineID]peerState{},
		zones:          map[string]zoneState{},
		highestOrdinal: -1,
	}
	for chunk := range fetcher.chunks {
		fetcher.chunks[chunk].ordinal = fetcher.missing
		if options.Held != nil && options.Held[chunk] {
			fetcher.chunks[chunk].held = true
			continue
		}
		fetcher.missing++
	}
	fetcher.initiallyMissing = fetcher.missing
	return fetcher
}

// Missing returns the number of chunks that this machine does not hold yet.
func (f *Fetcher) Missing() int { return f.missing }

// HasSource reports whether a peer has offered a chunk that is missing here.
func (f *Fetcher) HasSource(chunk int) bool { return len(f.chunks[chunk].sources) > 0 }

// Unsourced returns how many of the missing chunks no peer has offered.
func (f *Fetcher) Unsourced() int {
	count := 0
	for chunk := range f.chunks {
		if !f.chunks[chunk].held && len(f.chunks[chunk].sources) == 0 {
			count++
		}
	}
	return count
}

// LastProgress returns when the last chunk arrived or the transfer began.
func (f *Fetcher) LastProgress() time.Duration { return f.lastProgress }

// Holds reports whether a chunk is here.
func (f *Fetcher) Holds(chunk int) bool { return f.chunks[chunk].held }

// pendingRounds is for how many query rounds a confirmation that a chunk is expected stays valid:
// as many as it takes to reach the last machine of a zone, plus a margin for lost replies.
const pendingRounds = 8

// rootTrustRounds is for how many query rounds a late chunk is left to a live root, which covers a
// typical origin outage of some seconds. A root that takes longer counts as stuck.
const rootTrustRounds = 24

// Expects reports whether a chunk is held, has a source, or will be read from the origin by this
// machine or by one that has confirmed it, and how long ago that was confirmed. So the whole zone
// knows that the root of a chunk is alive while the origin is unavailable, and leaves the origin to
// it. Ages only grow from machine to machine, so that machines whose membership lists differ can't
// keep renewing each other's expectation.
func (f *Fetcher) Expects(chunk int, now time.Duration) (age time.Duration, expected bool) {
	if !f.valid(chunk) {
		return 0, false
	}
	state := &f.chunks[chunk]
	if state.held || state.fetching || len(state.sources) > 0 || f.isRoot(chunk) {
		return 0, true
	}
	age = now - state.pendingAt
	trusted := !state.late || now-state.lateSince < rootTrustRounds*f.options.ProgressTimeout
	return age, trusted && state.pendingAt > 0 && age < pendingRounds*f.options.ProgressTimeout
}

// TakeActions returns the actions since the last call.
func (f *Fetcher) TakeActions() []Action {
	actions := f.actions
	f.actions = nil
	return actions
}

// Start begins the transfer. Chunks that are already held are offered immediately.
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
	f.recordReachable(from)
	f.recordOrdinal(chunk)
	state := &f.chunks[chunk]
	if state.held || slices.Contains(state.sources, from) {
		return
	}
	state.sources = append(state.sources, from)
	state.denials = 0
	f.enqueue(chunk)
	f.schedule(now)
}

// maxBacklog is how many uploads may be queued at a machine that still accepts
// more.
const maxBacklog = 4

// HandleChunkQuery handles a peer's query for a chunk. It reports whether the chunk
// is held; a missing chunk is offered to the peer once it is here. The backlog is how
// many uploads are queued at this machine; a busy machine does not report a chunk as
// held, so that the peer queries another.
func (f *Fetcher) HandleChunkQuery(from MachineID, chunk int, backlog int, now time.Duration) (held bool) {
	if !f.valid(chunk) {
		return false
	}
	f.recordReachable(from)
	state := &f.chunks[chunk]
	if !state.held && !slices.Contains(state.requesters, from) {
		state.requesters = append(state.requesters, from)
	}
	if !state.held && !state.fetching && f.isRoot(chunk) {
		f.fetchOrigin(chunk, now)
	}
	f.recordBypass(from, chunk, now)
	return state.held && backlog <= maxBacklog
}

// RecordDenial records a peer's reply that it neither holds nor expects the chunk.
func (f *Fetcher) RecordDenial(peer MachineID, chunk int) {
	f.recordReachable(peer)
	if f.valid(chunk) {
		f.chunks[chunk].denials++
	}
}

// RecordPending records a peer's reply that it holds or expects the chunk, as confirmed an age
// ago.
func (f *Fetcher) RecordPending(peer MachineID, chunk int, age, now time.Duration) {
	f.recordReachable(peer)
	if f.valid(chunk) {
		state := &f.chunks[chunk]
		state.denials = 0
		state.pendingAt = max(state.pendingAt, now-age)
	}
}

// RecordQueryFailure records that a peer did not reply to a query.
func (f *Fetcher) RecordQueryFailure(peer MachineID, chunk int, now time.Duration) {
	f.recordUnreachable(peer, now)
	if f.valid(chunk) {
		f.chunks[chunk].nextQuery = now
	}
}

// RecordOfferFailure records that an offer to a peer failed. The chunk is offered to
// the peer's children directly.
func (f *Fetcher) RecordOfferFailure(peer MachineID, chunk int, now time.Duration) {
	f.recordUnreachable(peer, now)
	if f.valid(chunk) {
		f.offerToDescendants(peer, chunk, now)
	}
}

// RecordFetched records that a chunk was verified and stored.
func (f *Fetcher) RecordFetched(from MachineID, chunk int, now time.Duration) {
	f.endTransfer(from)
	state := &f.chunks[chunk]
	state.fetching = false
	if state.held {
		return
	}
	state.held = true
	state.sources = nil
	f.missing--
	f.lastProgress = now
	f.recordOrdinal(chunk)
	f.offerToChildren(chunk, now)
	f.offerToRequesters(chunk)
	f.schedule(now)
}

// RecordFetchFailure records a failed transfer. An empty source stands for the
// origin.
func (f *Fetcher) RecordFetchFailure(from MachineID, chunk int, reason FailureReason, now time.Duration) {
	f.endTransfer(from)
	state := &f.chunks[chunk]
	state.fetching = false
	state.sources = slices.DeleteFunc(state.sources, func(source MachineID) bool { return source == from })
	switch {
	case from == "":
		f.markLate(state, now)
		state.nextOrigin = f.originRetryTime(chunk, reason, now)
		state.nextQuery = now + f.options.ProgressTimeout
	case reason == Unreachable:
		f.recordUnreachable(from, now)
	case reason == Stalled || reason == Corrupted:
		f.avoid(from, now)
	}
	if len(state.sources) > 0 {
		f.enqueue(chunk)
	} else {
		f.markLate(state, now)
	}
	f.schedule(now)
}

func (f *Fetcher) valid(chunk int) bool { return chunk >= 0 && chunk < len(f.chunks) }

func (f *Fetcher) recordOrdinal(chunk int) {
	f.highestOrdinal = max(f.highestOrdinal, f.chunks[chunk].ordinal)
}

func (f *Fetcher) endTransfer(from MachineID) {
	if from == "" {
		f.originFetches--
		return
	}
	f.peerFetches--
}

func (f *Fetcher) addAction(kind ActionKind, peer MachineID, chunk int) {
	f.actions = append(f.actions, Action{Kind: kind, Peer: peer, Chunk: chunk})
}

func (f *Fetcher) offer(peer MachineID, chunk int) { f.addAction(Offer, peer, chunk) }

func (f *Fetcher) offerToChildren(chunk int, now time.Duration) {
	f.offerToDescendants(f.options.Self, chunk, now)
}

// offerToRequesters offers a chunk to the machines that queried for it before it was
// here and are not children, up to a number that the uplink can serve.
func (f *Fetcher) offerToRequesters(chunk int) {
	state := &f.chunks[chunk]
	children := f.options.Plan.Children(chunk, f.options.Self)
	offered := 0
	for _, peer := range state.requesters {
		if offered < maxBacklog && !slices.Contains(children, peer) {
			f.offer(peer, chunk)
			offered++
		}
	}
	state.requesters = nil
}

// offerToDescendants offers a chunk to the children of a machine. The children of a
// peer that can't forward it are offered it from here. No machine is offered it twice,
// even in plans that are not trees.
func (f *Fetcher) offerToDescendants(machine MachineID, chunk int, now time.Duration) {
	seen := map[MachineID]bool{f.options.Self: true, machine: true}
	descendants := slices.Clone(f.options.Plan.Children(chunk, machine))
	for len(descendants) > 0 {
		peer := descendants[0]
		descendants = descendants[1:]
		if seen[peer] {
			continue
		}
		seen[peer] = true
		if !f.isUnreachable(peer, now) {
			f.offer(peer, chunk)
		}
		if f.isAvoided(peer, now) {
			descendants = append(descendants, f.options.Plan.Children(chunk, peer)...)
		}
	}
}
