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

// Parameters of a transfer.
const (
	transferTick = 50 * time.Millisecond
	// progressTimeout is how long to wait for progress before querying peers for pieces.
	progressTimeout = 300 * time.Millisecond
	// peerBackoff is how long a peer that failed is avoided.
	peerBackoff = 2 * time.Second
	// maxFetches is the maximum number of concurrent fetches.
	maxFetches = 10
	// maxLagPieces is how far a missing piece may lag behind the newest one before peers are
	// queried for it.
	maxLagPieces = 24
	// originFetches is the number of concurrent reads from the origin. The machines share its link,
	// so more of them would only delay the first pieces.
	originFetches = 1
	// pieceTimeout bounds the fetch of a piece from a peer, including its wait there; a stalled
	// peer must not block the fetches.
	pieceTimeout = 1500 * time.Millisecond
	// The manifest is requested every manifestRetryInterval, and after manifestSlowAfter every
	// manifestSlowInterval: by then its source is down, and 75 agents that kept the first rate made
	// 1,800 calls a second to it. Machines that are not the first to query the origin query it
	// every manifestOriginInterval.
	manifestRetryInterval  = 40 * time.Millisecond
	manifestSlowAfter      = time.Second
	manifestSlowInterval   = 200 * time.Millisecond
	manifestOriginInterval = time.Second
	// originTurnInterval is the delay after which the next machine in turn queries the origin.
	originTurnInterval = 400 * time.Millisecond
	// inventoriesPerZone is how many machines are queried for their inventories.
	inventoriesPerZone = 4
	// maxDigestFailures is how often a piece may fail its digest before the manifest itself is
	// suspected.
	maxDigestFailures = 2
)

// transfer fetches the pieces of one version for the machine's server, and keeps serving peers once
// it is complete.
type transfer struct {
	agent *Agent
	model string
	// peersOnly is set for a fallback: the origin's link is reserved for the newest version.
	peersOnly atomic.Bool
	// originManifestOnly is set after a manifest of this version was rejected: it is read from the
	// origin only, since peers may hold the same bad one.
	originManifestOnly bool
	// versionNumber is the version, or 0 until the manifest is known.
	versionNumber atomic.Uint64
	startedAt     time.Time
	cancel        context.CancelFunc
	wakeup        chan struct{}
	originSlots   chan struct{}
	limiter       *fetchLimiter

	// manifestKnown is closed once the manifest is known.
	manifestKnown chan struct{}

	mutex    sync.Mutex
	plan     dissemination.Plan
	manifest *fleet.Manifest
	fetcher  *dissemination.Fetcher
	// originInterval is how long the origin's link takes for a piece; 0 if unknown.
	originInterval time.Duration
	// earlyOffers keeps the offers received before the manifest is known.
	earlyOffers []offer
	// corrupt counts the digest failures of each piece.
	corrupt         map[int]int
	manifestSuspect bool
	complete        bool
	fromOrigin      int
	fromPeers       int

	// holdersQueriedAt is when a fallback last queried machines for their pieces.
	holdersQueriedAt time.Duration
	// buffer holds pieces while another version is staged.
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

// newPlan builds the distribution plan for the machines currently listed. A fallback does not push
// pieces on: other machines hold it or do not need it.
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

// updatePlan adopts a changed list of machines.
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

// run fetches the version and serves it until the context ends.
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
	t.agent.log.Log(logging.TransferStarted, zap.String("model", t.model), zap.Uint64("version", t.version()),
		zap.Int("pieces", len(held)), zap.Int("missing", t.fetcher.Missing()),
		zap.Int("held_by_peers", len(holders)), zap.Duration("after", t.now()))
	for _, early := range t.earlyOffers {
		t.applyOfferLocked(early)
	}
	t.earlyOffers = nil
}

// fetcherOptions returns the options of a fetcher that starts with the held pieces. The caller
// holds the mutex.
func (t *transfer) fetcherOptions(held []bool) dissemination.Options {
	return dissemination.Options{
		Self: t.self(), Plan: t.plan, Chunks: len(held), Held: held, PeersOnly: t.peersOnly.Load(),
		MaxFetches: maxFetches, OriginInterval: t.originInterval, LagChunks: maxLagPieces, ProgressTimeout: progressTimeout, PeerBackoff: peerBackoff,
	}
}

// heldMask marks the held pieces. The manifest is known, and the caller holds the mutex.
func (t *transfer) heldMask() []bool {
	held := make([]bool, len(t.manifest.Digests))
	for index := range held {
		held[index] = t.fetcher.Holds(index)
	}
	return held
}

// estimateOriginInterval returns how long the origin's link takes for a piece, or 0 if unknown.
func (t *transfer) estimateOriginInterval() time.Duration {
	engine, _ := t.agent.engine()
	if engine == nil {
		return 0
	}
	return engine.PieceTime(t.agent.daemon.Catalog.View().Configuration.OriginRate())
}

// addHolders offers the fetcher the pieces of peers. For each piece it starts with a different
// holder, so that no peer sends everything. The caller holds the mutex.
func (t *transfer) addHolders(holders map[int][]dissemination.MachineID) {
	for index, machines := range holders {
		for turn := range machines {
			t.fetcher.RecordOffer(machines[(index+turn)%len(machines)], index, t.now())
		}
	}
}

