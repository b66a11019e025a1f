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

// Periods of activation.
const (
	// activationTick is how often the engine is looked at.
	activationTick = 200 * time.Millisecond
	// canaryTimeout is how long an unreachable earlier machine is waited for.
	canaryTimeout = 3 * time.Second
	// canariesAsked is how many earlier machines are asked for proof.
	canariesAsked = 3
	// probeTimeout bounds the probe of a fresh version.
	probeTimeout = 10 * time.Second
	// statusTimeout bounds a look at the engine.
	statusTimeout = 2 * time.Second
)

// RefusedVersion is a version that is not activated, and why.
type RefusedVersion struct {
	Digest weights.Digest `json:"manifest"`
	Reason string         `json:"reason"`
}

// ActivationState is what a machine tells others of a version.
type ActivationState string

// The states of a version on a machine.
const (
	ActivationPending ActivationState = "pending"
	ActivationLive    ActivationState = "live"
	ActivationRefused ActivationState = "refused"
)

const activationPath = "/v1/activations/"

// served is a version that this agent has activated.
type served struct {
	protocol.ServedVersion
	digest weights.Digest
	// since is when the version became live, or began to retire.
	since time.Time
	// removed versions admit nothing and wait for their last request.
	removed bool
}

// activationController gives orders to the engine: it loads staged versions in
// the zone's order, proves them by a probe, and retires what they replace.
type activationController struct {
	node    *node.Node
	options Options
	engine  external.Engine
	gate    *gate
	client  *external.HTTPPeerStore
	// onRetired is told which manifests are still needed after one was unloaded.
	onRetired func(ctx context.Context, kept []weights.Digest)
	// sequence is the last part of the fence; only run uses it.
	sequence uint64

	mutex       sync.Mutex
	incarnation uint64
	served      []served
	refused     []RefusedVersion
	// unreachableSince tells since when the earlier machines have been silent.
	unreachableSince map[weights.Digest]time.Time
	// previous is the manifest last retired of each model; its chunks stay in
	// the store, so that going back costs no transfer.
	previous map[string]weights.Digest
}

func newActivationController(base *node.Node, options Options, engine external.Engine, g *gate) *activationController {
	controller := &activationController{
		node: base, options: options, engine: engine, gate: g,
		client:           external.NewHTTPPeerStore(),
		unreachableSince: map[weights.Digest]time.Time{},
		previous:         map[string]weights.Digest{},
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
		c.engineLost()
		return
	}
	c.noteStatus(status)
	staged, _ := blackboard.Read(c.node.Board, StagedKey)
	for _, version := range staged {
		if c.stateOf(version.Digest) == ActivationPending && c.mayActivate(ctx, version) {
			c.activate(ctx, version)
		}
	}
	c.retire(ctx)
}

// engineLost admits nothing while the engine does not answer.
func (c *activationController) engineLost() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.served) == 0 {
		return
	}
	c.served = nil
	c.publish()
}

// noteStatus forgets what was loaded when the engine has restarted.
func (c *activationController) noteStatus(status external.EngineStatus) {
	blackboard.Write(c.node.Board, EngineKey, status)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.incarnation != 0 && c.incarnation != status.Incarnation {
		c.node.Log.Log(logging.EngineRestarted, zap.Uint64("incarnation", status.Incarnation))
		c.served = nil
		c.publish()
	}
	c.incarnation = status.Incarnation
}

