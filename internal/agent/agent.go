// Package agent is the process in the slot of each back-end machine. It brings
// weights to the machine, is the only giver of orders to its engine, and is the
// gate that every request to that engine or plain service passes.
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
	// RolloutKey is the progress of the weights that this machine is to serve.
	RolloutKey = blackboard.NewKey[[]RolloutProgress]("weights.rollouts")
	// StagedKey lists versions whose weights are complete in the store.
	StagedKey = blackboard.NewKey[[]StagedVersion]("weights.staged")
	// ServedKey lists the versions that requests are admitted to.
	ServedKey = blackboard.NewKey[[]protocol.ServedVersion]("engine.served")
	// EngineKey is the engine's last word on itself.
	EngineKey = blackboard.NewKey[external.EngineStatus]("engine.status")
	// RefusedKey lists versions that the engine would not load.
	RefusedKey = blackboard.NewKey[[]RefusedVersion]("engine.refused")
)

// Options are the settings of an agent.
type Options struct {
	Node node.Options
	// Service names the plain service behind the agent; empty for an engine.
	Service string
	// BackEndAddress is the engine's or the plain service's address.
	BackEndAddress string
	// StoreAddress is the machine's weight store.
	StoreAddress string
	// OriginAddress is the weight origin.
	OriginAddress string
	// ModelSlots is how many models the engine has room for.
	ModelSlots int
	// MaximumOpen bounds the attempts that run at once.
	MaximumOpen int
	// LinkBytesPerSecond is the machine's link; weights use the share of it that
	// the configuration allows. Zero means no limit.
	LinkBytesPerSecond int64
	// StallWindow is how long a transfer may go without enough progress.
	StallWindow time.Duration
	// RepairPatience is how long a missing chunk is waited for before other
	// machines are asked.
	RepairPatience time.Duration
	// RetireGrace is how long an old version stays loaded after its successor
	// is live and its last request has ended.
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

// Agent is one agent process.
type Agent struct {
	options   Options
	node      *node.Node
	gate      *gate
	status    *statusController
	weights   *weightsController
	activator *activationController
}

// New builds an agent that is not running yet.
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
	agent.status.openCount = agent.gate.open
	base.SetOpenCount(agent.gate.open)
	base.OnLeave(agent.status.sendAll)
	return agent
}

// Node returns the process's shared part.
func (a *Agent) Node() *node.Node { return a.node }

// Run serves until stop is closed and open work has finished.
func (a *Agent) Run(stop <-chan struct{}) error {
	controllers := []func(context.Context){a.status.run}
	if a.weights != nil {
		controllers = append(controllers, a.weights.run, a.activator.run)
	}
	return a.node.Run(stop, controllers...)
}
