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

// Periods and limits of a transfer.
const (
	// manifestRetryDelay is the delay between attempts to fetch a manifest or to list
	// the store.
	manifestRetryDelay = 100 * time.Millisecond
	// fetcherTick is the period at which the fetcher checks its timeouts.
	fetcherTick = 100 * time.Millisecond
	// offerTimeout limits the delivery of an offer and a manifest request to a peer.
	offerTimeout = 2 * time.Second
	// minBytesPerWindow is the minimum progress that a transfer must make in a
	// stall window.
	minBytesPerWindow = 16 << 10
)

// transfer fetches the chunks of a manifest into this machine's store.
type transfer struct {
	owner     *weightsController
	cancel    context.CancelFunc
	startedAt time.Time
	updates   chan struct{}

	mutex     sync.Mutex
	assigned  assignment
	plan      dissemination.Plan
	manifest  *weights.Manifest
	fetcher   *dissemination.Fetcher
	progress  RolloutProgress
	announced bool
	// peerBytes and originBytes count the bytes received.
	peerBytes   atomic.Int64
	originBytes atomic.Int64
}

func newTransfer(owner *weightsController, assigned assignment, cancel context.CancelFunc) *transfer {
	t := &transfer{
		owner: owner, cancel: cancel, startedAt: time.Now(), assigned: assigned,
		updates: make(chan struct{}, 1),
		progress: RolloutProgress{
			Model: assigned.model.Name, Version: assigned.model.Version,
			Manifest: assigned.digest, NoticedAt: time.Now(),
		},
	}
	t.updatePlan()
	return t
}

// updatePlan computes the plan from the assignment. The mutex must be held, or the
// transfer is not shared yet.
func (t *transfer) updatePlan() {
	roster := dissemination.NewRoster(t.assigned.machines)
	t.plan = dissemination.NewPlan(dissemination.StrategyRotated, roster)
}

func (t *transfer) self() dissemination.MachineID {
	return dissemination.MachineID(t.owner.node.ID())
}

func (t *transfer) elapsed() time.Duration { return time.Since(t.startedAt) }

// reassign applies an assignment with a new membership list.
func (t *transfer) reassign(assigned assignment) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.assigned = assigned
	t.updatePlan()
	if t.fetcher != nil {
		t.fetcher.SetPlan(t.plan, t.elapsed())
	}
	t.notify()
}

func (t *transfer) missingChunks() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.fetcher == nil {
		return 1
	}
	return t.fetcher.Missing()
}

func (t *transfer) currentProgress() RolloutProgress {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	progress := t.progress
	if t.fetcher != nil {
		progress.Missing = t.fetcher.Missing()
	}
	progress.PeerBytes, progress.OriginBytes = t.peerBytes.Load(), t.originBytes.Load()
	return progress
}

// notify wakes the run loop to start new actions.
func (t *transfer) notify() {
	select {
	case t.updates <- struct{}{}:
	default:
	}
}

