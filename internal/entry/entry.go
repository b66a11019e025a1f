// Package entry is the process on the entry machines, behind the platform's load balancer. It
// accepts callers' requests, enforces tenants' limits, routes each request to a back end, and
// retries or resumes it where that is safe.
package entry

import (
	"context"
	"time"

	"pinevane.example/pinevane/internal/blackboard"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/node"
)

// ReplicasKey is the blackboard key of the back ends that the entry knows.
var ReplicasKey = blackboard.NewKey[[]ReplicaView]("routing.replicas")

// Options configures an entry.
type Options struct {
	Node node.Options
	// DefaultDeadline applies to requests without a deadline.
	DefaultDeadline time.Duration
	// MaximumDeadline bounds the deadline that a request may set. Long streams need hours.
	MaximumDeadline time.Duration
	// MaximumBodyBytes bounds the size of a request's body.
	MaximumBodyBytes int64
	// MaximumAttempts bounds the number of attempts per request.
	MaximumAttempts int
	// Policy is the load balancing policy.
	Policy Policy
	// SubsetPerZone is the number of agents per zone that an entry keeps links to. In its own zone
	// it keeps links to eight times as many.
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
	// graceOver ends when the requests that are still open are to be refused.
	graceOver context.Context
}

// New returns an entry that is not running yet.
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
	graceOver, refuseOpen := context.WithCancel(context.Background())
	entry.graceOver = graceOver
	base.OnGraceOver(refuseOpen)
	entry.router = newRouter(entry.replicas, base.Zone(), options.Policy)
	base.SetOpenCount(entry.requests.open)
	base.SetReady(entry.limits.ready)
	entry.handleBorrowing()
	entry.mountRoutes(base.Router)
	return entry
}

// Node returns the part of the process that entries and agents have in common.
func (e *Entry) Node() *node.Node { return e.node }

// Run serves requests until stop is closed and the open requests have ended.
func (e *Entry) Run(stop <-chan struct{}) error {
	return e.node.Run(stop, e.replicas.run, e.runLimits, e.runBorrowing)
}

// runLimits updates the entry's shares of the tenants' limits when the configuration or the number
// of entries changes.
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
