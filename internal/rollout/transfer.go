package rollout

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// Tuning of a transfer.
const (
	transferTick = 50 * time.Millisecond
	// patience is how long progress is waited for before asking around.
	patience = 300 * time.Millisecond
	// distrust is how long a peer that failed is avoided.
	distrust = 2 * time.Second
	// maximumFetches is how many pieces are fetched at once.
	maximumFetches = 10
	// lagPieces is how far behind the newest a piece may be before it is asked for.
	lagPieces = 24
	// originFetches is how many pieces are read from the origin at once: the machines
	// share its link, and many pieces at a time only make the first ones come late.
	originFetches = 1
	// pieceTimeout bounds one piece from a peer, its waiting there included; a peer
	// that stands still must not hold the fetches up.
	pieceTimeout = 1500 * time.Millisecond
	// A manifest is asked for each manifestRetry, and after manifestSoon each manifestLater: its
	// source is away then, and 75 agents that went on at the first pace made 1,800 calls a
	// second to it. Who is not the first to ask the origin asks it each manifestOriginPause.
	manifestRetry       = 40 * time.Millisecond
	manifestSoon        = time.Second
	manifestLater       = 200 * time.Millisecond
	manifestOriginPause = time.Second
	// manifestTurn is the time after which the next in turn asks the origin itself.
	manifestTurn = 400 * time.Millisecond
	// inventoriesPerZone is how many machines of each zone are asked what they hold.
	inventoriesPerZone = 4
	// manifestDoubts is how often one piece must fail its digest until the manifest
	// itself is doubted.
	manifestDoubts = 2
)

// transfer brings one version's pieces to the machine's server, and goes on
// answering peers once they are all there.
type transfer struct {
	agent *Agent
	model string
	// peersOnly is set for an older version while it is in force: the origin's link is the newest
	// one's.
	peersOnly atomic.Bool
	// distrustful transfers take the manifest from the origin only: another has been
	// doubted, and peers may hold the same one.
	distrustful bool
	// number is the version; 0 until the manifest tells it.
	number  atomic.Uint64
	began   time.Time
	cancel  context.CancelFunc
	kick    chan struct{}
	origins chan struct{}
	pace    *fetchPace

	// manifestKnown is closed once there is a manifest.
	manifestKnown chan struct{}

	mutex    sync.Mutex
	plan     dissemination.Plan
	manifest *fleet.Manifest
	fetcher  *dissemination.Fetcher
	// originPace is how long the origin takes for a piece; 0 when that is not known.
	originPace time.Duration
	// early keeps offers that came before the manifest.
	early []offer
	// corrupt counts how often each piece has failed its digest.
	corrupt    map[int]int
	doubtful   bool
	complete   bool
	fromOrigin int
	fromPeers  int

	// askedAt is when a fallback last asked machines what they hold.
	askedAt time.Duration
	// buffer holds pieces while another version lies at the server.
	buffer pieceBuffer
}

func newTransfer(agent *Agent, model string, version uint64, peersOnly bool, cancel context.CancelFunc) *transfer {
	t := &transfer{
		agent: agent, model: model, began: time.Now(), cancel: cancel,
		kick: make(chan struct{}, 1), manifestKnown: make(chan struct{}), origins: make(chan struct{}, originFetches), corrupt: map[int]int{}, pace: newFetchPace(),
	}
	t.number.Store(version)
	t.peersOnly.Store(peersOnly)
	t.plan = t.newPlan()
	return t
}

// newPlan arranges the machines as they are listed now. A fallback passes nothing on by
// itself: the others hold it, or do not want it.
func (t *transfer) newPlan() dissemination.Plan {
	if t.peersOnly.Load() {
		return dissemination.NewPlan(dissemination.StrategyStar, t.agent.roster())
	}
	return dissemination.NewPlan(dissemination.StrategyRotated, t.agent.roster())
}

func (t *transfer) self() dissemination.MachineID { return t.agent.self }

func (t *transfer) version() uint64 { return t.number.Load() }

func (t *transfer) now() time.Duration { return time.Since(t.began) }

func (t *transfer) poke() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// rearrange takes over a new list of machines.
func (t *transfer) rearrange() {
	plan := t.newPlan()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.plan = plan
	if t.fetcher != nil {
		t.fetcher.SetPlan(t.plan, t.now())
	}
	t.poke()
}