// publish writes the admitted versions to the blackboard; the mutex is held.
func (c *activationController) publish() {
	admitted := make([]protocol.ServedVersion, 0, len(c.served))
	for _, version := range c.served {
		if !version.removed {
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
	if slices.ContainsFunc(c.served, func(s served) bool { return s.digest == digest && !s.Retiring }) {
		return ActivationLive
	}
	return ActivationPending
}

func (c *activationController) serveState(writer http.ResponseWriter, request *http.Request) {
	digest := weights.Digest(request.URL.Path[len(activationPath):])
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(c.stateOf(digest))
}

// mayActivate lets the first machine of the zone's order go ahead; the others
// wait until an earlier one is live, and stop when one was refused.
func (c *activationController) mayActivate(ctx context.Context, version StagedVersion) bool {
	rank := slices.Index(version.ZoneOrder, c.node.ID())
	if rank <= 0 {
		return true
	}
	reached := false
	for _, earlier := range version.ZoneOrder[:min(rank, canariesAsked)] {
		state, err := c.askState(ctx, earlier, version.Digest)
		if err != nil {
			continue
		}
		reached = true
		switch state {
		case ActivationLive:
			return true
		case ActivationRefused:
			c.refuse(version, "an earlier machine refused it: "+earlier)
			return false
		}
	}
	return c.waitedForSilent(version.Digest, reached)
}

// waitedForSilent reports whether every earlier machine has been unreachable
// for so long that this one goes first.
func (c *activationController) waitedForSilent(digest weights.Digest, reached bool) bool {
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

func (c *activationController) askState(ctx context.Context, machine string, digest weights.Digest) (ActivationState, error) {
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

// nextFence numbers an order. The agent's own listening address, which only one
// process can hold, keeps a second agent from giving orders to an engine that
// does not check fences.
func (c *activationController) nextFence() external.Fence {
	snapshot, _ := blackboard.Read(c.node.Board, node.SnapshotKey)
	c.sequence++
	return external.Fence{Revision: snapshot.Version, Incarnation: c.node.Incarnation(), Sequence: c.sequence}
}

func (c *activationController) give(ctx context.Context, order external.Order) error {
	order.Fence = c.nextFence()
	c.node.Log.Log(logging.OrderSent, zap.String("action", string(order.Action)), zap.String("model", order.Model), zap.String("version", order.Version))
	return c.engine.Execute(ctx, order)
}

// activate loads a version beside the old one, probes it, and admits requests.
func (c *activationController) activate(ctx context.Context, version StagedVersion) {
	order := external.Order{Action: external.ActionLoad, Model: version.Model, Version: version.Version, Adapters: c.adaptersOf(version)}
	for _, chunk := range version.Manifest.Chunks {
		order.Chunks = append(order.Chunks, chunk.Digest)
	}
	err := c.give(ctx, order)
	if err == nil {
		err = c.probe(ctx, version)
	}
	var rejected *fault.OrderRejected
	if errors.As(err, &rejected) {
		c.refuse(version, rejected.Reason)
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

// probeTokens is the length of a probe's answer.
const probeTokens = 2

// probe makes the engine answer with the fresh version before callers do.
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

// probePriority lets a probe pass waiting requests.
const probePriority = 9

func (c *activationController) refuse(version StagedVersion, reason string) {
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
	c.served = slices.DeleteFunc(c.served, func(s served) bool { return s.digest == version.Digest })
	c.served = append(c.served, served{
		ServedVersion: protocol.ServedVersion{Model: version.Model, Version: version.Version, Adapters: adapters},
		digest:        version.Digest,
		since:         now,
	})
	c.node.Log.Log(logging.VersionLive, zap.String("model", version.Model), zap.String("version", version.Version))
	c.publish()
}

// retire unloads versions that were replaced, or whose model has moved away,
// after their last request.
func (c *activationController) retire(ctx context.Context) {
	for _, version := range c.retirable() {
		if c.gate.openOn(version.Model, version.Version) > 0 {
			continue
		}
		order := external.Order{Action: external.ActionUnload, Model: version.Model, Version: version.Version}
		if c.give(ctx, order) != nil {
			continue
		}
		c.onRetired(ctx, c.forgetServed(version))
	}
}

// forgetServed drops an unloaded version and returns the manifests whose chunks
// are still needed.
func (c *activationController) forgetServed(version served) []weights.Digest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.served = slices.DeleteFunc(c.served, func(s served) bool { return s.digest == version.digest && s.removed })
	c.previous[version.Model] = version.digest
	var kept []weights.Digest
	for _, remaining := range c.served {
		kept = append(kept, remaining.digest)
	}
	for _, digest := range c.previous {
		kept = append(kept, digest)
	}
	return kept
}

// retirable marks versions whose grace has passed as removed, so that nothing
// new is admitted to them, and returns them.
func (c *activationController) retirable() []served {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.retireUnassigned()
	var result []served
	changed := false
	for i := range c.served {
		version := &c.served[i]
		if !version.Retiring || time.Since(version.since) < c.options.RetireGrace {
			continue
		}
		if !version.removed && c.gate.openOn(version.Model, version.Version) > 0 {
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

// retireUnassigned retires models that the configuration or the membership list
// has moved away from this machine; the mutex is held.
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
