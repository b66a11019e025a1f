package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/attempt"
	"pinevane.example/pinevane/coordination/placement"
	"pinevane.example/pinevane/internal/blackboard"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/node"
	"pinevane.example/pinevane/internal/peering"
	"pinevane.example/pinevane/internal/protocol"
	"pinevane.example/pinevane/internal/waiting"
)

// Intervals and limits of the replica set.
const (
	// statusTimeout is the time without a status report after which a back end gets no new requests.
	statusTimeout = 5 * time.Second
	// redialInterval is the mean interval at which lost links are redialled. It has jitter.
	redialInterval = time.Second
	// ejectionThreshold is how many consecutive failures eject a back end.
	ejectionThreshold = 3
	// ejectionDuration is how long an ejected back end gets no new requests.
	ejectionDuration = 5 * time.Second
	// maxEjectedRatio bounds the ratio of back ends that are ejected at once.
	maxEjectedRatio = 0.5
	// ownZoneFactor multiplies the size of the subset in the entry's own zone.
	ownZoneFactor = 8
)

// replica is the entry's state of one back end.
type replica struct {
	member external.Member

	// The fields below are guarded by the set's mutex.
	link         *peering.Link
	session      protocol.Session
	sequence     uint64
	status       protocol.StatusReport
	statusAt     time.Time
	inFlight     int
	failures     int
	ejectedUntil time.Time
	readySince   time.Time
}

// ReplicaView is one line of the state dump.
type ReplicaView struct {
	ID       string                `json:"id"`
	Zone     string                `json:"zone"`
	Linked   bool                  `json:"linked"`
	Status   protocol.StatusReport `json:"status"`
	InFlight int                   `json:"in_flight"`
	Ejected  bool                  `json:"ejected"`
}

// replicaSet keeps links to a subset of the agents, and their last status reports.
type replicaSet struct {
	node    *node.Node
	options Options

	mutex     sync.Mutex
	replicas  map[string]*replica
	byLink    map[*peering.Link]*replica
	pending   map[attempt.ID]chan protocol.Event
	inquiries map[attempt.ID]chan protocol.Resolved
}

func newReplicaSet(base *node.Node, options Options) *replicaSet {
	set := &replicaSet{
		node: base, options: options,
		replicas:  map[string]*replica{},
		byLink:    map[*peering.Link]*replica{},
		pending:   map[attempt.ID]chan protocol.Event{},
		inquiries: map[attempt.ID]chan protocol.Resolved{},
	}
	base.Hub.Handle(protocol.TopicSession, set.handleSession)
	base.Hub.Handle(protocol.TopicStatus, set.handleStatus)
	base.Hub.Handle(protocol.TopicEvent, set.handleEvent)
	base.Hub.Handle(protocol.TopicResolved, set.handleResolved)
	base.Hub.OnLost(set.linkLost)
	return set
}

