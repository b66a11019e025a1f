package relay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/compression"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
	"pinevane.example/pinevane/internal/waiting"
)

// RelaysPerZone is how many processes of a zone watch the platform.
const RelaysPerZone = 3

// Options configures a Relay.
type Options struct {
	SelfID string
	Zone   string
	// Seeds are addresses of peers to follow if the platform can't be read at start.
	Seeds        []string
	Publications map[Kind]external.Publication
	Hub          *peering.Hub
	Log          *logging.Logger
	// OnChange is called with each new state of a publication, in order.
	OnChange func(kind Kind, version monotonic.Version, documents map[string][]byte)
	// HeartbeatInterval is the interval of heartbeats to followers.
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long a follower waits for traffic from its upstream before it drops the
	// link.
	SilenceTimeout time.Duration
	// WatchTimeout is how long a watch waits at the platform.
	WatchTimeout time.Duration
	// StartJitter bounds the random delay before the first read of the platform.
	StartJitter time.Duration
}

func (o Options) applyDefaults() Options {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = 2 * time.Second
	}
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = 5 * time.Second
	}
	if o.WatchTimeout == 0 {
		o.WatchTimeout = 25 * time.Second
	}
	return o
}

// Relay holds and forwards the publications of one process.
type Relay struct {
	options Options

	mutex     sync.Mutex
	feeds     map[Kind]*monotonic.Feed
	members   []external.Member
	followers map[*peering.Link]*follower
	// upstream is the link that this process follows, if any.
	upstream *peering.Link
	// direct is set while this process watches the platform.
	direct bool
	// skipped counts the candidates that failed since the last success.
	skipped       int
	failedAt      map[Kind]time.Time
	readAt        map[Kind]time.Time
	directChanged chan struct{}
	// notify serializes OnChange.
	notify sync.Mutex
}

type follower struct {
	sent  map[Kind]monotonic.Version
	dirty chan struct{}
}

// New returns a relay and registers its handlers with the hub.
func New(options Options) *Relay {
	relay := &Relay{
		options:       options.applyDefaults(),
		feeds:         map[Kind]*monotonic.Feed{},
		followers:     map[*peering.Link]*follower{},
		failedAt:      map[Kind]time.Time{},
		readAt:        map[Kind]time.Time{},
		directChanged: make(chan struct{}),
	}
	for _, kind := range Kinds {
		relay.feeds[kind] = monotonic.NewFeed()
		options.Hub.Handle(string(kind)+topicUpdateSuffix, relay.updateHandler(kind))
	}
	options.Hub.Handle(topicFollow, relay.handleFollow)
	options.Hub.Handle(topicHeartbeat, func(*peering.Link, *message.Message) {})
	options.Hub.OnLost(relay.linkLost)
	return relay
}

// Status is the relay's section of a state dump.
type Status struct {
	Direct    bool   `json:"direct"`
	Upstream  string `json:"upstream,omitempty"`
	Followers int    `json:"followers"`
	// ReadAgeSeconds is the time since the platform last answered a watch.
	ReadAgeSeconds map[Kind]float64           `json:"read_age_seconds,omitempty"`
	Versions       map[Kind]monotonic.Version `json:"versions"`
}

// Status returns the relay's present role and versions.
func (r *Relay) Status() Status {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	status := Status{
		Direct: r.direct, Followers: len(r.followers),
		Versions: map[Kind]monotonic.Version{}, ReadAgeSeconds: map[Kind]float64{},
	}
	if r.upstream != nil {
		status.Upstream = r.upstream.Remote().ID
	}
	for kind, feed := range r.feeds {
		status.Versions[kind] = feed.Version()
	}
	for kind, at := range r.readAt {
		status.ReadAgeSeconds[kind] = time.Since(at).Seconds()
	}
	return status
}

// Version returns the held version of a publication.
func (r *Relay) Version(kind Kind) monotonic.Version {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.feeds[kind].Version()
}

// Run keeps the publications up to date until the context ends.
func (r *Relay) Run(ctx context.Context) {
	var work sync.WaitGroup
	if r.options.StartJitter > 0 && !waiting.For(ctx, rand.N(r.options.StartJitter)) {
		return
	}
	r.readOnce(ctx, Membership)
	for _, kind := range Kinds {
		work.Go(func() { r.watch(ctx, kind) })
	}
	work.Go(func() { r.supervise(ctx) })
	work.Wait()
}

// readOnce reads a publication without waiting for a change.
func (r *Relay) readOnce(ctx context.Context, kind Kind) {
	update, newer, err := r.options.Publications[kind].Watch(ctx, r.Version(kind), 0)
	r.recordRead(kind, err)
	if err == nil && newer {
		r.apply(kind, update)
	}
}

