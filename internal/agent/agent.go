// Package agent implements the process that runs on each back-end machine. It
// transfers weights to the machine, is the only sender of orders to the
// machine's engine, and admits every request to that engine or plain service.
package agent

import (
	"context"
	"time"

	"pinevane.example/pinevane/internal/blackboard"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/node"
	"pinevane.example/pinevane/internal/protocol"
)

// The blackboard entries of an agent.
var (
	// RolloutKey holds the transfer progress of the weights assigned to this machine.
	RolloutKey = blackboard.NewKey[[]RolloutProgress]("weights.rollouts")
	// StagedKey lists versions whose weights are complete in the store.
	StagedKey = blackboard.NewKey[[]StagedVersion]("weights.staged")
	// ServedKey lists the versions that requests are admitted to.
	ServedKey = blackboard.NewKey[[]protocol.ServedVersion]("engine.served")
	// EngineKey holds the engine's latest status report.
	EngineKey = blackboard.NewKey[external.EngineStatus]("engine.status")
	// RefusedKey lists versions that were refused on this machine.
	RefusedKey = blackboard.NewKey[[]RefusedVersion]("engine.refused")
)

// Options configures an agent.
type Options struct {
	Node node.Options
	// Service is the name of the plain service behind the agent; it is empty for an engine.
	Service string
	// BackEndAddress is the engine's or the plain service's address.
	BackEndAddress string
	// StoreAddress is the address of the machine's weight store.
	StoreAddress string
	// OriginAddress is the address of the weight origin.
	OriginAddress string
	// ModelSlots is the number of models that the engine can hold.
	ModelSlots int
	// MaximumOpen limits the attempts that run concurrently.
	MaximumOpen int
	// LinkBytesPerSecond is the bandwidth of the machine's link; weights use the
	// fraction of it that the configuration allows. Zero means no limit.
	LinkBytesPerSecond int64
	// StallWindow is the time in which a transfer must make the minimum progress.
	StallWindow time.Duration
	// RepairPatience is how long the agent waits for a missing chunk before it
	// queries other machines.
	RepairPatience time.Duration
	// RetireGrace is the minimum time that an old version stays loaded after its
	// successor became live. It is unloaded once its last request has also ended.
	RetireGrace time.Duration
}

func (o Options) applyDefaults() Options {
	if o.ModelSlots == 0 {
		o.ModelSlots = 2
	}
	if o.MaximumOpen == 0 {
		o.MaximumOpen = 512
	}
	if o.StallWindow == 0 {
		o.StallWindow = 2 * time.Second
	}
	if o.RepairPatience == 0 {
		o.RepairPatience = time.Second
	}
	if o.RetireGrace == 0 {
		o.RetireGrace = 5 * time.Second
	}
	return o
}

// Agent is an agent process with its controllers.
type Agent struct {
	options   Options
	node      *node.Node
	gate      *gate
	status    *statusController
	weights   *weightsController
	activator *activationController
}

// New creates an agent; Run starts it.
func New(options Options, log *logging.Logger) *Agent {
	options = options.applyDefaults()
	base := node.New(options.Node, log)
	agent := &Agent{options: options, node: base}
	agent.status = newStatusController(base, options.Service)
	if options.Service != "" {
		agent.gate = newGate(base, options, nil, external.NewHTTPService(options.BackEndAddress))
	} else {
		engine := external.NewHTTPEngine(options.BackEndAddress)
		agent.gate = newGate(base, options, engine, nil)
		agent.weights = newWeightsController(base, options)
		agent.activator = newActivationController(base, options, engine, agent.gate)
		agent.activator.onRetired = agent.weights.collectGarbage
	}
	agent.status.openCount = agent.gate.openCount
	base.SetOpenCount(agent.gate.openCount)
	base.OnLeave(agent.status.sendAll)
	return agent
}

// Node returns the node that the agent runs on.
func (a *Agent) Node() *node.Node { return a.node }

// Run serves until stop is closed and open requests have finished.
func (a *Agent) Run(stop <-chan struct{}) error {
	controllers := []func(context.Context){a.status.run}
	if a.weights != nil {
		controllers = append(controllers, a.weights.run, a.activator.run)
	}
	return a.node.Run(stop, controllers...)
}
