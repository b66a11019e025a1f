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
	// Ask asks a peer for a chunk; a peer that lacks it offers it later.
	Ask
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
	// MaximumFetches is how many transfers from peers, and how many from the
	// origin, run at once.
	MaximumFetches int
	// OriginWindow is how many chunks past the number received may be requested from
	// the origin, so that a fast origin is read at the pace of the fleet's links.
	OriginWindow int
	// LagChunks is how far a chunk may be behind the highest one heard of before
	// it counts as late.
	LagChunks int
	// Patience is how long to wait for progress before asking around.
	Patience time.Duration
	// Distrust is how long a peer that failed is avoided.
	Distrust time.Duration
}

func (o Options) applyDefaults() Options {
	if o.MaximumFetches == 0 {
		o.MaximumFetches = 64
	}
	if o.OriginWindow == 0 {
		o.OriginWindow = 128
	}
	if o.LagChunks == 0 {
		o.LagChunks = 112
	}
	if o.Patience == 0 {
		o.Patience = time.Second
	}
	if o.Distrust == 0 {
		o.Distrust = 30 * o.Patience
	}
	return o
}

// Bounds of repair.
const (
	// maximumAsks is how many chunks are asked for in one tick.
	maximumAsks = 16
	// quietChunks is how many of the earliest missing chunks are taken for late
	// when nothing at all arrives.
	quietChunks = 4
)

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
	// denials counts the answers that the chunk is not there, since one that it is.
	denials int
	// sources have offered the chunk.
	sources []MachineID
	// interested have asked for the chunk before it was here.
	interested []MachineID
}

// peerState is why a peer is avoided, and until when.
type peerState struct {
	// unreachable peers are sent nothing.
	unreachable time.Duration
	// distrusted peers are not fetched from while there is another source.
	distrusted time.Duration
}

// zoneState is what the failures of its machines say of a zone.
type zoneState struct {
	failures int
	// until is when the failures are forgotten.
	until time.Duration
}

// cutZoneFailures is how many machines of a zone must fail, with none answering,
// until the whole zone is taken for unreachable.
const cutZoneFailures = 3

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

// Holds reports whether a chunk is here.
func (f *Fetcher) Holds(chunk int) bool { return f.chunks[chunk].held }

// Expects reports whether a chunk is here, has a source, or is this machine's to
// read from the origin.
func (f *Fetcher) Expects(chunk int) bool {
	if !f.valid(chunk) {
		return false
	}
	state := &f.chunks[chunk]
	return state.held || state.fetching || len(state.sources) > 0 || f.isRoot(chunk)
}

// Take returns the actions since the last call.
func (f *Fetcher) Take() []Action {
	actions := f.actions
	f.actions = nil
	return actions
}

