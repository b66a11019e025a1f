package agent

import (
	"cmp"
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"pinevane.example/pinevane/coordination/dissemination"
	"pinevane.example/pinevane/internal/blackboard"
	"pinevane.example/pinevane/internal/configuration"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/network"
	"pinevane.example/pinevane/internal/node"
	"pinevane.example/pinevane/internal/weights"
)

// RolloutProgress is the transfer progress of a version on this machine. Times are
// zero until the phase is reached.
type RolloutProgress struct {
	Model        string         `json:"model"`
	Version      string         `json:"version"`
	Manifest     weights.Digest `json:"manifest"`
	Chunks       int            `json:"chunks"`
	Missing      int            `json:"missing"`
	NoticedAt    time.Time      `json:"noticed_at"`
	ManifestAt   time.Time      `json:"manifest_at"`
	FirstChunkAt time.Time      `json:"first_chunk_at"`
	StagedAt     time.Time      `json:"staged_at"`
	// PeerBytes and OriginBytes count the bytes received, including failed transfers.
	PeerBytes   int64 `json:"peer_bytes"`
	OriginBytes int64 `json:"origin_bytes"`
}

// StagedVersion is a version whose weights are complete and verified.
type StagedVersion struct {
	Model    string            `json:"model"`
	Version  string            `json:"version"`
	Digest   weights.Digest    `json:"manifest"`
	Manifest *weights.Manifest `json:"-"`
	// ZoneOrder is the order in which the zone's machines activate the version.
	ZoneOrder []string `json:"zone_order"`
}

// Limits of an agent's transfers.
const (
	// maxUploads limits the chunks that are sent to peers concurrently.
	maxUploads = 8
	// maxEarlyChunks limits the chunks offered for manifests that are not known yet.
	maxEarlyChunks = 64 << 10
	// maxOfferBytes limits the size of an offer's body.
	maxOfferBytes = 1 << 20
	// progressPeriod is the minimum time between updates of the progress on the blackboard.
	progressPeriod = 250 * time.Millisecond
)

// offer is the body of POST /v1/offers between agents.
type offer struct {
	From     dissemination.MachineID `cbor:"1,keyasint"`
	Manifest weights.Digest          `cbor:"2,keyasint"`
	// Chunks are indexes into the manifest.
	Chunks []int `cbor:"3,keyasint"`
	// Query is set when the sender requests the chunks instead of offering them.
	Query bool `cbor:"4,keyasint,omitempty"`
}

const offerPath = "/v1/offers"

// weightsController transfers the weights of assigned models to this machine.
type weightsController struct {
	node    *node.Node
	options Options
	origin  external.Origin
	store   external.Store
	peers   *external.HTTPPeerStore
	// downlink and uplink limit weights to their fraction of the machine's link.
	downlink *rate.Limiter
	uplink   *rate.Limiter
	uploads  chan struct{}
	// waitingUploads counts the uploads that wait for a free upload slot.
	waitingUploads atomic.Int64
	received       *prometheus.CounterVec

	mutex     sync.Mutex
	fleet     fleet
	transfers map[weights.Digest]*transfer
	manifests map[weights.Digest][]byte
	staged    map[weights.Digest]StagedVersion
	early     *earlyOffers
}

func newWeightsController(base *node.Node, options Options) *weightsController {
	controller := &weightsController{
		node: base, options: options,
		origin:    external.NewHTTPOrigin(options.OriginAddress),
		store:     external.NewHTTPStore(options.StoreAddress),
		peers:     external.NewHTTPPeerStore(),
		downlink:  newLinkLimiter(options.LinkBytesPerSecond, 1),
		uplink:    newLinkLimiter(options.LinkBytesPerSecond, 1),
		uploads:   make(chan struct{}, maxUploads),
		transfers: map[weights.Digest]*transfer{},
		manifests: map[weights.Digest][]byte{},
		staged:    map[weights.Digest]StagedVersion{},
		early:     newEarlyOffers(),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pinevane_weights_received_bytes_total",
			Help: "Weight bytes received, by source (peer or origin).",
		}, []string{"source"}),
	}
	base.Registry.MustRegister(controller.received)
	base.Router.Post(offerPath, controller.handleOffer)
	base.Router.Get("/v1/manifests/{digest}", controller.serveManifest)
	base.Router.Get("/v1/chunks/{digest}", controller.serveChunk)
	return controller
}

