package rollout

import (
	"time"

	"pinevane.example/pinevane/coordination/dissemination"
)

// request is a machine's request for a chunk at a source; from is nil for the origin.
type request struct {
	from  *machine
	to    *machine
	chunk int
	// height is the number of levels of machines that wait for the chunk behind the receiver.
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

// canSend reports whether a machine's link is free to send. A link carries one transfer
// at a time in each direction, at its full rate.
func (s *simulation) canSend(m *machine) bool {
	return !m.dead && !m.sending && (s.options.Duplex != DuplexHalf || !m.receiving)
}

// canReceive reports whether a machine's link is free to receive.
func (s *simulation) canReceive(m *machine) bool {
	return !m.dead && !m.receiving && (s.options.Duplex != DuplexHalf || !m.sending)
}

// moreUrgent reports whether transfer a comes before b while both wait for a link.
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

// matchReceiver starts the most urgent transfer that waits for this receiver and whose
// sender is free.
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

func remove(list []*request, target *request) []*request {
	for i, candidate := range list {
		if candidate == target {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// startTransfer occupies both ends for the duration of a transfer.
func (s *simulation) startTransfer(transfer *request) {
	transfer.to.awaiting = remove(transfer.to.awaiting, transfer)
	duration := slot + time.Duration(s.random.Float64()*maxJitter*float64(slot))
	corrupt := s.random.Float64() < s.options.Corrupt
	if transfer.from == nil {
		transfer.to.receiving = true
		s.originSending++
		s.originSent++
		s.After(duration, func() { s.endTransfer(transfer, corrupt) })
		return
	}
	transfer.from.sending = true
	transfer.to.receiving = true
	s.After(duration, func() { s.endTransfer(transfer, corrupt) })
}

func (s *simulation) endTransfer(transfer *request, corrupt bool) {
	transfer.to.receiving = false
	if transfer.from == nil {
		s.originSending--
	} else {
		transfer.from.sending = false
	}
	switch {
	case transfer.to.dead:
	case transfer.from != nil && !s.reachable(transfer.to, transfer.from):
		s.fail(transfer, stallWindow, dissemination.Unreachable)
	case transfer.from != nil && transfer.from.stalled:
		s.fail(transfer, stallWindow, dissemination.Stalled)
	case corrupt && !s.options.SkipVerification:
		s.fail(transfer, 0, dissemination.Corrupted)
	default:
		s.deliver(transfer, corrupt)
	}
	if transfer.from == nil {
		s.matchOrigin()
	} else {
		s.matchSender(transfer.from)
		s.matchReceiver(transfer.from)
	}
	s.matchReceiver(transfer.to)
	s.matchSender(transfer.to)
}

func (s *simulation) deliver(transfer *request, corrupt bool) {
	source := dissemination.MachineID("")
	if transfer.from != nil {
		source = transfer.from.ID
		s.countCrossings(transfer)
	}
	if transfer.to.fetcher.Holds(transfer.chunk) {
		s.result.Duplicates++
	}
	// A copy is correct if the source's copy was and the transfer did not corrupt it.
	transfer.to.correct[transfer.chunk] = !corrupt && (transfer.from == nil || transfer.from.correct[transfer.chunk])
	transfer.to.fetcher.RecordFetched(source, transfer.chunk, s.Now())
	s.executeActions(transfer.to)
	if transfer.to.fetcher.Missing() == 0 && transfer.to.complete < 0 {
		transfer.to.complete = s.Now()
		s.completed++
	}
}

func (s *simulation) countCrossings(transfer *request) {
	if transfer.from.Zone != transfer.to.Zone {
		s.zoneCrossings++
	}
	if transfer.from.Region != transfer.to.Region {
		s.regionCrossings++
	}
}

func (s *simulation) fail(transfer *request, delay time.Duration, reason dissemination.FailureReason) {
	transfer.to.awaiting = remove(transfer.to.awaiting, transfer)
	source := dissemination.MachineID("")
	if transfer.from != nil {
		source = transfer.from.ID
	}
	s.After(delay, func() { s.reportFailure(transfer, source, reason) })
}

var reasonNames = map[dissemination.FailureReason]string{
	dissemination.Unreachable: "unreachable",
	dissemination.Stalled:     "stalled",
	dissemination.Corrupted:   "corrupt",
	dissemination.NotHeld:     "not-held",
}

func (s *simulation) reportFailure(transfer *request, source dissemination.MachineID, reason dissemination.FailureReason) {
	if transfer.to.dead {
		return
	}
	s.result.Failed[reasonNames[reason]]++
	transfer.to.fetcher.RecordFetchFailure(source, transfer.chunk, reason, s.Now())
	s.executeActions(transfer.to)
}
