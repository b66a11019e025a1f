package rollout

import (
	"time"

	"pinevane.example/pinevane/coordination/dissemination"
)

// request is a chunk that a machine waits for at a source.
type request struct {
	from  *machine
	to    *machine
	chunk int
	// height is how many levels of machines wait behind the receiver.
	height int
}

// reachable reports whether a message between two machines arrives.
func (s *simulation) reachable(a, b *machine) bool {
	if b == nil || b.dead {
		return false
	}
	const cutZone = "zone-0"
	return !s.partitioned || (a.Zone == cutZone) == (b.Zone == cutZone)
}

func (s *simulation) sendOffer(m *machine, action dissemination.Action) {
	s.result.Messages++
	s.After(controlDelay, func() {
		peer := s.byID[action.Peer]
		if s.reachable(m, peer) {
			peer.fetcher.RecordOffer(m.ID, action.Chunk, s.Now())
			s.executeActions(peer)
			return
		}
		s.After(silenceTimeout, func() {
			m.fetcher.RecordOfferFailure(action.Peer, action.Chunk, s.Now())
			s.executeActions(m)
		})
	})
}

func (s *simulation) sendQuery(m *machine, action dissemination.Action) {
	s.result.Messages++
	s.After(controlDelay, func() {
		peer := s.byID[action.Peer]
		if !s.reachable(m, peer) {
			s.After(silenceTimeout, func() {
				m.fetcher.RecordQueryFailure(action.Peer, action.Chunk, s.Now())
				s.executeActions(m)
			})
			return
		}
		held := peer.fetcher.HandleChunkQuery(m.ID, action.Chunk, len(peer.queue), s.Now())
		s.After(controlDelay, func() {
			age, expected := peer.fetcher.Expects(action.Chunk, s.Now())
			switch {
			case held:
				m.fetcher.RecordOffer(peer.ID, action.Chunk, s.Now())
			case expected:
				m.fetcher.RecordPending(peer.ID, action.Chunk, age, s.Now())
			default:
				m.fetcher.RecordDenial(peer.ID, action.Chunk)
			}
			s.executeActions(m)
		})
	})
}

func (s *simulation) sendFetch(m *machine, action dissemination.Action) {
	wanted := &request{from: s.byID[action.Peer], to: m, chunk: action.Chunk, height: m.fetcher.Height(action.Chunk)}
	s.After(controlDelay, func() {
		if !s.reachable(m, wanted.from) {
			s.After(silenceTimeout, func() { s.reportFailure(wanted, action.Peer, dissemination.Unreachable) })
			return
		}
		if wanted.from.stalled {
			s.fail(wanted, stallWindow, dissemination.Stalled)
			return
		}
		wanted.from.queue = append(wanted.from.queue, wanted)
		m.awaiting = append(m.awaiting, wanted)
		s.matchSender(wanted.from)
	})
}

// canSend reports whether a machine's link is free to send on. A link carries
// one transfer at a time in each direction, at its whole rate.
func (s *simulation) canSend(m *machine) bool {
	return !m.dead && !m.sending && (s.options.Duplex != DuplexHalf || !m.receiving)
}

// canReceive reports whether a machine's link is free to receive on.
func (s *simulation) canReceive(m *machine) bool {
	return !m.dead && !m.receiving && (s.options.Duplex != DuplexHalf || !m.sending)
}

// moreUrgent orders the transfers that wait for a link.
func moreUrgent(a, b *request) bool {
	return dissemination.MoreUrgent(a.height, a.chunk, b.height, b.chunk)
}

// matchSender starts the most urgent waiting transfer whose receiver is free.
func (s *simulation) matchSender(m *machine) {
	if !s.canSend(m) {
		return
	}
	var first *request
	for _, waiting := range m.queue {
		if s.canReceive(waiting.to) && (first == nil || moreUrgent(waiting, first)) {
			first = waiting
		}
	}
	if first != nil {
		m.queue = remove(m.queue, first)
		s.startTransfer(first)
	}
}