func (s *replicaSet) run(ctx context.Context) {
	changed := s.node.Board.Watch(ctx, node.MembersKey.Name())
	for {
		s.reconcile()
		s.dialMissing(ctx)
		s.publish()
		timer := time.NewTimer(redialInterval/2 + rand.N(redialInterval))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// reconcile applies the membership list. A back end that was removed from the list stays while its
// link is up, since the list may be stale or wrong.
func (s *replicaSet) reconcile() {
	members, listed := blackboard.Read(s.node.Board, node.MembersKey)
	if !listed {
		return
	}
	subset := s.subset(members)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, member := range subset {
		existing, known := s.replicas[id]
		if !known {
			s.replicas[id] = &replica{member: member}
			continue
		}
		existing.member.Leaving = member.Leaving
		if existing.member.Address != member.Address {
			s.closeLink(existing)
			s.replicas[id] = &replica{member: member}
		}
	}
	for id, existing := range s.replicas {
		if _, kept := subset[id]; !kept && existing.link == nil {
			delete(s.replicas, id)
		}
	}
}

// closeLink closes a replica's link. The mutex must be held.
func (s *replicaSet) closeLink(existing *replica) {
	if existing.link != nil {
		link := existing.link
		delete(s.byLink, link)
		existing.link = nil
		go func() { _ = link.Close() }()
	}
}

// servicePoolSize bounds the back ends of one plain service that entries use. Every entry uses the
// same ones, so that all agree on the owner of an idempotency key.
const servicePoolSize = 64

// subset picks the agents that this entry keeps links to: for engines, more in its own zone than in
// every other zone; for each plain service, a pool that is the same for all entries.
func (s *replicaSet) subset(members []external.Member) map[string]external.Member {
	engines := map[string][]string{}
	services := map[string][]string{}
	byID := map[string]external.Member{}
	for _, member := range members {
		if member.Role != external.RoleAgent {
			continue
		}
		byID[member.ID] = member
		if member.Service != "" {
			services[member.Service] = append(services[member.Service], member.ID)
			continue
		}
		engines[member.Zone] = append(engines[member.Zone], member.ID)
	}
	subset := map[string]external.Member{}
	for zone, ids := range engines {
		count := s.options.SubsetPerZone
		if zone == s.node.Zone() {
			count *= ownZoneFactor
		}
		for _, id := range placement.Top("subset/"+s.node.ID(), ids, count) {
			subset[id] = byID[id]
		}
	}
	for service, ids := range services {
		for _, id := range placement.Top("service/"+service, ids, servicePoolSize) {
			subset[id] = byID[id]
		}
	}
	return subset
}

func (s *replicaSet) dialMissing(ctx context.Context) {
	s.mutex.Lock()
	var missing []*replica
	for _, existing := range s.replicas {
		if existing.link == nil {
			missing = append(missing, existing)
		}
	}
	s.mutex.Unlock()
	for _, existing := range missing {
		go s.dial(ctx, existing)
	}
}

func (s *replicaSet) dial(ctx context.Context, target *replica) {
	link, err := s.node.Hub.Link(ctx, target.member.Address)
	if err != nil || link.Remote().ID != target.member.ID {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.replicas[target.member.ID] == target && target.link == nil {
		s.assignLink(target, link)
	}
}

// assignLink sets a replica's link. The mutex must be held.
func (s *replicaSet) assignLink(target *replica, link *peering.Link) {
	target.link = link
	s.byLink[link] = target
}

// replicaOf returns the replica of a link, and assigns the link if its first message arrives before
// dial has returned. The mutex must be held.
func (s *replicaSet) replicaOf(link *peering.Link) *replica {
	if known := s.byLink[link]; known != nil {
		return known
	}
	candidate := s.replicas[link.Remote().ID]
	if candidate == nil || candidate.link != nil || link.Address() != candidate.member.Address {
		return nil
	}
	s.assignLink(candidate, link)
	return candidate
}

func (s *replicaSet) handleSession(link *peering.Link, received *message.Message) {
	session, err := peering.Decode[protocol.Session](received)
	if err != nil {
		s.logRejected(link, err)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if target := s.replicaOf(link); target != nil {
		target.session, target.sequence = session, 0
	}
}

func (s *replicaSet) handleStatus(link *peering.Link, received *message.Message) {
	status, err := peering.Decode[protocol.StatusReport](received)
	if err != nil {
		s.logRejected(link, err)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	target := s.replicaOf(link)
	if target == nil {
		return
	}
	if target.statusAt.IsZero() {
		target.readySince = time.Now()
	}
	target.status, target.statusAt = status, time.Now()
}

func (s *replicaSet) handleEvent(link *peering.Link, received *message.Message) {
	event, err := peering.Decode[protocol.Event](received)
	if err != nil {
		s.logRejected(link, err)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	channel := s.pending[event.ID]
	if channel == nil {
		return
	}
	// This must not block. Events that exceed the channel's capacity are dropped: those of a peer that
	// sends more than was requested, and of an answer that the caller reads too slowly. The end of the
	// channel tells the reader.
	select {
	case channel <- event:
	default:
		close(channel)
		delete(s.pending, event.ID)
	}
}

func (s *replicaSet) handleResolved(link *peering.Link, received *message.Message) {
	resolved, err := peering.Decode[protocol.Resolved](received)
	if err != nil {
		s.logRejected(link, err)
		return
	}
	s.mutex.Lock()
	channel := s.inquiries[resolved.ID]
	s.mutex.Unlock()
	if channel != nil {
		select {
		case channel <- resolved:
		default:
		}
	}
}

func (s *replicaSet) logRejected(link *peering.Link, err error) {
	s.node.Log.Log(logging.FrameRejected, zap.String("peer", link.Remote().ID), zap.Error(err))
}

func (s *replicaSet) linkLost(link *peering.Link) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	target := s.byLink[link]
	if target == nil {
		return
	}
	delete(s.byLink, link)
	target.link = nil
	target.session = protocol.Session{}
	target.statusAt = time.Time{}
}

// submit sends an attempt to a replica and returns it with a channel for its events. An error means
// that nothing was sent.
func (s *replicaSet) submit(target *replica, work protocol.Submit, bufferSize int) (*runningAttempt, error) {
	s.mutex.Lock()
	link := target.link
	if link == nil || target.session.Session == 0 {
		s.mutex.Unlock()
		return nil, fault.NotRun(fault.ReasonLinkLost, "no link to the back end")
	}
	target.sequence++
	work.ID = attempt.ID{Incarnation: target.session.Incarnation, Session: target.session.Session, Sequence: target.sequence}
	events := make(chan protocol.Event, bufferSize)
	s.pending[work.ID] = events
	target.inFlight++
	s.mutex.Unlock()
	started := &runningAttempt{set: s, target: target, link: link, id: work.ID, events: events}
	// If the send fails the frame may still have been sent. The link is then lost, and the
	// attempt's outcome is inquired.
	_ = peering.Send(link, protocol.TopicSubmit, work.RequestID, work)
	return started, nil
}

// runningAttempt is an attempt that was submitted to a back end and has not ended.
type runningAttempt struct {
	set    *replicaSet
	target *replica
	link   *peering.Link
	id     attempt.ID
	// events is closed before its last event if the events did not fit.
	events chan protocol.Event
	// ended is guarded by the set's mutex.
	ended bool
}

// cancel asks the back end to stop the attempt.
func (r *runningAttempt) cancel() {
	_ = peering.Send(r.link, protocol.TopicCancel, "", protocol.AttemptRef{ID: r.id})
}

// end removes the attempt and records whether the back end succeeded. Consecutive failures eject it.
// Only the first call counts.
func (r *runningAttempt) end(succeeded bool) {
	r.set.mutex.Lock()
	defer r.set.mutex.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	delete(r.set.pending, r.id)
	r.target.inFlight--
	if succeeded {
		r.target.failures = 0
		return
	}
	r.target.failures++
	if r.target.failures >= ejectionThreshold && r.set.mayEject() {
		r.target.ejectedUntil = time.Now().Add(ejectionDuration)
		r.target.failures = 0
	}
}

// abandon cancels an attempt that has not ended when its handler returns, which only a panic causes.
func (r *runningAttempt) abandon() {
	r.set.mutex.Lock()
	ended := r.ended
	r.set.mutex.Unlock()
	if !ended {
		r.cancel()
		r.end(true)
	}
}

// mayEject reports whether another ejection stays within maxEjectedRatio. The mutex must be
// held.
func (s *replicaSet) mayEject() bool {
	now := time.Now()
	ejected := 0
	for _, existing := range s.replicas {
		if now.Before(existing.ejectedUntil) {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedRatio*float64(len(s.replicas))
}

// Timeout and interval of inquiries.
const (
	// inquiryTimeout bounds the time without an answer to inquiries. While the back end answers that
	// the attempt is running, only the request's deadline bounds the wait.
	inquiryTimeout  = 3 * time.Second
	inquiryInterval = 100 * time.Millisecond
)

// inquire requests the outcome of an attempt, whose link was lost, from its back end over a new link.
// With awaitEnd it waits for the end of an attempt that is running. Unknown means that the back end
// could not be reached or has no record of the attempt.
func (r *runningAttempt) inquire(ctx context.Context, awaitEnd bool) protocol.Resolved {
	answers := make(chan protocol.Resolved, 1)
	r.set.mutex.Lock()
	r.set.inquiries[r.id] = answers
	r.set.mutex.Unlock()
	defer func() {
		r.set.mutex.Lock()
		delete(r.set.inquiries, r.id)
		r.set.mutex.Unlock()
	}()
	deadline := time.Now().Add(inquiryTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) && r.sendInquiry(ctx, deadline) {
		select {
		case resolved := <-answers:
			if resolved.Outcome != attempt.Running || !awaitEnd {
				return resolved
			}
			deadline = time.Now().Add(inquiryTimeout)
			waiting.For(ctx, inquiryInterval)
		case <-time.After(inquiryInterval):
		case <-ctx.Done():
		}
	}
	return protocol.Resolved{ID: r.id, Outcome: attempt.Unknown}
}

// sendInquiry sends an inquiry if there is a link to the back end or one is made before a deadline. It
// returns false if the back end has restarted, and thus has no record of the attempt.
func (r *runningAttempt) sendInquiry(ctx context.Context, deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	link, err := r.set.node.Hub.Link(ctx, r.target.member.Address)
	if err != nil {
		return true
	}
	if link.Remote().Incarnation != r.id.Incarnation {
		return false
	}
	_ = peering.Send(link, protocol.TopicInquire, "", protocol.AttemptRef{ID: r.id})
	return true
}

// publish writes the state of the back ends to the blackboard.
func (s *replicaSet) publish() {
	s.mutex.Lock()
	views := make([]ReplicaView, 0, len(s.replicas))
	now := time.Now()
	for id, existing := range s.replicas {
		views = append(views, ReplicaView{
			ID: id, Zone: existing.member.Zone, Linked: existing.link != nil,
			Status: existing.status, InFlight: existing.inFlight, Ejected: now.Before(existing.ejectedUntil),
		})
	}
	s.mutex.Unlock()
	slices.SortFunc(views, func(a, b ReplicaView) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	blackboard.Write(s.node.Board, ReplicasKey, views)
}