// run transfers until the context ends.
func (t *transfer) run(ctx context.Context) {
	manifest, found := t.findManifest(ctx)
	if !found {
		return
	}
	held := t.verifyHeld(ctx, manifest)
	peers := t.agent.inventoryPeers()
	if t.peersOnly.Load() {
		peers = t.agent.holdersOf(t.version(), inventoriesPerZone)
	}
	t.begin(manifest, held, t.askInventories(ctx, manifest, held, peers))
	ticker := time.NewTicker(transferTick)
	defer ticker.Stop()
	for {
		t.carryOut(ctx)
		t.noteComplete()
		select {
		case <-t.kick:
		case <-ticker.C:
			t.mutex.Lock()
			t.fetcher.Tick(t.now())
			t.mutex.Unlock()
			t.lookForHolders(ctx, manifest)
		case <-ctx.Done():
			return
		}
	}
}

func (t *transfer) begin(manifest fleet.Manifest, held []bool, holders map[int][]dissemination.MachineID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.originPace = t.originInterval()
	t.fetcher = dissemination.NewFetcher(t.fetcherOptions(held))
	t.takeHolders(holders)
	t.fetcher.Start(t.now())
	t.agent.log.Log(logging.TransferStarted, zap.String("model", t.model), zap.Uint64("version", t.version()),
		zap.Int("pieces", len(held)), zap.Int("missing", t.fetcher.Missing()),
		zap.Int("held_by_peers", len(holders)), zap.Duration("after", t.now()))
	for _, pending := range t.early {
		t.takeLocked(pending)
	}
	t.early = nil
}

// fetcherOptions are those of a fetcher that has some pieces; the mutex is held.
func (t *transfer) fetcherOptions(held []bool) dissemination.Options {
	return dissemination.Options{
		Self: t.self(), Plan: t.plan, Chunks: len(held), Held: held, PeersOnly: t.peersOnly.Load(),
		MaximumFetches: maximumFetches, OriginInterval: t.originPace, LagChunks: lagPieces, Patience: patience, Distrust: distrust,
	}
}

// heldMask marks the pieces that are here; the mutex is held, and the manifest known.
func (t *transfer) heldMask() []bool {
	held := make([]bool, len(t.manifest.Digests))
	for index := range held {
		held[index] = t.fetcher.Holds(index)
	}
	return held
}

// originInterval is how long the origin's link takes for a piece; 0 when that is not
// known.
func (t *transfer) originInterval() time.Duration {
	engine, _ := t.agent.engine()
	if engine == nil {
		return 0
	}
	return engine.PieceTime(t.agent.daemon.Catalog.View().Configuration.OriginRate())
}

// takeHolders offers the fetcher what peers hold, each piece from another of them
// first, so that no one has to send everything; the mutex is held.
func (t *transfer) takeHolders(holders map[int][]dissemination.MachineID) {
	for index, machines := range holders {
		for turn := range machines {
			t.fetcher.Offered(machines[(index+turn)%len(machines)], index, t.now())
		}
	}
}

// take feeds an offer or a question to the fetcher.
func (t *transfer) take(incoming offer) dissemination.Answer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.fetcher == nil {
		if len(t.early) < maximumEarlyOffers {
			t.early = append(t.early, incoming)
		}
		return dissemination.Answer{}
	}
	return t.takeLocked(incoming)
}

// maximumEarlyOffers bounds the offers kept until the manifest is known.
const maximumEarlyOffers = 512

func (t *transfer) takeLocked(incoming offer) dissemination.Answer {
	defer t.poke()
	if incoming.Ask {
		return t.fetcher.AskedFor(incoming.From, incoming.Pieces, t.agent.uploads.backlog(), t.now())
	}
	for _, piece := range incoming.Pieces {
		t.fetcher.Offered(incoming.From, piece, t.now())
	}
	return dissemination.Answer{}
}

// carryOut starts what the fetcher wants done.
func (t *transfer) carryOut(ctx context.Context) {
	t.mutex.Lock()
	fetcher := t.fetcher
	actions := fetcher.Take()
	t.mutex.Unlock()
	turn := dissemination.GroupByPeer(actions)
	for _, action := range turn.Fetches {
		go t.fetch(ctx, fetcher, action)
	}
	for _, message := range turn.Messages {
		go t.sendOffer(ctx, message)
	}
}

func (t *transfer) sendOffer(ctx context.Context, message dissemination.Message) {
	body := offer{From: t.self(), Model: t.model, Version: t.version(), Pieces: message.Chunks, Ask: message.Ask}
	answer, err := t.agent.peers.offer(ctx, message.Peer, body)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.fetcher.Delivered(message.Peer, message.Chunks, message.Ask, err != nil, answer, t.now())
	t.poke()
}

