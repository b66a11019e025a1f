package agent

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/blackboard"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/node"
	"pinevane.example/pinevane/internal/protocol"
	"pinevane.example/pinevane/internal/weights"
)

// Periods and limits of activation.
const (
	// activationTick is the period at which the engine's status is queried.
	activationTick = 200 * time.Millisecond
	// canaryTimeout is how long to wait while all machines that are earlier in the zone's order
	// are unreachable.
	canaryTimeout = 3 * time.Second
	// maxCanaries is the maximum number of machines, from the start of the zone's order, whose
	// state is queried.
	maxCanaries = 3
	// probeTimeout limits the probe of a newly loaded version.
	probeTimeout = 10 * time.Second
	// statusTimeout limits a status query to the engine or to another machine.
	statusTimeout = 2 * time.Second
)

// RefusedVersion is a version that is not activated, with the reason.
type RefusedVersion struct {
	Digest weights.Digest `json:"manifest"`
	Reason string         `json:"reason"`
}

// ActivationState is the state of a version that a machine reports to others.
type ActivationState string

// The states of a version on a machine.
const (
	ActivationPending ActivationState = "pending"
	ActivationLive    ActivationState = "live"
	ActivationRefused ActivationState = "refused"
)

const activationPath = "/v1/activations/"

// servedVersion is a version that this agent has activated.
type servedVersion struct {
	protocol.ServedVersion
	digest weights.Digest
	// since is when the version became live, or began to retire.
	since time.Time
	// removed is set once no new requests are admitted; the version is unloaded
	// after its last request.
	removed bool
}

// activationController sends orders to the engine: it loads staged versions in
// the zone's order, confirms them with a probe, and retires the versions that
// they replace.
type activationController struct {
	node    *node.Node
	options Options
	engine  external.Engine
	gate    *gate
	client  *external.HTTPPeerStore
	// onRetired is called with the manifests that are still needed after a version
	// was unloaded.
	onRetired func(ctx context.Context, kept []weights.Digest)
	// sequence is the last component of the fence; only the goroutine of run uses it.
	sequence uint64

	mutex       sync.Mutex
	incarnation uint64
	// unreachable is set while the engine does not answer status queries.
	unreachable bool
	served      []servedVersion
	refused     []RefusedVersion
	// unreachableSince records since when all earlier machines have been unreachable.
	unreachableSince map[weights.Digest]time.Time
	// lastRetired maps each model to its most recently retired manifest. Its chunks
	// stay in the store, so that a rollback needs no transfer.
	lastRetired map[string]weights.Digest
}

func newActivationController(base *node.Node, options Options, engine external.Engine, g *gate) *activationController {
	controller := &activationController{
		node: base, options: options, engine: engine, gate: g,
		client:           external.NewHTTPPeerStore(),
		unreachableSince: map[weights.Digest]time.Time{},
		lastRetired:      map[string]weights.Digest{},
	}
	base.Router.Get(activationPath+"{digest}", controller.serveState)
	return controller
}

func (c *activationController) run(ctx context.Context) {
	ticker := time.NewTicker(activationTick)
	defer ticker.Stop()
	for {
		c.step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *activationController) step(ctx context.Context) {
	statusContext, cancel := context.WithTimeout(ctx, statusTimeout)
	status, err := c.engine.Status(statusContext)
	cancel()
	if err != nil {
		c.handleEngineLost()
		return
	}
	c.applyStatus(status)
	staged, _ := blackboard.Read(c.node.Board, StagedKey)
	for _, version := range staged {
		if c.stateOf(version.Digest) == ActivationPending && c.mayActivate(ctx, version) {
			c.activate(ctx, version)
		}
	}
	c.retire(ctx)
}

// handleEngineLost stops admitting requests while the engine does not answer. What it serves stays
// known: an engine that was only silent goes on with it.
func (c *activationController) handleEngineLost() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.unreachable {
		return
	}
	c.unreachable = true
	c.publish()
}

// applyStatus records the engine's status. It admits requests again after the engine was silent, and
// clears the served versions when the engine has restarted.
func (c *activationController) applyStatus(status external.EngineStatus) {
	blackboard.Write(c.node.Board, EngineKey, status)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	changed := c.unreachable
	c.unreachable = false
	if c.incarnation != 0 && c.incarnation != status.Incarnation {
		c.node.Log.Log(logging.EngineRestarted, zap.Uint64("incarnation", status.Incarnation))
		c.served = nil
		changed = true
	}
	c.incarnation = status.Incarnation
	if changed {
		c.publish()
	}
}