// run fetches chunks until the context ends. After the last chunk it continues, to
// answer the offers and queries of peers.
func (t *transfer) run(ctx context.Context) {
	data, manifest := t.fetchManifest(ctx)
	if manifest == nil {
		return
	}
	held := t.heldChunks(ctx, manifest)
	t.startFetcher(manifest, held)
	for _, early := range t.owner.storeManifest(t.progress.Manifest, data) {
		t.applyOffer(early)
	}
	ticker := time.NewTicker(fetcherTick)
	defer ticker.Stop()
	lastPublished := time.Now()
	for {
		t.startActions(ctx)
		t.announceIfComplete()
		if time.Since(lastPublished) > progressPeriod {
			lastPublished = time.Now()
			t.owner.publishProgress()
		}
		select {
		case <-t.updates:
		case <-ticker.C:
			t.mutex.Lock()
			t.fetcher.Tick(t.elapsed())
			t.mutex.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// fetchManifest fetches the manifest from the ancestors in the distribution tree, and
// from the origin if there are none or they do not deliver it in time.
func (t *transfer) fetchManifest(ctx context.Context) ([]byte, *weights.Manifest) {
	for ctx.Err() == nil {
		t.mutex.Lock()
		plan, digest := t.plan, t.assigned.digest
		rank := slices.Index(plan.OriginReaders(0, t.self()), t.self())
		t.mutex.Unlock()
		if data, manifest := t.manifestFromAncestors(ctx, plan, digest); manifest != nil {
			return data, manifest
		}
		_, hasParent := plan.Parent(0, t.self())
		fallbackDue := rank >= 0 && t.elapsed() > time.Duration(rank+1)*t.owner.options.RepairPatience
		if !hasParent || fallbackDue {
			data, err := t.owner.origin.Manifest(ctx, digest)
			if manifest := t.acceptManifest(data, digest, err); manifest != nil {
				return data, manifest
			}
		}
		waiting.For(ctx, manifestRetryDelay)
	}
	return nil, nil
}

func (t *transfer) manifestFromAncestors(ctx context.Context, plan dissemination.Plan, digest weights.Digest) ([]byte, *weights.Manifest) {
	current := t.self()
	for range maxManifestAncestors {
		parent, exists := plan.Parent(0, current)
		if !exists {
			return nil, nil
		}
		if address, known := t.owner.addressOf(parent); known {
			requestContext, cancel := context.WithTimeout(ctx, offerTimeout)
			data, err := t.owner.peers.Manifest(requestContext, address, digest)
			cancel()
			if manifest := t.acceptManifest(data, digest, err); manifest != nil {
				return data, manifest
			}
		}
		current = parent
	}
	return nil, nil
}

// maxManifestAncestors limits how many ancestors are asked for a manifest.
const maxManifestAncestors = 3

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

// heldChunks reports which chunks the store already holds from an earlier run or
// version.
func (t *transfer) heldChunks(ctx context.Context, manifest *weights.Manifest) []bool {
	held := make([]bool, len(manifest.Chunks))
	for ctx.Err() == nil {
		digests, err := t.owner.store.List(ctx)
		if err != nil {
			waiting.For(ctx, manifestRetryDelay)
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

func (t *transfer) startFetcher(manifest *weights.Manifest, held []bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.manifest = manifest
	t.progress.ManifestAt = time.Now()
	t.progress.Chunks = len(manifest.Chunks)
	t.fetcher = dissemination.NewFetcher(dissemination.Options{
		Self: t.self(), Plan: t.plan, Chunks: len(manifest.Chunks), Held: held,
		ProgressTimeout: t.owner.options.RepairPatience,
	})
	t.fetcher.Start(t.elapsed())
	t.owner.node.Log.Log(logging.ManifestFetched, zap.String("model", manifest.Model),
		zap.String("version", manifest.Version), zap.Int("chunks", len(manifest.Chunks)), zap.Int("missing", t.fetcher.Missing()))
}

// applyOffer passes an offer or a query to the fetcher and returns which of the
// requested chunks are available here.
func (t *transfer) applyOffer(incoming offer) dissemination.QueryReply {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.fetcher == nil {
		return dissemination.QueryReply{}
	}
	defer t.notify()
	if incoming.Query {
		return t.fetcher.HandleQuery(incoming.From, incoming.Chunks, int(t.owner.waitingUploads.Load()), t.elapsed())
	}
	for _, chunk := range incoming.Chunks {
		t.fetcher.RecordOffer(incoming.From, chunk, t.elapsed())
	}
	return dissemination.QueryReply{}
}

// startActions starts the fetcher's pending actions.
func (t *transfer) startActions(ctx context.Context) {
	t.mutex.Lock()
	actions := t.fetcher.TakeActions()
	t.mutex.Unlock()
	grouped := dissemination.GroupByPeer(actions)
	for _, action := range grouped.Fetches {
		go t.fetch(ctx, action)
	}
	for _, message := range grouped.Messages {
		go t.sendOffer(ctx, message)
	}
}

func (t *transfer) sendOffer(ctx context.Context, message dissemination.Message) {
	body := offer{From: t.self(), Manifest: t.progress.Manifest, Chunks: message.Chunks, Query: message.Query}
	answer, err := t.postOffer(ctx, message.Peer, body)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.fetcher.RecordDelivery(message.Peer, message.Chunks, message.Query, err != nil, answer, t.elapsed())
	t.notify()
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

// fetch transfers a chunk into the store and records the result.
func (t *transfer) fetch(ctx context.Context, action dissemination.Action) {
	chunk := t.manifest.Chunks[action.Chunk]
	err := t.transferChunk(ctx, action, chunk)
	if ctx.Err() != nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	defer t.notify()
	if err == nil {
		if t.progress.FirstChunkAt.IsZero() {
			t.progress.FirstChunkAt = time.Now()
		}
		t.fetcher.RecordFetched(action.Peer, action.Chunk, t.elapsed())
		return
	}
	t.fetcher.RecordFetchFailure(action.Peer, action.Chunk, t.failureReason(err, action), t.elapsed())
}

func (t *transfer) failureReason(err error, action dissemination.Action) dissemination.FailureReason {
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
	detector := newStallDetector(source, t.owner.options.StallWindow, cancel)
	defer detector.stop()
	body, err := t.open(ctx, action, chunk)
	if err != nil {
		return causeOf(ctx, err)
	}
	defer func() { _ = body.Close() }()
	detector.reader = &rateLimitedReader{ctx: ctx, reader: body, limiter: t.owner.downlink}
	err = t.owner.store.Put(ctx, chunk, weights.NewVerifier(detector, chunk, source))
	counter.Add(detector.received.Load())
	t.owner.received.WithLabelValues(label).Add(float64(detector.received.Load()))
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

// causeOf returns the reason for which a transfer was cancelled instead of the error
// that the cancellation produced.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

// announceIfComplete announces the version as staged once all chunks are verified and stored.
func (t *transfer) announceIfComplete() {
	t.mutex.Lock()
	if t.announced || t.fetcher.Missing() > 0 {
		t.mutex.Unlock()
		return
	}
	t.announced = true
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
