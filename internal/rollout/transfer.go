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
	// progressTimeout is how long progress is waited for before asking around.
	progressTimeout = 300 * time.Millisecond
	// peerBackoff is how long a peer that failed is avoided.
	peerBackoff = 2 * time.Second
	// maxFetches is how many pieces are fetched at once.
	maxFetches = 10
	// maxLagPieces is how far behind the newest a piece may be before it is asked for.
	maxLagPieces = 24
	// originFetches is how many pieces are read from the origin at once: the machines
	// share its link, and many pieces at a time only make the first ones come late.
	originFetches = 1
	// pieceTimeout bounds one piece from a peer, its waiting there included; a peer
	// that stands still must not hold the fetches up.
	pieceTimeout = 1500 * time.Millisecond
	// A manifest is asked for each manifestRetryInterval, and after manifestSoon each manifestLater: its
	// source is away then, and 75 agents that went on at the first pace made 1,800 calls a
	// second to it. Who is not the first to ask the origin asks it each manifestOriginPause.
	manifestRetryInterval  = 40 * time.Millisecond
	manifestSlowAfter      = time.Second
	manifestSlowInterval   = 200 * time.Millisecond
	manifestOriginInterval = time.Second
	// originTurnInterval is the time after which the next in turn asks the origin itself.
	originTurnInterval = 400 * time.Millisecond
	// inventoriesPerZone is how many machines of each zone are asked what they hold.
	inventoriesPerZone = 4
	// maxDigestFailures is how often one piece must fail its digest until the manifest
	// itself is doubted.
	maxDigestFailures = 2
)

// transfer brings one version's pieces to the machine's server, and goes on
// answering peers once they are all there.
type transfer struct {
	agent *Agent
	model string
	// peersOnly is set for an older version while it is in force: the origin's link is the newest
	// one's.
	peersOnly atomic.Bool
	// originManifestOnly transfers take the manifest from the origin only: another has been
	// doubted, and peers may hold the same one.
	originManifestOnly bool
	// versionNumber is the version; 0 until the manifest tells it.
	versionNumber atomic.Uint64
	startedAt     time.Time
	cancel        context.CancelFunc
	wakeup        chan struct{}
	originSlots   chan struct{}
	limiter       *fetchLimiter

	// manifestKnown is closed once there is a manifest.
	manifestKnown chan struct{}

	mutex    sync.Mutex
	plan     dissemination.Plan
	manifest *fleet.Manifest
	fetcher  *dissemination.Fetcher
	// originInterval is how long the origin takes for a piece; 0 when that is not known.
	originInterval time.Duration
	// earlyOffers keeps offers that came before the manifest.
	earlyOffers []offer
	// corrupt counts how often each piece has failed its digest.
	corrupt         map[int]int
	manifestSuspect bool
	complete        bool
	fromOrigin      int
	fromPeers       int

	// holdersQueriedAt is when a fallback last asked machines what they hold.
	holdersQueriedAt time.Duration
	// buffer holds pieces while another version lies at the server.
	buffer pieceBuffer
}

func newTransfer(agent *Agent, model string, version uint64, peersOnly bool, cancel context.CancelFunc) *transfer {
	t := &transfer{
		agent: agent, model: model, startedAt: time.Now(), cancel: cancel,
		wakeup: make(chan struct{}, 1), manifestKnown: make(chan struct{}), originSlots: make(chan struct{}, originFetches), corrupt: map[int]int{}, limiter: newFetchLimiter(),
	}
	t.versionNumber.Store(version)
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

func (t *transfer) version() uint64 { return t.versionNumber.Load() }

func (t *transfer) now() time.Duration { return time.Since(t.startedAt) }

func (t *transfer) wake() {
	select {
	case t.wakeup <- struct{}{}:
	default:
	}
}

// updatePlan takes over a new list of machines.
func (t *transfer) updatePlan() {
	plan := t.newPlan()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.plan = plan
	if t.fetcher != nil {
		t.fetcher.SetPlan(t.plan, t.now())
	}
	t.wake()
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
		peers = t.agent.listedHolders(t.version(), inventoriesPerZone)
	}
	t.start(manifest, held, t.queryInventories(ctx, manifest, held, peers))
	ticker := time.NewTicker(transferTick)
	defer ticker.Stop()
	for {
		t.performActions(ctx)
		t.checkComplete()
		select {
		case <-t.wakeup:
		case <-ticker.C:
			t.mutex.Lock()
			t.fetcher.Tick(t.now())
			t.mutex.Unlock()
			t.queryHolders(ctx, manifest)
		case <-ctx.Done():
			return
		}
	}
}

func (t *transfer) start(manifest fleet.Manifest, held []bool, holders map[int][]dissemination.MachineID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.originInterval = t.estimateOriginInterval()
	t.fetcher = dissemination.NewFetcher(t.fetcherOptions(held))
	t.addHolders(holders)
	t.fetcher.Start(t.now())
	t.agent.log.Log(logging.TransferBegun, zap.String("model", t.model), zap.Uint64("version", t.version()),
		zap.Int("pieces", len(held)), zap.Int("missing", t.fetcher.Missing()),
		zap.Int("held_by_peers", len(holders)), zap.Duration("after", t.now()))
	for _, pending := range t.earlyOffers {
		t.applyOfferLocked(pending)
	}
	t.earlyOffers = nil
}