// Start begins the transfer. Chunks that are already here are offered at once.
func (f *Fetcher) Start(now time.Duration) {
	f.lastProgress = now
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

// Offered records that a peer holds a chunk.
func (f *Fetcher) Offered(from MachineID, chunk int, now time.Duration) {
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

// Asked answers a peer that wants a chunk: it is held now, or is offered once
// it is here. The backlog is how many uploads wait at this machine; a busy one
// does not say that it holds a chunk, so that the peer turns to another.
func (f *Fetcher) Asked(from MachineID, chunk int, backlog int, now time.Duration) (held bool) {
	if !f.valid(chunk) {
		return false
	}
	f.reached(from)
	state := &f.chunks[chunk]
	if !state.held && !slices.Contains(state.interested, from) {
		state.interested = append(state.interested, from)
	}
	if !f.Expects(chunk) {
		// Pass the question on: the next tick asks this machine's own provider.
		f.makeLate(state, now)
	}
	if !state.held && !state.fetching && f.isRoot(chunk) {
		f.fetchOrigin(chunk)
	}
	f.noteBypass(from, chunk, now)
	return state.held && backlog <= maximumBacklog
}

// noteBypass draws a conclusion from a question of a grandchild: it has passed
// over its parent, which therefore does not send. What that parent is to pass
// on is offered to its children from here for a while.
func (f *Fetcher) noteBypass(from MachineID, chunk int, now time.Duration) {
	parent, exists := f.options.Plan.Parent(chunk, from)
	if !exists || parent == f.options.Self {
		return
	}
	if grandparent, _ := f.options.Plan.Parent(chunk, parent); grandparent == f.options.Self {
		f.distrust(parent, now)
	}
}

// AskDenied records that a peer answered a question and neither has nor expects
// the chunk.
func (f *Fetcher) AskDenied(peer MachineID, chunk int) {
	f.reached(peer)
	if f.valid(chunk) {
		f.chunks[chunk].denials++
	}
}

// AskPending records that a peer answered a question and has the chunk or
// expects it.
func (f *Fetcher) AskPending(peer MachineID, chunk int) {
	f.reached(peer)
	if f.valid(chunk) {
		f.chunks[chunk].denials = 0
	}
}

// AskFailed records that a peer did not answer a question.
func (f *Fetcher) AskFailed(peer MachineID, chunk int, now time.Duration) {
	f.unreached(peer, now)
	if f.valid(chunk) {
		f.chunks[chunk].nextAsk = now
	}
}

// OfferFailed records that a peer did not take an offer; what it would have
// passed on is offered to its children directly.
func (f *Fetcher) OfferFailed(peer MachineID, chunk int, now time.Duration) {
	f.unreached(peer, now)
	if f.valid(chunk) {
		f.adopt(peer, chunk, now)
	}
}

// Fetched records a verified and stored chunk.
func (f *Fetcher) Fetched(from MachineID, chunk int, now time.Duration) {
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

// FetchFailed records a transfer that did not give the chunk. An empty source
// is the origin.
func (f *Fetcher) FetchFailed(from MachineID, chunk int, reason FailureReason, now time.Duration) {
	f.ended(from)
	state := &f.chunks[chunk]
	state.fetching = false
	state.sources = slices.DeleteFunc(state.sources, func(source MachineID) bool { return source == from })
	switch {
	case from == "":
		f.makeLate(state, now)
		state.nextAsk = now + f.options.Patience
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

// Tick looks for chunks that are late and asks for them.
func (f *Fetcher) Tick(now time.Duration) {
	if f.missing == 0 {
		return
	}
	idle := f.active == 0 && len(f.queue) == 0 && now-f.lastProgress >= f.options.Patience
	quiet := 0
	if now-f.lastProgress > 2*f.options.Patience {
		quiet = quietChunks
	}
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
		if !state.late && quiet == 0 && !(idle && state.ordinal < f.highest) && f.highest-state.ordinal <= f.lagOf(chunk) && !f.parentLost(chunk, now) {
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

// Each level of machines that waits behind this one makes a chunk count as late
// some chunks earlier, because it is to come here earlier.
const (
	lagPerLevel = 8
	minimumLag  = 16
)

func (f *Fetcher) lagOf(chunk int) int {
	return max(minimumLag, f.options.LagChunks-lagPerLevel*f.Height(chunk))
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

func (f *Fetcher) reached(peer MachineID) {
	delete(f.zones, f.options.Plan.Zone(peer))
	if state, known := f.peers[peer]; known {
		state.unreachable = 0
		f.peers[peer] = state
	}
}

func (f *Fetcher) unreached(peer MachineID, now time.Duration) {
	state := f.peers[peer]
	if now >= state.unreachable {
		zone := f.options.Plan.Zone(peer)
		failed := f.zones[zone]
		failed.failures++
		failed.until = now + f.options.Distrust
		f.zones[zone] = failed
	}
	state.unreachable = now + f.options.Distrust
	f.peers[peer] = state
}

func (f *Fetcher) distrust(peer MachineID, now time.Duration) {
	state := f.peers[peer]
	state.distrusted = now + f.options.Distrust
	f.peers[peer] = state
}

func (f *Fetcher) isUnreachable(peer MachineID, now time.Duration) bool {
	return now < f.peers[peer].unreachable || f.isCutOff(f.options.Plan.Zone(peer), now)
}

// isCutOff reports whether another zone seems unreachable as a whole.
func (f *Fetcher) isCutOff(zone string, now time.Duration) bool {
	state, failing := f.zones[zone]
	return failing && state.failures >= cutZoneFailures && now < state.until && zone != f.options.Plan.Zone(f.options.Self)
}

// parentLost reports whether the machine that is to bring a chunk, which is due,
// can't be reached.
func (f *Fetcher) parentLost(chunk int, now time.Duration) bool {
	if len(f.peers) == 0 || f.chunks[chunk].ordinal > f.originLimit() {
		return false
	}
	parent, exists := f.options.Plan.Parent(chunk, f.options.Self)
	return exists && f.isUnreachable(parent, now)
}

func (f *Fetcher) isDistrusted(peer MachineID, now time.Duration) bool {
	return now < f.peers[peer].distrusted || f.isUnreachable(peer, now)
}

func (f *Fetcher) offer(peer MachineID, chunk int) { f.act(Offer, peer, chunk) }

func (f *Fetcher) offerToChildren(chunk int, now time.Duration) {
	for _, child := range f.options.Plan.Children(chunk, f.options.Self) {
		f.offerTo(child, chunk, now)
	}
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

// offerTo offers a chunk to a machine. The children of one that can't pass it on
// get it from here.
func (f *Fetcher) offerTo(peer MachineID, chunk int, now time.Duration) {
	if !f.isUnreachable(peer, now) {
		f.offer(peer, chunk)
	}
	if f.isDistrusted(peer, now) {
		f.adopt(peer, chunk, now)
	}
}

// adopt offers a chunk to the children of a machine.
func (f *Fetcher) adopt(peer MachineID, chunk int, now time.Duration) {
	for _, grandchild := range f.options.Plan.Children(chunk, peer) {
		f.offerTo(grandchild, chunk, now)
	}
}

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
	for f.active < f.options.MaximumFetches && len(f.queue) > 0 {
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

// desperateRounds is how many rounds of asking come before a source that failed
// is tried again.
const desperateRounds = 4

// desperate reports whether a chunk has been late for so long that a source
// that failed before is tried again.
func (f *Fetcher) desperate(state *chunkState, now time.Duration) bool {
	return state.late && now-state.lateSince > desperateRounds*f.options.Patience
}

// scheduleRoots reads from the origin the chunks that this machine is the root
// of, not far ahead of what this machine has reached.
func (f *Fetcher) scheduleRoots(now time.Duration) {
	kept := f.rootChunks[:0]
	for i, chunk := range f.rootChunks {
		state := &f.chunks[chunk]
		if state.held || state.fetching || state.late {
			continue
		}
		if f.origin >= f.options.MaximumFetches || f.chunks[chunk].ordinal > f.originLimit() {
			kept = append(kept, f.rootChunks[i:]...)
			break
		}
		f.fetchOrigin(chunk)
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

// isRoot reports whether this machine is to read a chunk from the origin.
func (f *Fetcher) isRoot(chunk int) bool {
	_, hasParent := f.options.Plan.Parent(chunk, f.options.Self)
	return !hasParent
}

func (f *Fetcher) fetchOrigin(chunk int) {
	f.chunks[chunk].fetching = true
	f.origin++
	f.act(FetchOrigin, "", chunk)
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
	state.nextAsk = now + f.options.Patience
	for _, peer := range f.options.Plan.Providers(chunk, f.options.Self) {
		if !f.isUnreachable(peer, now) && !f.failedSource(state, peer, now) {
			f.act(Ask, peer, chunk)
			f.escalate(chunk, now)
			return
		}
	}
	if f.origin < f.options.MaximumFetches {
		f.fetchOrigin(chunk)
	}
}

// failedSource reports whether a peer holds the chunk but could not send it.
func (f *Fetcher) failedSource(state *chunkState, peer MachineID, now time.Duration) bool {
	return f.isDistrusted(peer, now) && !f.desperate(state, now)
}

// deniedEnough is how many machines must lack a chunk, for each turn, until a
// reader takes it that the zone lacks it.
const deniedEnough = 24

// escalate deals with a chunk that the machines waited for do not bring, perhaps
// because lists differ and they wait for this one. Other machines of the zone
// are asked, a few at a time. When all of them lack it the zone's readers for
// the chunk read it from the origin in turn; they are picked by rendezvous
// hashing, on which differing lists almost agree, so that the origin's copies
// are bounded without anyone counting them.
func (f *Fetcher) escalate(chunk int, now time.Duration) {
	waited := now - f.chunks[chunk].lateSince
	if waited < f.options.Patience {
		return
	}
	f.askMates(chunk, int(waited/f.options.Patience), now)
	turns := f.chunks[chunk].denials / deniedEnough
	if turns == 0 {
		return
	}
	rank := slices.Index(f.options.Plan.OriginReaders(chunk, f.options.Self), f.options.Self)
	if rank >= 0 && turns > rank && f.origin < f.options.MaximumFetches {
		f.fetchOrigin(chunk)
	}
}

// matesAsked is how many machines of the zone are asked in a round.
const matesAsked = 2

// mateStride spreads the rounds of different chunks over the zone.
const mateStride = 7

func (f *Fetcher) askMates(chunk, round int, now time.Duration) {
	mates := f.options.Plan.Mates(f.options.Self)
	if len(mates) == 0 {
		return
	}
	start := (chunk*mateStride + round*matesAsked) % len(mates)
	for offset := range matesAsked {
		mate := mates[(start+offset)%len(mates)]
		if mate != f.options.Self && !f.isDistrusted(mate, now) {
			f.act(Ask, mate, chunk)
		}
	}
}
