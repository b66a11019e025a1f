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
	Roster *Roster
	Chunks int
	// Held marks the chunks that are already here; nil means none.
	Held []bool
	// MaximumFetches is how many transfers from peers run at once.
	MaximumFetches int
	// OriginWindow is how many chunks past the highest one heard of may be
	// requested from the origin ahead of time.
	OriginWindow int
	// LagChunks is how far a chunk may be behind the highest one heard of before
	// it counts as late.
	LagChunks int
	// Patience is how long to wait for progress before asking around.
	Patience time.Duration
	// OriginPatience is how much longer each further rank waits before it reads
	// a chunk from the origin.
	OriginPatience time.Duration
	// Distrust is how long a source that failed is avoided.
	Distrust time.Duration
}

func (o Options) applyDefaults() Options {
	if o.MaximumFetches == 0 {
		o.MaximumFetches = 4
	}
	if o.OriginWindow == 0 {
		o.OriginWindow = 48
	}
	if o.LagChunks == 0 {
		o.LagChunks = 48
	}
	if o.Patience == 0 {
		o.Patience = time.Second
	}
	if o.OriginPatience == 0 {
		o.OriginPatience = 4 * o.Patience
	}
	if o.Distrust == 0 {
		o.Distrust = 30 * o.Patience
	}
	return o
}

// chunkState is what a Fetcher knows of one chunk.
type chunkState struct {
	held     bool
	fetching bool
	// sources have offered the chunk.
	sources []MachineID
	// interested have asked for the chunk before it was here.
	interested []MachineID
	// asks counts the peers asked so far; lateSince is when the first was.
	asks      int
	nextAsk   time.Duration
	lateSince time.Duration
	late      bool
}

// Fetcher is the state machine of one machine for one manifest.
type Fetcher struct {
	options Options
	chunks  []chunkState
	missing int
	active  int
	// origin counts transfers from the origin under way.
	origin  int
	highest int
	// queue lists chunks with a source, in the order they were offered.
	queue        []int
	lastProgress time.Duration
	// suspects maps a peer that failed to when it is trusted again.
	suspects map[MachineID]time.Duration
	// rootChunks lists the chunks this machine is to read from the origin.
	rootChunks []int
	actions    []Action
}

// NewFetcher returns a fetcher that has not started.
func NewFetcher(options Options) *Fetcher {
	fetcher := &Fetcher{
		options:  options.applyDefaults(),
		chunks:   make([]chunkState, options.Chunks),
		suspects: map[MachineID]time.Duration{},
		highest:  -1,
	}
	for chunk := range fetcher.chunks {
		if options.Held != nil && options.Held[chunk] {
			fetcher.chunks[chunk].held = true
			continue
		}
		fetcher.missing++
	}
	return fetcher
}

// Missing returns how many chunks are not here yet.
func (f *Fetcher) Missing() int { return f.missing }

// Holds reports whether a chunk is here.
func (f *Fetcher) Holds(chunk int) bool { return f.chunks[chunk].held }

// Take returns the actions since the last call.
func (f *Fetcher) Take() []Action {
	actions := f.actions
	f.actions = nil
	return actions
}

// Start begins the transfer. Chunks that are already here are offered at once.
func (f *Fetcher) Start(now time.Duration) {
	f.lastProgress = now
	f.SetPlan(f.options.Plan, f.options.Roster, now)
	for chunk := range f.chunks {
		if f.chunks[chunk].held {
			f.offerToChildren(chunk, now)
		}
	}
}

