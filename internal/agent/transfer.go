package agent

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/waiting"
	"pinevane.example/pinevane/internal/weights"
)

// Periods of a transfer.
const (
	// manifestRetry is the pause between rounds of asking for a manifest.
	manifestRetry = 100 * time.Millisecond
	// fetcherTick is the period of the fetcher's clock.
	fetcherTick = 100 * time.Millisecond
	// offerTimeout bounds the delivery of an offer.
	offerTimeout = 2 * time.Second
	// minimumBytesPerWindow is the least progress that a transfer must make in a
	// stall window.
	minimumBytesPerWindow = 16 << 10
)

// transfer brings one manifest's chunks to this machine.
type transfer struct {
	owner   *weightsController
	cancel  context.CancelFunc
	began   time.Time
	updates chan struct{}

	mutex      sync.Mutex
	assigned   assignment
	plan       dissemination.Plan
	manifest   *weights.Manifest
	fetcher    *dissemination.Fetcher
	progress   RolloutProgress
	stagedDone bool
	// peerBytes and originBytes count what arrived.
	peerBytes   atomic.Int64
	originBytes atomic.Int64
}

func newTransfer(owner *weightsController, assigned assignment, cancel context.CancelFunc) *transfer {
	t := &transfer{
		owner: owner, cancel: cancel, began: time.Now(), assigned: assigned,
		updates: make(chan struct{}, 1),
		progress: RolloutProgress{
			Model: assigned.model.Name, Version: assigned.model.Version,
			Manifest: assigned.digest, NoticedAt: time.Now(),
		},
	}
	t.arrange()
	return t
}

// arrange computes the plan from the assignment; the mutex is held or not needed.
func (t *transfer) arrange() {
	roster := dissemination.NewRoster(t.assigned.machines)
	t.plan = dissemination.NewPlan(dissemination.StrategyRotated, roster)
}

func (t *transfer) self() dissemination.MachineID {
	return dissemination.MachineID(t.owner.node.ID())
}

func (t *transfer) now() time.Duration { return time.Since(t.began) }

// reassign takes over a new membership list.
func (t *transfer) reassign(assigned assignment) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.assigned = assigned
	t.arrange()
	if t.fetcher != nil {
		t.fetcher.SetPlan(t.plan, t.now())
	}
	t.poke()
}

func (t *transfer) missingChunks() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.fetcher == nil {
		return 1
	}
	return t.fetcher.Missing()
}

func (t *transfer) progressNow() RolloutProgress {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	progress := t.progress
	if t.fetcher != nil {
		progress.Missing = t.fetcher.Missing()
	}
	progress.PeerBytes, progress.OriginBytes = t.peerBytes.Load(), t.originBytes.Load()
	return progress
}

// poke asks the run loop to carry out new actions.
func (t *transfer) poke() {
	select {
	case t.updates <- struct{}{}:
	default:
	}
}