// publish writes the admitted versions to the blackboard. The mutex must be held.
func (c *activationController) publish() {
	admitted := make([]protocol.ServedVersion, 0, len(c.served))
	for _, version := range c.served {
		if !version.removed && !c.unreachable {
			admitted = append(admitted, version.ServedVersion)
		}
	}
	blackboard.Write(c.node.Board, ServedKey, admitted)
}

func (c *activationController) stateOf(digest weights.Digest) ActivationState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if slices.ContainsFunc(c.refused, func(r RefusedVersion) bool { return r.Digest == digest }) {
		return ActivationRefused
	}
	if slices.ContainsFunc(c.served, func(s servedVersion) bool { return s.digest == digest && !s.Retiring }) {
		return ActivationLive
	}
	return ActivationPending
}

func (c *activationController) serveState(writer http.ResponseWriter, request *http.Request) {
	digest := weights.Digest(request.URL.Path[len(activationPath):])
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(c.stateOf(digest))
}

// mayActivate reports whether this machine may activate a version now. The first
// machine of the zone's order activates at once; the others wait until an earlier
// one is live, and refuse the version when an earlier one has refused it.
func (c *activationController) mayActivate(ctx context.Context, version StagedVersion) bool {
	rank := slices.Index(version.ZoneOrder, c.node.ID())
	if rank <= 0 {
		return true
	}
	reached := false
	for _, earlier := range version.ZoneOrder[:min(rank, maxCanaries)] {
		state, err := c.queryState(ctx, earlier, version.Digest)
		if err != nil {
			continue
		}
		reached = true
		switch state {
		case ActivationLive:
			return true
		case ActivationRefused:
			c.recordRefusal(version, "an earlier machine refused it: "+earlier)
			return false
		}
	}
	return c.canariesTimedOut(version.Digest, reached)
}

// canariesTimedOut reports whether all earlier machines have been unreachable for
// longer than canaryTimeout, so that this machine activates first.
func (c *activationController) canariesTimedOut(digest weights.Digest, reached bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if reached {
		delete(c.unreachableSince, digest)
		return false
	}
	since, waiting := c.unreachableSince[digest]
	if !waiting {
		c.unreachableSince[digest] = time.Now()
		return false
	}
	return time.Since(since) > canaryTimeout
}

func (c *activationController) queryState(ctx context.Context, machine string, digest weights.Digest) (ActivationState, error) {
	members, _ := blackboard.Read(c.node.Board, node.MembersKey)
	index := slices.IndexFunc(members, func(member external.Member) bool { return member.ID == machine })
	if index < 0 {
		return "", &fault.Unavailable{Target: machine, Operation: "activation state"}
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	data, err := c.client.Get(ctx, members[index].Address, activationPath+string(digest))
	if err != nil {
		return "", err
	}
	c.node.Counters.CountRequest("activation", len(activationPath)+len(digest), len(data))
	var state ActivationState
	if err := json.Unmarshal(data, &state); err != nil {
		return "", &fault.Unavailable{Target: machine, Operation: "activation state", Cause: err}
	}
	return state, nil
}

// nextFence returns the fence of the next order. For an engine that does not check
// fences, the agent's listening address, which only one process can bind, prevents
// a second agent from sending orders.
func (c *activationController) nextFence() external.Fence {
	snapshot, _ := blackboard.Read(c.node.Board, node.SnapshotKey)
	c.sequence++
	return external.Fence{Revision: snapshot.Version, Incarnation: c.node.Incarnation(), Sequence: c.sequence}
}

func (c *activationController) sendOrder(ctx context.Context, order external.Order) error {
	order.Fence = c.nextFence()
	c.node.Log.Log(logging.OrderSent, zap.String("action", string(order.Action)), zap.String("model", order.Model), zap.String("version", order.Version))
	return c.engine.Execute(ctx, order)
}

// activate loads a version alongside the old one, probes it, and admits requests to it.
func (c *activationController) activate(ctx context.Context, version StagedVersion) {
	order := external.Order{Action: external.ActionLoad, Model: version.Model, Version: version.Version, Adapters: c.adaptersOf(version)}
	for _, chunk := range version.Manifest.Chunks {
		order.Chunks = append(order.Chunks, chunk.Digest)
	}
	err := c.sendOrder(ctx, order)
	if err == nil {
		err = c.probe(ctx, version)
	}
	var rejected *fault.OrderRejected
	if errors.As(err, &rejected) {
		c.recordRefusal(version, rejected.Reason)
		return
	}
	if err != nil {
		return
	}
	c.admit(version, order.Adapters)
}

func (c *activationController) adaptersOf(version StagedVersion) []string {
	snapshot, _ := blackboard.Read(c.node.Board, node.SnapshotKey)
	var adapters []string
	for _, adapter := range snapshot.Models[version.Model].Adapters {
		adapters = append(adapters, adapter.Name)
	}
	return adapters
}

// probeTokens is the number of tokens that a probe generates.
const probeTokens = 2

// probe confirms that the engine answers with the new version before requests are
// admitted to it.
func (c *activationController) probe(ctx context.Context, version StagedVersion) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	generation := external.GenerationRequest{
		ID: "probe/" + c.node.ID(), Model: version.Model, Version: version.Version,
		Prompt: "probe", MaximumTokens: probeTokens, Priority: probePriority,
	}
	return c.engine.Generate(ctx, generation, func(event external.GenerationEvent) error {
		if event.Version != version.Version {
			return &fault.OrderRejected{Action: "probe", Reason: "engine answered with version " + event.Version}
		}
		return nil
	})
}