// matchReceiver starts a transfer that waits for this machine to be free.
func (s *simulation) matchReceiver(m *machine) {
	if !s.canReceive(m) {
		return
	}
	var first *request
	for _, waiting := range m.awaiting {
		if s.canSend(waiting.from) && (first == nil || moreUrgent(waiting, first)) {
			first = waiting
		}
	}
	if first != nil {
		first.from.queue = remove(first.from.queue, first)
		s.startTransfer(first)
		return
	}
	s.matchOrigin()
}

func (s *simulation) matchOrigin() {
	for i := 0; i < len(s.originQueue) && s.originSending < originSlots; {
		waiting := s.originQueue[i]
		if !s.canReceive(waiting.to) {
			i++
			continue
		}
		s.originQueue = append(s.originQueue[:i], s.originQueue[i+1:]...)
		if !waiting.to.dead {
			s.startTransfer(waiting)
		}
	}
}

func remove(list []*request, gone *request) []*request {
	for i, candidate := range list {
		if candidate == gone {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// startTransfer occupies both ends for the time of a transfer.
func (s *simulation) startTransfer(started *request) {
	started.to.awaiting = remove(started.to.awaiting, started)
	duration := slot + time.Duration(s.random.Float64()*maxJitter*float64(slot))
	corrupt := s.random.Float64() < s.options.Corrupt
	if started.from == nil {
		started.to.receiving = true
		s.originSending++
		s.originSent++
		s.After(duration, func() { s.endTransfer(started, corrupt) })
		return
	}
	started.from.sending = true
	started.to.receiving = true
	s.After(duration, func() { s.endTransfer(started, corrupt) })
}

func (s *simulation) endTransfer(ended *request, corrupt bool) {
	ended.to.receiving = false
	if ended.from == nil {
		s.originSending--
	} else {
		ended.from.sending = false
	}
	switch {
	case ended.to.dead:
	case ended.from != nil && !s.reachable(ended.to, ended.from):
		s.fail(ended, stallWindow, dissemination.Unreachable)
	case ended.from != nil && ended.from.stalled:
		s.fail(ended, stallWindow, dissemination.Stalled)
	case corrupt && !s.options.SkipVerification:
		s.fail(ended, 0, dissemination.Corrupted)
	default:
		s.deliver(ended, corrupt)
	}
	if ended.from == nil {
		s.matchOrigin()
	} else {
		s.matchSender(ended.from)
		s.matchReceiver(ended.from)
	}
	s.matchReceiver(ended.to)
	s.matchSender(ended.to)
}

func (s *simulation) deliver(ended *request, corrupt bool) {
	source := dissemination.MachineID("")
	if ended.from != nil {
		source = ended.from.ID
		s.countCrossings(ended)
	}
	if ended.to.fetcher.Holds(ended.chunk) {
		s.result.Duplicates++
	}
	// A copy is right when its source's copy was and nothing happened on the way.
	ended.to.correct[ended.chunk] = !corrupt && (ended.from == nil || ended.from.correct[ended.chunk])
	ended.to.fetcher.RecordFetched(source, ended.chunk, s.Now())
	s.executeActions(ended.to)
	if ended.to.fetcher.Missing() == 0 && ended.to.complete < 0 {
		ended.to.complete = s.Now()
		s.completed++
	}
}

func (s *simulation) countCrossings(ended *request) {
	if ended.from.Zone != ended.to.Zone {
		s.zoneCrossings++
	}
	if ended.from.Region != ended.to.Region {
		s.regionCrossings++
	}
}

func (s *simulation) fail(failed *request, delay time.Duration, reason dissemination.FailureReason) {
	failed.to.awaiting = remove(failed.to.awaiting, failed)
	source := dissemination.MachineID("")
	if failed.from != nil {
		source = failed.from.ID
	}
	s.After(delay, func() { s.reportFailure(failed, source, reason) })
}

var reasonNames = map[dissemination.FailureReason]string{
	dissemination.Unreachable: "unreachable",
	dissemination.Stalled:     "stalled",
	dissemination.Corrupted:   "corrupt",
	dissemination.NotHeld:     "not-held",
}

func (s *simulation) reportFailure(failed *request, source dissemination.MachineID, reason dissemination.FailureReason) {
	if failed.to.dead {
		return
	}
	s.result.Failed[reasonNames[reason]]++
	failed.to.fetcher.RecordFetchFailure(source, failed.chunk, reason, s.Now())
	s.executeActions(failed.to)
}