// transferBlock is the unit of rate limiting, in bytes.
const transferBlock = 16 << 10

func newLinkLimiter(bytesPerSecond int64, fraction float64) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, transferBlock)
	}
	return rate.NewLimiter(rate.Limit(float64(bytesPerSecond)*fraction), 4*transferBlock)
}

func (c *weightsController) run(ctx context.Context) {
	changed := c.node.Board.Watch(ctx, node.SnapshotKey.Name(), node.MembersKey.Name())
	for {
		c.reconcile(ctx)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// reconcile starts the transfers of newly assigned manifests, cancels those that
// are no longer assigned, and updates the others with the newest membership list.
func (c *weightsController) reconcile(ctx context.Context) {
	snapshot, configured := blackboard.Read(c.node.Board, node.SnapshotKey)
	members, listed := blackboard.Read(c.node.Board, node.MembersKey)
	if !configured || !listed {
		return
	}
	c.setLinkFraction(snapshot.Rollout)
	fleet := newFleet(members)
	wanted := assignmentsFor(c.node.ID(), c.node.Zone(), c.options.ModelSlots, snapshot, fleet)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fleet = fleet
	digests := map[weights.Digest]bool{}
	for _, assigned := range wanted {
		digests[assigned.digest] = true
		if existing, running := c.transfers[assigned.digest]; running {
			existing.reassign(assigned)
			continue
		}
		c.start(ctx, assigned)
	}
	for digest, existing := range c.transfers {
		if !digests[digest] {
			c.abandon(digest, existing)
		}
	}
}

func (c *weightsController) setLinkFraction(rollout configuration.Rollout) {
	if c.options.LinkBytesPerSecond <= 0 {
		return
	}
	limit := rate.Limit(float64(c.options.LinkBytesPerSecond) * rollout.LinkFraction)
	c.downlink.SetLimit(limit)
	c.uplink.SetLimit(limit)
}

// start starts a transfer. The mutex must be held.
func (c *weightsController) start(ctx context.Context, assigned assignment) {
	c.node.Log.Log(logging.RolloutDetected, zap.String("model", assigned.model.Name),
		zap.String("version", assigned.model.Version), zap.Int("machines", len(assigned.machines)))
	transferContext, cancel := context.WithCancel(ctx)
	started := newTransfer(c, assigned, cancel)
	c.transfers[assigned.digest] = started
	go started.run(transferContext)
}

// abandon cancels a transfer whose version is no longer assigned. Chunks that the
// next version shares stay in the store. The mutex must be held.
func (c *weightsController) abandon(digest weights.Digest, existing *transfer) {
	existing.cancel()
	delete(c.transfers, digest)
	delete(c.staged, digest)
	c.publishStaged()
	if existing.missingChunks() > 0 {
		c.node.Log.Log(logging.RolloutReplaced, zap.String("manifest", string(digest)))
	}
}

// publishStaged writes the staged versions to the blackboard. The mutex must be held.
func (c *weightsController) publishStaged() {
	blackboard.Write(c.node.Board, StagedKey, sortedVersions(c.staged))
}

// sortedVersions returns the versions in the order of their model and version.
func sortedVersions(staged map[weights.Digest]StagedVersion) []StagedVersion {
	return slices.SortedFunc(maps.Values(staged), func(a, b StagedVersion) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Digest, b.Digest))
	})
}

// publishProgress writes the progress of all transfers to the blackboard.
func (c *weightsController) publishProgress() {
	c.mutex.Lock()
	transfers := make([]*transfer, 0, len(c.transfers))
	for _, existing := range c.transfers {
		transfers = append(transfers, existing)
	}
	c.mutex.Unlock()
	progress := make([]RolloutProgress, 0, len(transfers))
	for _, existing := range transfers {
		progress = append(progress, existing.currentProgress())
	}
	blackboard.Write(c.node.Board, RolloutKey, progress)
}