// run transfers until the context ends; a complete machine goes on answering.
func (t *transfer) run(ctx context.Context) {
	data, manifest := t.findManifest(ctx)
	if manifest == nil {
		return
	}
	held := t.heldChunks(ctx, manifest)
	t.begin(manifest, held)
	for _, early := range t.owner.manifestKnown(t.progress.Manifest, data) {
		t.take(early)
	}
	ticker := time.NewTicker(fetcherTick)
	defer ticker.Stop()
	lastReport := time.Now()
	for {
		t.carryOut(ctx)
		t.checkStaged()
		if time.Since(lastReport) > progressPeriod {
			lastReport = time.Now()
			t.owner.publishProgress()
		}
		select {
		case <-t.updates:
		case <-ticker.C:
			t.mutex.Lock()
			t.fetcher.Tick(t.now())
			t.mutex.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// findManifest asks the tree's ancestors, and the origin when there are none or
// they stay silent.
func (t *transfer) findManifest(ctx context.Context) ([]byte, *weights.Manifest) {
	for ctx.Err() == nil {
		t.mutex.Lock()
		plan, digest := t.plan, t.assigned.digest
		turn := slices.Index(plan.OriginReaders(0, t.self()), t.self())
		t.mutex.Unlock()
		if data, manifest := t.manifestFromAncestors(ctx, plan, digest); manifest != nil {
			return data, manifest
		}
		_, hasParent := plan.Parent(0, t.self())
		myTurn := turn >= 0 && t.now() > time.Duration(turn+1)*t.owner.options.RepairPatience
		if !hasParent || myTurn {
			data, err := t.owner.origin.Manifest(ctx, digest)
			if manifest := t.acceptManifest(data, digest, err); manifest != nil {
				return data, manifest
			}
		}
		waiting.For(ctx, manifestRetry)
	}
	return nil, nil
}

func (t *transfer) manifestFromAncestors(ctx context.Context, plan dissemination.Plan, digest weights.Digest) ([]byte, *weights.Manifest) {
	current := t.self()
	for range maximumManifestAncestors {
		parent, exists := plan.Parent(0, current)
		if !exists {
			return nil, nil
		}
		if address, known := t.owner.addressOf(parent); known {
			askContext, cancel := context.WithTimeout(ctx, offerTimeout)
			data, err := t.owner.peers.Manifest(askContext, address, digest)
			cancel()
			if manifest := t.acceptManifest(data, digest, err); manifest != nil {
				return data, manifest
			}
		}
		current = parent
	}
	return nil, nil
}

// maximumManifestAncestors bounds how far up the tree a manifest is asked for.
const maximumManifestAncestors = 3

func (t *transfer) acceptManifest(data []byte, digest weights.Digest, err error) *weights.Manifest {
	if err != nil {
		return nil
	}
	manifest, err := weights.Decode(data, digest)
	if err != nil {
		t.owner.node.Log.Log(logging.ChunkCorrupt, zap.Error(err))
		return nil
	}
	return manifest
}

// heldChunks asks the store what an earlier life or version left.
func (t *transfer) heldChunks(ctx context.Context, manifest *weights.Manifest) []bool {
	held := make([]bool, len(manifest.Chunks))
	for ctx.Err() == nil {
		digests, err := t.owner.store.List(ctx)
		if err != nil {
			waiting.For(ctx, manifestRetry)
			continue
		}
		present := make(map[weights.Digest]bool, len(digests))
		for _, digest := range digests {
			present[digest] = true
		}
		for index, chunk := range manifest.Chunks {
			held[index] = present[chunk.Digest]
		}
		return held
	}
	return held
}

func (t *transfer) begin(manifest *weights.Manifest, held []bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.manifest = manifest
	t.progress.ManifestAt = time.Now()
	t.progress.Chunks = len(manifest.Chunks)
	t.fetcher = dissemination.NewFetcher(dissemination.Options{
		Self: t.self(), Plan: t.plan, Chunks: len(manifest.Chunks), Held: held,
		ProgressTimeout: t.owner.options.RepairPatience,
	})
	t.fetcher.Start(t.now())
	t.owner.node.Log.Log(logging.ManifestFetched, zap.String("model", manifest.Model),
		zap.String("version", manifest.Version), zap.Int("chunks", len(manifest.Chunks)), zap.Int("missing", t.fetcher.Missing()))
}

// take feeds an offer or a question to the fetcher and answers which of the
// asked chunks can be had here.
func (t *transfer) take(incoming offer) dissemination.QueryReply {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.fetcher == nil {
		return dissemination.QueryReply{}
	}
	defer t.poke()
	if incoming.Query {
		return t.fetcher.HandleQuery(incoming.From, incoming.Chunks, int(t.owner.waitingUploads.Load()), t.now())
	}
	for _, chunk := range incoming.Chunks {
		t.fetcher.RecordOffer(incoming.From, chunk, t.now())
	}
	return dissemination.QueryReply{}
}

// carryOut starts the fetcher's actions.
func (t *transfer) carryOut(ctx context.Context) {
	t.mutex.Lock()
	actions := t.fetcher.TakeActions()
	t.mutex.Unlock()
	turn := dissemination.GroupByPeer(actions)
	for _, action := range turn.Fetches {
		go t.fetch(ctx, action)
	}
	for _, message := range turn.Messages {
		go t.sendOffer(ctx, message)
	}
}

func (t *transfer) sendOffer(ctx context.Context, message dissemination.Message) {
	body := offer{From: t.self(), Manifest: t.progress.Manifest, Chunks: message.Chunks, Query: message.Query}
	answer, err := t.postOffer(ctx, message.Peer, body)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.fetcher.RecordDelivery(message.Peer, message.Chunks, message.Query, err != nil, answer, t.now())
	t.poke()
}

func (t *transfer) postOffer(ctx context.Context, peer dissemination.MachineID, body offer) (dissemination.QueryReply, error) {
	var answer dissemination.QueryReply
	address, known := t.owner.addressOf(peer)
	if !known {
		return answer, &fault.Unavailable{Target: string(peer), Operation: "offer"}
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return answer, &fault.InvalidFrame{Field: "offer", Reason: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	reply, err := t.owner.peers.Post(ctx, address, offerPath, data)
	if err != nil {
		return answer, err
	}
	t.owner.node.Counters.CountRequest("weights", len(data), len(reply))
	if err := cbor.Unmarshal(reply, &answer); err != nil {
		return answer, &fault.InvalidFrame{Field: "offer answer", Reason: err.Error()}
	}
	return answer, nil
}

// fetch transfers one chunk into the store and reports how it went.
func (t *transfer) fetch(ctx context.Context, action dissemination.Action) {
	chunk := t.manifest.Chunks[action.Chunk]
	err := t.transferChunk(ctx, action, chunk)
	if ctx.Err() != nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	defer t.poke()
	if err == nil {
		if t.progress.FirstChunkAt.IsZero() {
			t.progress.FirstChunkAt = time.Now()
		}
		t.fetcher.RecordFetched(action.Peer, action.Chunk, t.now())
		return
	}
	t.fetcher.RecordFetchFailure(action.Peer, action.Chunk, t.reasonOf(err, action), t.now())
}

func (t *transfer) reasonOf(err error, action dissemination.Action) dissemination.FailureReason {
	var corrupt *fault.Corrupt
	var stalled *fault.Stalled
	var unavailable *fault.Unavailable
	switch {
	case errors.As(err, &corrupt):
		t.owner.node.Log.Log(logging.ChunkCorrupt, zap.String("source", string(action.Peer)), zap.Int("chunk", action.Chunk))
		return dissemination.Corrupted
	case errors.As(err, &stalled):
		t.owner.node.Log.Log(logging.ChunkStalled, zap.String("source", string(action.Peer)), zap.Int("chunk", action.Chunk))
		return dissemination.Stalled
	case errors.As(err, &unavailable) && unavailable.Status != 0:
		return dissemination.NotHeld
	}
	return dissemination.Unreachable
}

func (t *transfer) transferChunk(ctx context.Context, action dissemination.Action, chunk weights.Chunk) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	source, counter, label := string(action.Peer), &t.peerBytes, "peer"
	if action.Kind == dissemination.FetchOrigin {
		source, counter, label = "origin", &t.originBytes, "origin"
	}
	guard := newStallGuard(source, t.owner.options.StallWindow, cancel)
	defer guard.stop()
	body, err := t.open(ctx, action, chunk)
	if err != nil {
		return causeOf(ctx, err)
	}
	defer func() { _ = body.Close() }()
	guard.reader = &shapedReader{ctx: ctx, reader: body, limiter: t.owner.downlink}
	err = t.owner.store.Put(ctx, chunk, weights.NewVerifier(guard, chunk, source))
	counter.Add(guard.received.Load())
	t.owner.received.WithLabelValues(label).Add(float64(guard.received.Load()))
	return causeOf(ctx, err)
}

func (t *transfer) open(ctx context.Context, action dissemination.Action, chunk weights.Chunk) (io.ReadCloser, error) {
	if action.Kind == dissemination.FetchOrigin {
		return t.owner.origin.Chunk(ctx, chunk)
	}
	address, known := t.owner.addressOf(action.Peer)
	if !known {
		return nil, &fault.Unavailable{Target: string(action.Peer), Operation: "fetch"}
	}
	return t.owner.peers.Chunk(ctx, address, chunk.Digest)
}

// causeOf prefers the reason a transfer was cancelled for over the error that
// the cancellation showed as.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

// checkStaged announces the version once every chunk is verified and stored.
func (t *transfer) checkStaged() {
	t.mutex.Lock()
	if t.stagedDone || t.fetcher.Missing() > 0 {
		t.mutex.Unlock()
		return
	}
	t.stagedDone = true
	t.progress.StagedAt = time.Now()
	staged := StagedVersion{
		Model: t.manifest.Model, Version: t.manifest.Version, Digest: t.progress.Manifest,
		Manifest: t.manifest, ZoneOrder: t.assigned.zoneOrder,
	}
	took := time.Since(t.progress.NoticedAt)
	t.mutex.Unlock()
	t.owner.node.Log.Log(logging.WeightsStaged, zap.String("model", staged.Model), zap.String("version", staged.Version),
		zap.Duration("took", took), zap.Int64("origin_bytes", t.originBytes.Load()), zap.Int64("peer_bytes", t.peerBytes.Load()))
	t.owner.mutex.Lock()
	defer t.owner.mutex.Unlock()
	if t.owner.transfers[t.progress.Manifest] == t {
		t.owner.staged[t.progress.Manifest] = staged
		t.owner.publishStaged()
	}
}