// SetPlan replaces the plan when the membership list has changed.
func (f *Fetcher) SetPlan(plan Plan, roster *Roster, now time.Duration) {
	f.options.Plan, f.options.Roster = plan, roster
	f.rootChunks = f.rootChunks[:0]
	for chunk := range f.chunks {
		if _, hasParent := plan.Parent(chunk, f.options.Self); !hasParent && !f.chunks[chunk].held {
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
	delete(f.suspects, from)
	f.hear(chunk)
	state := &f.chunks[chunk]
	if state.held || slices.Contains(state.sources, from) {
		return
	}
	state.sources = append(state.sources, from)
	if !state.fetching && len(state.sources) == 1 {
		f.queue = append(f.queue, chunk)
	}
	f.schedule(now)
}

// Asked answers a peer that wants a chunk: with an offer now, or once it is here.
func (f *Fetcher) Asked(from MachineID, chunk int, _ time.Duration) (held bool) {
	if !f.valid(chunk) {
		return false
	}
	state := &f.chunks[chunk]
	if !state.held && !slices.Contains(state.interested, from) {
		state.interested = append(state.interested, from)
	}
	return state.held
}

// AskFailed records that a peer did not answer a question.
func (f *Fetcher) AskFailed(peer MachineID, chunk int, now time.Duration) {
	f.suspect(peer, now)
	if f.valid(chunk) {
		f.chunks[chunk].nextAsk = now
	}
}

// OfferFailed records that a peer did not take an offer; what it would have
// passed on is offered to its children directly.
func (f *Fetcher) OfferFailed(peer MachineID, chunk int, now time.Duration) {
	f.suspect(peer, now)
	if !f.valid(chunk) {
		return
	}
	for _, grandchild := range f.options.Plan.Children(chunk, peer) {
		f.offerTo(grandchild, chunk, now)
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
	for _, peer := range state.interested {
		f.act(Offer, peer, chunk)
	}
	state.interested = nil
	f.schedule(now)
}

// FetchFailed records a transfer that did not give the chunk. An empty source
// is the origin.
func (f *Fetcher) FetchFailed(from MachineID, chunk int, reason FailureReason, now time.Duration) {
	f.ended(from)
	state := &f.chunks[chunk]
	state.fetching = false
	state.sources = slices.DeleteFunc(state.sources, func(source MachineID) bool { return source == from })
	if from != "" && reason != NotHeld {
		f.suspect(from, now)
	}
	if from == "" {
		f.makeLate(state, now)
		state.nextAsk = now + f.options.Patience
	}
	if len(state.sources) > 0 {
		f.queue = append(f.queue, chunk)
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
	quiet := now-f.lastProgress > f.options.Patience
	for chunk := range f.chunks {
		state := &f.chunks[chunk]
		if state.held || state.fetching || len(state.sources) > 0 {
			continue
		}
		if state.late || quiet || f.highest-chunk > f.options.LagChunks {
			f.repair(chunk, now)
		}
	}
	f.schedule(now)
}

func (f *Fetcher) valid(chunk int) bool { return chunk >= 0 && chunk < len(f.chunks) }

func (f *Fetcher) hear(chunk int) { f.highest = max(f.highest, chunk) }

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

func (f *Fetcher) suspect(peer MachineID, now time.Duration) {
	f.suspects[peer] = now + f.options.Distrust
}

func (f *Fetcher) suspected(peer MachineID, now time.Duration) bool {
	until, known := f.suspects[peer]
	return known && now < until
}

func (f *Fetcher) offerToChildren(chunk int, now time.Duration) {
	for _, child := range f.options.Plan.Children(chunk, f.options.Self) {
		f.offerTo(child, chunk, now)
	}
}

// offerTo offers a chunk to a machine, or to its children when it is suspected.
func (f *Fetcher) offerTo(peer MachineID, chunk int, now time.Duration) {
	if !f.suspected(peer, now) {
		f.act(Offer, peer, chunk)
		return
	}
	for _, grandchild := range f.options.Plan.Children(chunk, peer) {
		f.offerTo(grandchild, chunk, now)
	}
}

// schedule starts the transfers that the limits allow.
func (f *Fetcher) schedule(now time.Duration) {
	f.scheduleRoots(now)
	for f.active < f.options.MaximumFetches && len(f.queue) > 0 {
		chunk := f.queue[0]
		f.queue = f.queue[1:]
		state := &f.chunks[chunk]
		if state.held || state.fetching || len(state.sources) == 0 {
			continue
		}
		state.fetching = true
		f.active++
		f.act(Fetch, f.bestSource(state, now), chunk)
	}
}

func (f *Fetcher) bestSource(state *chunkState, now time.Duration) MachineID {
	for _, source := range state.sources {
		if !f.suspected(source, now) {
			return source
		}
	}
	return state.sources[0]
}

// scheduleRoots reads from the origin the chunks that this machine is the root
// of, not far ahead of what the fleet has reached.
func (f *Fetcher) scheduleRoots(now time.Duration) {
	kept := f.rootChunks[:0]
	for i, chunk := range f.rootChunks {
		state := &f.chunks[chunk]
		if state.held || state.fetching || state.late {
			continue
		}
		if f.origin >= f.options.MaximumFetches || chunk > f.highest+f.options.OriginWindow {
			kept = append(kept, f.rootChunks[i:]...)
			break
		}
		f.fetchOrigin(chunk)
	}
	f.rootChunks = kept
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

// repair asks for a late chunk: its ancestors one by one, then other machines
// of the zone, then the origin when this machine's turn has come.
func (f *Fetcher) repair(chunk int, now time.Duration) {
	state := &f.chunks[chunk]
	f.makeLate(state, now)
	if now < state.nextAsk {
		return
	}
	if f.mayReadOrigin(chunk, now) {
		f.fetchOrigin(chunk)
		return
	}
	peer, found := f.nextToAsk(chunk, now)
	if !found {
		state.nextAsk = now + f.options.Patience
		return
	}
	state.asks++
	state.nextAsk = now + f.options.Patience
	f.act(Ask, peer, chunk)
}

// maximumAncestors bounds the walk up the tree; no tree is deeper.
const maximumAncestors = 64

// mayReadOrigin says whether the machine's turn has come: at once for the
// planned reader, later for each rank behind it.
func (f *Fetcher) mayReadOrigin(chunk int, now time.Duration) bool {
	if f.origin >= f.options.MaximumFetches {
		return false
	}
	state := &f.chunks[chunk]
	if _, hasParent := f.options.Plan.Parent(chunk, f.options.Self); !hasParent {
		return true
	}
	rank := f.options.Plan.OriginRank(chunk, f.options.Self)
	wait := time.Duration(rank+1) * f.options.OriginPatience
	return now-state.lateSince >= wait
}

// nextToAsk returns the next ancestor that is not suspected; past the last one
// it goes through the zone.
func (f *Fetcher) nextToAsk(chunk int, now time.Duration) (MachineID, bool) {
	asked := f.chunks[chunk].asks
	ancestors := f.trustedAncestors(chunk, now)
	if asked < len(ancestors) {
		return ancestors[asked], true
	}
	mates := f.options.Roster.ZoneMates(f.options.Self)
	if len(mates) == 0 {
		return "", false
	}
	for offset := range mates {
		mate := mates[(chunk+asked+offset)%len(mates)]
		if mate != f.options.Self && !f.suspected(mate, now) {
			return mate, true
		}
	}
	return "", false
}

func (f *Fetcher) trustedAncestors(chunk int, now time.Duration) []MachineID {
	var ancestors []MachineID
	current := f.options.Self
	for range maximumAncestors {
		parent, exists := f.options.Plan.Parent(chunk, current)
		if !exists || parent == f.options.Self {
			break
		}
		if !f.suspected(parent, now) {
			ancestors = append(ancestors, parent)
		}
		current = parent
	}
	return ancestors
}