// fetcherOptions are those of a fetcher that has some pieces; the mutex is held.
func (t *transfer) fetcherOptions(held []bool) dissemination.Options {
	return dissemination.Options{
		Self: t.self(), Plan: t.plan, Chunks: len(held), Held: held, PeersOnly: t.peersOnly.Load(),
		MaximumFetches: maxFetches, OriginInterval: t.originInterval, LagChunks: maxLagPieces, Patience: progressTimeout, Distrust: peerBackoff,
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

// estimateOriginInterval is how long the origin's link takes for a piece; 0 when that is not
// known.
func (t *transfer) estimateOriginInterval() time.Duration {
	engine, _ := t.agent.engine()
	if engine == nil {
		return 0
	}
	return engine.PieceTime(t.agent.daemon.Catalog.View().Configuration.OriginRate())
}

// addHolders offers the fetcher what peers hold, each piece from another of them
// first, so that no one has to send everything; the mutex is held.
func (t *transfer) addHolders(holders map[int][]dissemination.MachineID) {
	for index, machines := range holders {
		for turn := range machines {
			t.fetcher.Offered(machines[(index+turn)%len(machines)], index, t.now())
		}
	}
}

// applyOffer feeds an offer or a question to the fetcher.
func (t *transfer) applyOffer(incoming offer) dissemination.Answer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.fetcher == nil {
		if len(t.earlyOffers) < maxEarlyOffers {
			t.earlyOffers = append(t.earlyOffers, incoming)
		}
		return dissemination.Answer{}
	}
	return t.applyOfferLocked(incoming)
}

// maxEarlyOffers bounds the offers kept until the manifest is known.
const maxEarlyOffers = 512

func (t *transfer) applyOfferLocked(incoming offer) dissemination.Answer {
	defer t.wake()
	if incoming.Query {
		return t.fetcher.AskedFor(incoming.From, incoming.Pieces, t.agent.uploads.backlog(), t.now())
	}
	for _, piece := range incoming.Pieces {
		t.fetcher.Offered(incoming.From, piece, t.now())
	}
	return dissemination.Answer{}
}

// performActions starts what the fetcher wants done.
func (t *transfer) performActions(ctx context.Context) {
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
	body := offer{From: t.self(), Model: t.model, Version: t.version(), Pieces: message.Chunks, Query: message.Ask}
	answer, err := t.agent.peers.offer(ctx, message.Peer, body)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.fetcher.Delivered(message.Peer, message.Chunks, message.Ask, err != nil, answer, t.now())
	t.wake()
}

// fetch brings one piece to the server and reports how it went.
func (t *transfer) fetch(ctx context.Context, fetcher *dissemination.Fetcher, action dissemination.Action) {
	content, err := t.readFrom(ctx, action)
	if err == nil && sha256.Sum256(content) != t.manifest.Digests[action.Chunk] {
		err = &fault.Corrupt{Source: string(action.Peer)}
	}
	if err == nil {
		err = t.store(ctx, action.Chunk, content)
	}
	if ctx.Err() != nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	defer t.wake()
	if t.fetcher != fetcher {
		// The transfer has begun anew meanwhile and will see for itself.
		return
	}
	if err != nil {
		t.fetcher.FetchFailed(action.Peer, action.Chunk, t.classifyFailure(err, action), t.now())
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
	if err := t.limiter.acquire(ctx); err != nil {
		return nil, err
	}
	took := time.Duration(0)
	defer func() { t.limiter.release(took) }()
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
	case t.originSlots <- struct{}{}:
		defer func() { <-t.originSlots }()
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

// classifyFailure turns an error into the fetcher's reason; the mutex is held.
func (t *transfer) classifyFailure(err error, action dissemination.Action) dissemination.FailureReason {
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
		t.manifestSuspect = t.manifestSuspect || t.corrupt[action.Chunk] >= maxDigestFailures
		return dissemination.Corrupted
	case errors.Is(err, context.DeadlineExceeded):
		t.agent.log.Log(logging.ChunkStalled, zap.String("source", source), zap.Int("piece", action.Chunk), zap.Uint64("version", t.version()))
		return dissemination.Stalled
	case errors.As(err, &unavailable) && unavailable.Status != 0:
		return dissemination.NotHeld
	}
	return dissemination.Unreachable
}

// checkComplete announces that every piece lies at the server.
func (t *transfer) checkComplete() {
	t.mutex.Lock()
	changed := !t.complete && t.fetcher.Missing() == 0
	t.complete = t.fetcher.Missing() == 0
	doubtful := t.manifestSuspect && !t.complete
	t.mutex.Unlock()
	if changed {
		t.agent.metrics.staged.Observe(t.now().Seconds())
		t.agent.log.Log(logging.WeightsStaged, zap.String("model", t.model), zap.Uint64("version", t.version()),
			zap.Duration("took", t.now()), zap.Int("origin_bytes", t.fromOrigin), zap.Int("peer_bytes", t.fromPeers))
		t.agent.wake()
	}
	if doubtful {
		t.agent.rejectManifest(t)
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
func (t *transfer) hasStarted() bool {
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