// probePriority is the highest priority, so that a probe passes waiting requests.
const probePriority = 9

func (c *activationController) recordRefusal(version StagedVersion, reason string) {
	c.node.Log.Log(logging.OrderRefused, zap.String("model", version.Model), zap.String("version", version.Version), zap.String("reason", reason))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refused = append(c.refused, RefusedVersion{Digest: version.Digest, Reason: reason})
	blackboard.Write(c.node.Board, RefusedKey, slices.Clone(c.refused))
}

func (c *activationController) admit(version StagedVersion, adapters []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for i := range c.served {
		if c.served[i].Model == version.Model && !c.served[i].Retiring {
			c.served[i].Retiring = true
			c.served[i].since = now
		}
	}
	c.served = slices.DeleteFunc(c.served, func(s servedVersion) bool { return s.digest == version.Digest })
	c.served = append(c.served, servedVersion{
		ServedVersion: protocol.ServedVersion{Model: version.Model, Version: version.Version, Adapters: adapters},
		digest:        version.Digest,
		since:         now,
	})
	c.node.Log.Log(logging.VersionLive, zap.String("model", version.Model), zap.String("version", version.Version))
	c.publish()
}

// retire unloads versions that were replaced, or whose model is no longer assigned
// to this machine, after their last request.
func (c *activationController) retire(ctx context.Context) {
	for _, version := range c.takeRetirable() {
		if c.gate.openCountOf(version.Model, version.Version) > 0 {
			continue
		}
		order := external.Order{Action: external.ActionUnload, Model: version.Model, Version: version.Version}
		if c.sendOrder(ctx, order) != nil {
			continue
		}
		c.onRetired(ctx, c.removeServed(version))
	}
}

// removeServed removes an unloaded version and returns the manifests whose chunks
// are still needed.
func (c *activationController) removeServed(version servedVersion) []weights.Digest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.served = slices.DeleteFunc(c.served, func(s servedVersion) bool { return s.digest == version.digest && s.removed })
	c.lastRetired[version.Model] = version.digest
	var kept []weights.Digest
	for _, remaining := range c.served {
		kept = append(kept, remaining.digest)
	}
	for _, digest := range c.lastRetired {
		kept = append(kept, digest)
	}
	return kept
}

// takeRetirable marks retiring versions whose grace period has ended as removed, so
// that no new requests are admitted to them, and returns them.
func (c *activationController) takeRetirable() []servedVersion {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.retireUnassigned()
	var result []servedVersion
	changed := false
	for i := range c.served {
		version := &c.served[i]
		if !version.Retiring || time.Since(version.since) < c.options.RetireGrace {
			continue
		}
		if !version.removed && c.gate.openCountOf(version.Model, version.Version) > 0 {
			continue
		}
		changed = changed || !version.removed
		version.removed = true
		result = append(result, *version)
	}
	if changed {
		c.publish()
	}
	return result
}

// retireUnassigned retires models that are no longer assigned to this machine after
// a change of the configuration or the membership list. The mutex must be held.
func (c *activationController) retireUnassigned() {
	snapshot, configured := blackboard.Read(c.node.Board, node.SnapshotKey)
	members, listed := blackboard.Read(c.node.Board, node.MembersKey)
	if !configured || !listed {
		return
	}
	wanted := assignmentsFor(c.node.ID(), c.node.Zone(), c.options.ModelSlots, snapshot, newFleet(members))
	changed := false
	for i := range c.served {
		version := &c.served[i]
		assigned := slices.ContainsFunc(wanted, func(a assignment) bool { return a.model.Name == version.Model })
		if !assigned && !version.Retiring {
			version.Retiring = true
			version.since = time.Now()
			changed = true
		}
	}
	if changed {
		c.publish()
	}
}
