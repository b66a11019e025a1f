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
)

// Periods and bounds of the view of back ends.
const (
	// statusSilence is the silence after which a back end gets no new work.
	statusSilence = 5 * time.Second
	// redialPeriod is how often lost links are dialled again, with jitter.
	redialPeriod = time.Second
	// ejectAfter is how many failures in a row eject a back end.
	ejectAfter = 3
	// ejectTime is how long an ejected back end gets no new work.
	ejectTime = 5 * time.Second
	// maximumEjectedShare caps the share of back ends that are ejected at once.
	maximumEjectedShare = 0.5
	// ownZoneFactor multiplies the subset in the entry's own zone.
	ownZoneFactor = 8
)

// replica is one back end as this entry sees it.
type replica struct {
	member external.Member

	// The fields below are guarded by the set's mutex.
	link        *peering.Link
	session     protocol.Session
	sequence    uint64
	status      protocol.StatusReport
	statusAt    time.Time
	inFlight    int
	failures    int
	ejectedTill time.Time
	readySince  time.Time
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

// replicaSet keeps links to a subset of the agents and their last statuses.
type replicaSet struct {
	node    *node.Node
	options Options

	mutex    sync.Mutex
	replicas map[string]*replica
	byLink   map[*peering.Link]*replica
	pending  map[attempt.ID]chan protocol.Event
	inquired map[attempt.ID]chan protocol.Resolved
}

func newReplicaSet(base *node.Node, options Options) *replicaSet {
	set := &replicaSet{
		node: base, options: options,
		replicas: map[string]*replica{},
		byLink:   map[*peering.Link]*replica{},
		pending:  map[attempt.ID]chan protocol.Event{},
		inquired: map[attempt.ID]chan protocol.Resolved{},
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
		timer := time.NewTimer(redialPeriod/2 + rand.N(redialPeriod))
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

// reconcile takes over the membership list. A back end that the list has
// dropped stays while its link lives: the list may lag or be wrong.
func (s *replicaSet) reconcile() {
	members, listed := blackboard.Read(s.node.Board, node.MembersKey)
	if !listed {
		return
	}
	wanted := s.subset(members)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, member := range wanted {
		existing, known := s.replicas[id]
		if !known {
			s.replicas[id] = &replica{member: member}
			continue
		}
		existing.member.Leaving = member.Leaving
		if existing.member.Address != member.Address {
			s.drop(existing)
			s.replicas[id] = &replica{member: member}
		}
	}
	for id, existing := range s.replicas {
		if _, kept := wanted[id]; !kept && existing.link == nil {
			delete(s.replicas, id)
		}
	}
}

// drop closes a replica's link; the mutex is held.
func (s *replicaSet) drop(existing *replica) {
	if existing.link != nil {
		link := existing.link
		delete(s.byLink, link)
		existing.link = nil
		go func() { _ = link.Close() }()
	}
}

// servicePool is the most back ends of one plain service that entries use. It
// is the same set for every entry, so that they agree on a key's home.
const servicePool = 64

// subset picks the agents that this entry keeps links to: of the engines more in
// its own zone and some in every other, of each plain service one common pool.
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
	wanted := map[string]external.Member{}
	for zone, ids := range engines {
		count := s.options.SubsetPerZone
		if zone == s.node.Zone() {
			count *= ownZoneFactor
		}
		for _, id := range placement.Top("subset/"+s.node.ID(), ids, count) {
			wanted[id] = byID[id]
		}
	}
	for service, ids := range services {
		for _, id := range placement.Top("service/"+service, ids, servicePool) {
			wanted[id] = byID[id]
		}
	}
	return wanted
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
		s.adopt(target, link)
	}
}

// adopt makes a link the replica's own; the mutex is held.
func (s *replicaSet) adopt(target *replica, link *peering.Link) {
	target.link = link
	s.byLink[link] = target
}

// replicaOf finds the replica of a link, adopting a link whose first message
// comes before dial has returned; the mutex is held.
func (s *replicaSet) replicaOf(link *peering.Link) *replica {
	if known := s.byLink[link]; known != nil {
		return known
	}
	candidate := s.replicas[link.Remote().ID]
	if candidate == nil || candidate.link != nil || link.Address() != candidate.member.Address {
		return nil
	}
	s.adopt(candidate, link)
	return candidate
}

func (s *replicaSet) handleSession(link *peering.Link, received *message.Message) {
	session, err := peering.Decode[protocol.Session](received)
	if err != nil {
		s.rejected(link, err)
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
		s.rejected(link, err)
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
		s.rejected(link, err)
		return
	}
	s.mutex.Lock()
	channel := s.pending[event.ID]
	if channel != nil {
		// The channel holds a whole answer, so that this never blocks; a peer that
		// sends more than was asked for loses the surplus.
		select {
		case channel <- event:
		default:
		}
	}
	s.mutex.Unlock()
}

func (s *replicaSet) handleResolved(link *peering.Link, received *message.Message) {
	resolved, err := peering.Decode[protocol.Resolved](received)
	if err != nil {
		s.rejected(link, err)
		return
	}
	s.mutex.Lock()
	channel := s.inquired[resolved.ID]
	s.mutex.Unlock()
	if channel != nil {
		select {
		case channel <- resolved:
		default:
		}
	}
}

func (s *replicaSet) rejected(link *peering.Link, err error) {
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

// submit sends an attempt to a replica. The returned channel gets its events.
// An error is proof that nothing was sent.
func (s *replicaSet) submit(target *replica, work protocol.Submit, depth int) (*flight, error) {
	s.mutex.Lock()
	link := target.link
	if link == nil || target.session.Session == 0 {
		s.mutex.Unlock()
		return nil, fault.NotRun(fault.ReasonLinkLost, "no link to the back end")
	}
	target.sequence++
	work.ID = attempt.ID{Incarnation: target.session.Incarnation, Session: target.session.Session, Sequence: target.sequence}
	events := make(chan protocol.Event, depth)
	s.pending[work.ID] = events
	target.inFlight++
	s.mutex.Unlock()
	started := &flight{set: s, target: target, link: link, id: work.ID, events: events}
	// When the send fails the frame may still have left: the flight's events
	// then end with the loss of the link, and the outcome is inquired.
	_ = peering.Send(link, protocol.TopicSubmit, work.RequestID, work)
	return started, nil
}

// flight is one attempt under way at a back end.
type flight struct {
	set    *replicaSet
	target *replica
	link   *peering.Link
	id     attempt.ID
	events chan protocol.Event
}

// cancel asks the back end to stop the attempt.
func (f *flight) cancel() {
	_ = peering.Send(f.link, protocol.TopicCancel, "", protocol.AttemptRef{ID: f.id})
}

// end forgets the attempt and notes whether the back end did well.
func (f *flight) end(good bool) {
	f.set.mutex.Lock()
	defer f.set.mutex.Unlock()
	delete(f.set.pending, f.id)
	f.target.inFlight--
	if good {
		f.target.failures = 0
		return
	}
	f.target.failures++
	if f.target.failures >= ejectAfter && f.set.mayEject() {
		f.target.ejectedTill = time.Now().Add(ejectTime)
		f.target.failures = 0
	}
}

// mayEject keeps the share of ejected back ends under its cap; the mutex is held.
func (s *replicaSet) mayEject() bool {
	now := time.Now()
	ejected := 0
	for _, existing := range s.replicas {
		if now.Before(existing.ejectedTill) {
			ejected++
		}
	}
	return float64(ejected+1) <= maximumEjectedShare*float64(len(s.replicas))
}

// Periods of inquiries.
const (
	inquiryTimeout = 3 * time.Second
	inquiryPause   = 100 * time.Millisecond
)

// inquire asks a back end, over a new link, what became of an attempt whose
// link was lost. Unknown means that the back end could not be asked or does not
// remember.
func (f *flight) inquire(ctx context.Context) protocol.Resolved {
	unknown := protocol.Resolved{ID: f.id, Outcome: attempt.Unknown}
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	answers := make(chan protocol.Resolved, 1)
	f.set.mutex.Lock()
	f.set.inquired[f.id] = answers
	f.set.mutex.Unlock()
	defer func() {
		f.set.mutex.Lock()
		delete(f.set.inquired, f.id)
		f.set.mutex.Unlock()
	}()
	for ctx.Err() == nil {
		link, err := f.set.node.Hub.Link(ctx, f.target.member.Address)
		if err == nil && link.Remote().Incarnation != f.id.Incarnation {
			return unknown
		}
		if err == nil {
			_ = peering.Send(link, protocol.TopicInquire, "", protocol.AttemptRef{ID: f.id})
		}
		select {
		case resolved := <-answers:
			if resolved.Outcome != attempt.Running {
				return resolved
			}
		case <-time.After(inquiryPause):
		case <-ctx.Done():
		}
	}
	return unknown
}

// publish writes the view of back ends to the blackboard.
func (s *replicaSet) publish() {
	s.mutex.Lock()
	views := make([]ReplicaView, 0, len(s.replicas))
	now := time.Now()
	for id, existing := range s.replicas {
		views = append(views, ReplicaView{
			ID: id, Zone: existing.member.Zone, Linked: existing.link != nil,
			Status: existing.status, InFlight: existing.inFlight, Ejected: now.Before(existing.ejectedTill),
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