// fetch brings one piece to the server and reports how it went.
func (t *transfer) fetch(ctx context.Context, fetcher *dissemination.Fetcher, action dissemination.Action) {
	content, err := t.readFrom(ctx, action)
	if err == nil && sha256.Sum256(content) != t.manifest.Digests[action.Chunk] {
		err = &fault.Corrupt{Source: string(action.Peer)}
	}
	if err == nil {
		err = t.keep(ctx, action.Chunk, content)
	}
	if ctx.Err() != nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	defer t.poke()
	if t.fetcher != fetcher {
		// The transfer has begun anew meanwhile and will see for itself.
		return
	}
	if err != nil {
		t.fetcher.FetchFailed(action.Peer, action.Chunk, t.judge(err, action), t.now())
		return
	}
	if action.Kind == dissemination.FetchOrigin {
		t.fromOrigin += len(content)
		t.agent.metrics.bytes.WithLabelValues(sourceOrigin).Add(float64(len(content)))
	} else {
		t.fromPeers += len(content)
		t.agent.metrics.bytes.WithLabelValues(sourcePeer).Add(float64(len(content)))
	}
	t.fetcher.Fetched(action.Peer, action.Chunk, t.now())
}

func (t *transfer) readFrom(ctx context.Context, action dissemination.Action) ([]byte, error) {
	if err := t.pace.acquire(ctx); err != nil {
		return nil, err
	}
	took := time.Duration(0)
	defer func() { t.pace.release(took) }()
	if action.Kind == dissemination.Fetch {
		path := versionPath(piecePath, t.model, t.version()) + "/" + itoa(action.Chunk) + "?" + heightParameter + "=" + itoa(t.height(action.Chunk))
		content, bodyTime, err := t.agent.peers.piece(ctx, action.Peer, path, t.manifest.PieceBytes)
		took = bodyTime
		if errors.Is(err, context.DeadlineExceeded) {
			took = pieceTimeout
		}
		return content, err
	}
	select {
	case t.origins <- struct{}{}:
		defer func() { <-t.origins }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if t.hasSource(action.Chunk) {
		// It came to a peer while the origin was busy with others.
		return nil, &fault.Unavailable{Target: "origin", Operation: "piece", Status: http.StatusConflict}
	}
	address, known := t.agent.originAddress()
	if !known {
		return nil, &fault.Unavailable{Target: "origin", Operation: "piece"}
	}
	return t.agent.origin.Piece(ctx, address, t.model, t.version(), action.Chunk)
}

// hasSource reports whether a peer holds a piece.
func (t *transfer) hasSource(index int) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.fetcher.HasSource(index)
}

func (t *transfer) height(index int) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.fetcher.Height(index)
}

// judge turns an error into the fetcher's reason; the mutex is held.
func (t *transfer) judge(err error, action dissemination.Action) dissemination.FailureReason {
	var corrupt *fault.Corrupt
	var unavailable *fault.Unavailable
	source := string(action.Peer)
	if action.Kind == dissemination.FetchOrigin {
		source = "origin"
	}
	switch {
	case errors.As(err, &corrupt):
		t.agent.log.Log(logging.ChunkCorrupt, zap.String("source", source), zap.Int("piece", action.Chunk), zap.Uint64("version", t.version()))
		t.corrupt[action.Chunk]++
		t.doubtful = t.doubtful || t.corrupt[action.Chunk] >= manifestDoubts
		return dissemination.Corrupted
	case errors.Is(err, context.DeadlineExceeded):
		t.agent.log.Log(logging.ChunkStalled, zap.String("source", source), zap.Int("piece", action.Chunk), zap.Uint64("version", t.version()))
		return dissemination.Stalled
	case errors.As(err, &unavailable) && unavailable.Status != 0:
		return dissemination.NotHeld
	}
	return dissemination.Unreachable
}

// noteComplete announces that every piece lies at the server.
func (t *transfer) noteComplete() {
	t.mutex.Lock()
	changed := !t.complete && t.fetcher.Missing() == 0
	t.complete = t.fetcher.Missing() == 0
	doubtful := t.doubtful && !t.complete
	t.mutex.Unlock()
	if changed {
		t.agent.metrics.staged.Observe(t.now().Seconds())
		t.agent.log.Log(logging.WeightsStaged, zap.String("model", t.model), zap.Uint64("version", t.version()),
			zap.Duration("took", t.now()), zap.Int("origin_bytes", t.fromOrigin), zap.Int("peer_bytes", t.fromPeers))
		t.agent.wake()
	}
	if doubtful {
		t.agent.doubt(t)
	}
}

// state returns whether all pieces are there and how many are missing.
func (t *transfer) state() (complete bool, missing int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.fetcher == nil {
		return false, 1
	}
	return t.fetcher.Missing() == 0, t.fetcher.Missing()
}

// hasManifest reports whether it is known which pieces the version consists of.
func (t *transfer) hasBegun() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.fetcher != nil
}

func (t *transfer) heldPieces() []int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var held []int
	if t.fetcher == nil {
		return held
	}
	for index := range t.manifest.Digests {
		if t.fetcher.Holds(index) {
			held = append(held, index)
		}
	}
	return held
}