func (r *Relay) recordRead(kind Kind, err error) {
	r.mutex.Lock()
	_, failing := r.failedAt[kind]
	if err == nil {
		delete(r.failedAt, kind)
		r.readAt[kind] = time.Now()
	} else if !failing {
		r.failedAt[kind] = time.Now()
	}
	r.mutex.Unlock()
	if err != nil && !failing {
		r.options.Log.Log(logging.ServiceUnreachable, zap.String("publication", string(kind)), zap.Error(err))
	}
}

// watchRetry is the delay after a failed watch; up to as much jitter is added.
const watchRetry = time.Second

// watch watches the platform while this process is a direct reader.
func (r *Relay) watch(ctx context.Context, kind Kind) {
	for ctx.Err() == nil {
		if !r.waitDirect(ctx) {
			return
		}
		update, newer, err := r.options.Publications[kind].Watch(ctx, r.Version(kind), r.options.WatchTimeout)
		if ctx.Err() != nil {
			return
		}
		r.recordRead(kind, err)
		if err != nil {
			waiting.For(ctx, watchRetry+rand.N(watchRetry))
			continue
		}
		if newer {
			r.apply(kind, update)
		}
	}
}

// sendHeartbeats sends a heartbeat to each follower.
func (r *Relay) sendHeartbeats() {
	r.mutex.Lock()
	links := make([]*peering.Link, 0, len(r.followers))
	for link := range r.followers {
		links = append(links, link)
	}
	r.mutex.Unlock()
	for _, link := range links {
		// A failed send closes the link, which linkLost handles.
		_ = peering.Send(link, topicHeartbeat, "", heartbeat{})
	}
}

func (r *Relay) handleFollow(link *peering.Link, received *message.Message) {
	request, err := peering.Decode[follow](received)
	if err != nil {
		r.options.Log.Log(logging.FrameRejected, zap.Error(err))
		return
	}
	r.mutex.Lock()
	current, exists := r.followers[link]
	if !exists {
		current = &follower{dirty: make(chan struct{}, 1)}
		r.followers[link] = current
		go r.push(link, current)
	}
	current.sent = map[Kind]monotonic.Version{Configuration: request.Configuration, Membership: request.Membership}
	current.markDirty()
	r.mutex.Unlock()
}

// markDirty requests a push. The caller holds the relay's mutex.
func (f *follower) markDirty() {
	select {
	case f.dirty <- struct{}{}:
	default:
	}
}

// push sends a follower the updates it lacks after each change. Each follower has its own
// goroutine, so a slow one delays no others.
func (r *Relay) push(link *peering.Link, to *follower) {
	for range to.dirty {
		for _, kind := range Kinds {
			r.mutex.Lock()
			update, newer := r.feeds[kind].Since(to.sent[kind])
			if newer {
				to.sent[kind] = update.Version
			}
			r.mutex.Unlock()
			if !newer {
				continue
			}
			payload, err := compression.Encode(update)
			if err != nil {
				continue
			}
			if link.Publish(string(kind)+topicUpdateSuffix, message.NewMessage("", payload)) != nil {
				return
			}
		}
	}
}

func (r *Relay) updateHandler(kind Kind) peering.Handler {
	return func(link *peering.Link, received *message.Message) {
		update, err := compression.Decode[monotonic.Update](received.Payload)
		if err != nil {
			r.options.Log.Log(logging.FrameRejected, zap.Error(err))
			return
		}
		if r.apply(kind, update) != monotonic.Gap {
			return
		}
		r.mutex.Lock()
		request := follow{Configuration: r.feeds[Configuration].Version(), Membership: r.feeds[Membership].Version()}
		r.mutex.Unlock()
		_ = peering.Send(link, topicFollow, "", request)
	}
}

func (r *Relay) apply(kind Kind, update monotonic.Update) monotonic.Outcome {
	r.notify.Lock()
	defer r.notify.Unlock()
	r.mutex.Lock()
	outcome := r.feeds[kind].Apply(update)
	version := r.feeds[kind].Version()
	var documents map[string][]byte
	if outcome == monotonic.Applied {
		documents = r.feeds[kind].Documents()
		for _, current := range r.followers {
			current.markDirty()
		}
	}
	r.mutex.Unlock()
	switch outcome {
	case monotonic.Applied:
		if kind == Membership {
			r.setMembers(documents)
		}
		r.options.OnChange(kind, version, documents)
	case monotonic.Stale:
		if update.Version.Compare(version) < 0 {
			r.options.Log.Log(logging.SnapshotStale, zap.String("publication", string(kind)),
				zap.Stringer("offered", update.Version), zap.Stringer("current", version))
		}
	}
	return outcome
}

func (r *Relay) setMembers(documents map[string][]byte) {
	members := DecodeMembers(documents)
	r.mutex.Lock()
	r.members = members
	r.mutex.Unlock()
}

// DecodeMembers decodes a membership list, skipping malformed entries.
func DecodeMembers(documents map[string][]byte) []external.Member {
	members := make([]external.Member, 0, len(documents))
	for _, data := range documents {
		var member external.Member
		if json.Unmarshal(data, &member) == nil && member.ID != "" {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b external.Member) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	return members
}