// applyOffer passes an offer or a query to the fetcher.
func (t *transfer) applyOffer(incoming offer) dissemination.QueryReply {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.fetcher == nil {
		if len(t.earlyOffers) < maxEarlyOffers {
			t.earlyOffers = append(t.earlyOffers, incoming)
		}
		return dissemination.QueryReply{}
	}
	return t.applyOfferLocked(incoming)
}

// maxEarlyOffers bounds the offers kept until the manifest is known.
const maxEarlyOffers = 512

func (t *transfer) applyOfferLocked(incoming offer) dissemination.QueryReply {
	defer t.wake()
	if incoming.Query {
		return t.fetcher.HandleQuery(incoming.From, incoming.Pieces, t.agent.uploads.backlog(), t.now())
	}
	for _, piece := range incoming.Pieces {
		t.fetcher.RecordOffer(incoming.From, piece, t.now())
	}
	return dissemination.QueryReply{}
}

// performActions starts the actions that the fetcher requests.
func (t *transfer) performActions(ctx context.Context) {
	t.mutex.Lock()
	fetcher := t.fetcher
	actions := fetcher.TakeActions()
	t.mutex.Unlock()
	batch := dissemination.GroupByPeer(actions)
	for _, action := range batch.Fetches {
		go t.fetch(ctx, fetcher, action)
	}
	for _, message := range batch.Messages {
		go t.sendOffer(ctx, message)
	}
}

func (t *transfer) sendOffer(ctx context.Context, message dissemination.Message) {
	body := offer{From: t.self(), Model: t.model, Version: t.version(), Pieces: message.Chunks, Query: message.Query}
	answer, err := t.agent.peers.offer(ctx, message.Peer, body)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.fetcher.RecordDelivery(message.Peer, message.Chunks, message.Query, err != nil, answer, t.now())
	t.wake()
}

// fetch fetches and stores one piece and reports the result to the fetcher.
func (t *transfer) fetch(ctx context.Context, fetcher *dissemination.Fetcher, action dissemination.Action) {
	content, err := t.readFrom(ctx, action)
	if err == nil && sha256.Sum256(content) != t.manifest.Digests[action.Chunk] {
		err = &fault.Corrupt{Source: string(action.Peer)}
	}
	if err == nil {
		err = t.storeFetched(ctx, action.Chunk, content)
	}
	if ctx.Err() != nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	defer t.wake()
	if t.fetcher != fetcher {
		// The fetcher was replaced meanwhile; the new one schedules the piece itself.
		return
	}
	if err != nil {
		t.fetcher.RecordFetchFailure(action.Peer, action.Chunk, t.classifyFailure(err, action), t.now())
		return
	}
	if action.Kind == dissemination.FetchOrigin {
		t.fromOrigin += len(content)
		t.agent.metrics.bytes.WithLabelValues(sourceOrigin).Add(float64(len(content)))
	} else {
		t.fromPeers += len(content)
		t.agent.metrics.bytes.WithLabelValues(sourcePeer).Add(float64(len(content)))
	}
	t.fetcher.RecordFetched(action.Peer, action.Chunk, t.now())
}

// storeFetched stores a verified piece, and tries again while the machine's own server does not answer:
// the silence says nothing about the source, and the piece need not be fetched a second time.
func (t *transfer) storeFetched(ctx context.Context, index int, content []byte) error {
	logged := false
	return retryWhileSilent(ctx, func() error {
		err := t.store(ctx, index, content)
		if err != nil && ctx.Err() == nil && !logged {
			logged = true
			t.agent.log.Log(logging.StagingFailed, zap.Uint64("version", t.version()), zap.Int("piece", index), zap.Error(err))
		}
		return err
	})
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
		// A peer obtained the piece while this fetch waited for the origin.
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

// classifyFailure maps an error to the fetcher's failure reason. The caller holds the mutex.
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

// checkComplete logs and signals that all pieces are held. If pieces are missing and one has failed
// its digest maxDigestFailures times, it rejects the manifest.
func (t *transfer) checkComplete() {
	t.mutex.Lock()
	changed := !t.complete && t.fetcher.Missing() == 0
	t.complete = t.fetcher.Missing() == 0
	suspect := t.manifestSuspect && !t.complete
	t.mutex.Unlock()
	if changed {
		t.agent.metrics.staged.Observe(t.now().Seconds())
		t.agent.log.Log(logging.WeightsStaged, zap.String("model", t.model), zap.Uint64("version", t.version()),
			zap.Duration("took", t.now()), zap.Int("origin_bytes", t.fromOrigin), zap.Int("peer_bytes", t.fromPeers))
		t.agent.wake()
	}
	if suspect {
		t.agent.rejectManifest(t)
	}
}

// state returns whether all pieces are held, and how many are missing.
func (t *transfer) state() (complete bool, missing int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.fetcher == nil {
		return false, 1
	}
	return t.fetcher.Missing() == 0, t.fetcher.Missing()
}

// hasStarted reports whether the manifest is known and the fetcher runs.
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