// addressOf returns the address of a machine on the membership list.
func (c *weightsController) addressOf(machine dissemination.MachineID) (string, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	member, known := c.fleet.machine[string(machine)]
	return member.Address, known
}

// storeManifest stores a verified manifest and returns the offers that arrived
// before it.
func (c *weightsController) storeManifest(digest weights.Digest, data []byte) []offer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.manifests[digest] = data
	return c.early.take(digest)
}

func (c *weightsController) handleOffer(writer http.ResponseWriter, request *http.Request) {
	incoming, received, ok := network.ReadCBOR[offer](writer, request, maxOfferBytes)
	if !ok {
		return
	}
	sent := network.WriteCBOR(writer, c.applyOffer(incoming))
	c.node.Counters.CountRequest("weights", sent, received)
}

// applyOffer passes an offer to its transfer, or keeps it until the manifest is
// known.
func (c *weightsController) applyOffer(incoming offer) dissemination.QueryReply {
	c.mutex.Lock()
	existing, running := c.transfers[incoming.Manifest]
	_, manifestKnown := c.manifests[incoming.Manifest]
	if !running || !manifestKnown {
		c.early.add(incoming)
		c.mutex.Unlock()
		return dissemination.QueryReply{}
	}
	c.mutex.Unlock()
	return existing.applyOffer(incoming)
}

func (c *weightsController) serveManifest(writer http.ResponseWriter, request *http.Request) {
	c.mutex.Lock()
	data, known := c.manifests[weights.Digest(chi.URLParam(request, "digest"))]
	c.mutex.Unlock()
	if !known {
		http.Error(writer, "no such manifest", http.StatusNotFound)
		return
	}
	_, _ = writer.Write(data)
}

// serveChunk streams a chunk from the store to a peer within the uplink's rate limit.
func (c *weightsController) serveChunk(writer http.ResponseWriter, request *http.Request) {
	c.waitingUploads.Add(1)
	select {
	case c.uploads <- struct{}{}:
		c.waitingUploads.Add(-1)
		defer func() { <-c.uploads }()
	case <-request.Context().Done():
		c.waitingUploads.Add(-1)
		return
	}
	digest := weights.Digest(chi.URLParam(request, "digest"))
	if !digest.Valid() {
		http.Error(writer, "not a digest", http.StatusBadRequest)
		return
	}
	content, err := c.store.Open(request.Context(), digest)
	if err != nil {
		http.Error(writer, "no such chunk", http.StatusNotFound)
		return
	}
	defer func() { _ = content.Close() }()
	limited := &rateLimitedReader{ctx: request.Context(), reader: content, limiter: c.uplink}
	_, _ = io.CopyBuffer(struct{ io.Writer }{writer}, limited, make([]byte, transferBlock))
}

// collectGarbage deletes chunks that no kept manifest lists.
func (c *weightsController) collectGarbage(ctx context.Context, kept []weights.Digest) {
	wanted := map[weights.Digest]bool{}
	c.mutex.Lock()
	for digest := range c.transfers {
		kept = append(kept, digest)
	}
	for digest, data := range c.manifests {
		if !slices.Contains(kept, digest) {
			delete(c.manifests, digest)
			continue
		}
		manifest, err := weights.Parse(data)
		if err != nil {
			continue
		}
		for _, chunk := range manifest.Chunks {
			wanted[chunk.Digest] = true
		}
	}
	c.mutex.Unlock()
	held, err := c.store.List(ctx)
	if err != nil {
		return
	}
	unwanted := slices.DeleteFunc(held, func(digest weights.Digest) bool { return wanted[digest] })
	if err := c.store.Delete(ctx, unwanted); err != nil {
		// What is left is deleted after the next version is unloaded.
		c.node.Log.Log(logging.ChunksNotDeleted, zap.Int("unwanted", len(unwanted)), zap.Error(err))
	}
}
