// Package entry is the process on the entry machines, behind the platform's
// balancer. It takes callers' requests, holds tenants to their limits, routes
// each request to a back end, and retries or resumes where that is safe.
package entry

import (
	"context"
	"time"

	"pinevane.example/pinevane/internal/blackboard"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/node"
)

// ReplicasKey is the blackboard entry that lists the back ends in view.
var ReplicasKey = blackboard.NewKey[[]ReplicaView]("routing.replicas")

// Options are the settings of an entry.
type Options struct {
	Node node.Options
	// DefaultDeadline applies to requests that name none.
	DefaultDeadline time.Duration
	// MaximumDeadline bounds what a request may ask for; long streams need hours.
	MaximumDeadline time.Duration
	// MaximumBodyBytes bounds a request's body.
	MaximumBodyBytes int64
	// MaximumAttempts bounds the attempts at one request.
	MaximumAttempts int
	// Policy chooses among replicas.
	Policy Policy
	// SubsetPerZone is how many agents of each other zone, and how many times
	// eight of the own zone, an entry keeps links to.
	SubsetPerZone int
}

func (o Options) applyDefaults() Options {
	if o.DefaultDeadline == 0 {
		o.DefaultDeadline = time.Minute
	}
	if o.MaximumDeadline == 0 {
		o.MaximumDeadline = 24 * time.Hour
	}
	if o.MaximumBodyBytes == 0 {
		o.MaximumBodyBytes = 1 << 20
	}
	if o.MaximumAttempts == 0 {
		o.MaximumAttempts = 4
	}
	if o.Policy == "" {
		o.Policy = PolicyTwoChoices
	}
	if o.SubsetPerZone == 0 {
		o.SubsetPerZone = 4
	}
	return o
}

// Entry is one entry process.
type Entry struct {
	options  Options
	node     *node.Node
	replicas *replicaSet
	router   *router
	limits   *limiter
	metrics  *metrics
	requests *requestCounter
}

// New builds an entry that is not running yet.
func New(options Options, log *logging.Logger) *Entry {
	options = options.applyDefaults()
	base := node.New(options.Node, log)
	entry := &Entry{
		options:  options,
		node:     base,
		replicas: newReplicaSet(base, options),
		limits:   newLimiter(time.Now),
		metrics:  newMetrics(base.Registry),
		requests: &requestCounter{},
	}
	entry.router = newRouter(entry.replicas, base.Zone(), options.Policy)
	base.SetOpenCount(entry.requests.open)
	base.SetReady(entry.limits.settled)
	entry.handleBorrowing()
	entry.mount(base.Router)
	return entry
}

// Node returns the process's shared part.
func (e *Entry) Node() *node.Node { return e.node }

// Run serves until stop is closed and open work has finished.
func (e *Entry) Run(stop <-chan struct{}) error {
	return e.node.Run(stop, e.replicas.run, e.runLimits, e.runBorrowing)
}

// runLimits keeps the entry's shares of the tenants' limits in step with the
// configuration and the number of entries.
func (e *Entry) runLimits(ctx context.Context) {
	changed := e.node.Board.Watch(ctx, node.SnapshotKey.Name(), node.MembersKey.Name())
	for {
		if snapshot, configured := blackboard.Read(e.node.Board, node.SnapshotKey); configured {
			members, _ := blackboard.Read(e.node.Board, node.MembersKey)
			e.limits.configure(snapshot, countEntries(members))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
