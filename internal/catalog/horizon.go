package catalog

import "time"

// watermark is the latest moment up to which a copy is known to hold every change that the store
// has made, unless the store has withheld a change because it is about to lose its history. A
// change that the copy lacks was made after it. The zero value is an unknown moment.
type watermark struct {
	at time.Time
}

// advance moves the watermark forward; it never goes back.
func (w *watermark) advance(to time.Time) {
	if to.After(w.at) {
		w.at = to
	}
}

// minus returns the watermark less a margin of uncertainty.
func (w watermark) minus(margin time.Duration) watermark {
	if w.at.IsZero() {
		return w
	}
	return watermark{at: w.at.Add(-margin)}
}

// atLeast returns the watermark, or a moment if that is later. An unknown watermark stays unknown.
func (w watermark) atLeast(moment time.Time) watermark {
	if !w.at.IsZero() {
		w.advance(moment)
	}
	return w
}

// maxAge returns the maximum time since a change that the copy has lacked until now; false if
// nothing bounds it.
func (w watermark) maxAge(now time.Time) (time.Duration, bool) {
	if w.at.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(w.at)), true
}

// storeCall is an answered call to the store.
type storeCall struct {
	// sentAt is when the call began, before its connection was made.
	sentAt time.Time
	// receivedAt is when the complete answer had arrived.
	receivedAt time.Time
	// wait is how long the store was to wait for a change, 0 for a listing.
	wait time.Duration
	// changes is the number of changes in the answer.
	changes int
}

// completeUntil returns the latest moment up to which the answer certainly shows every change. The
// store read its data after the call was sent; the transit time of the call is unknown. A watch
// that ended without a change waited at the store for its whole time, unless it returned earlier.
// This is wrong by at most the transit time of the answer, if the store ended the watch early and
// the answer was slow; counting each watch from its sending would make every version appear another
// 0.5 s older.
func (s storeCall) completeUntil() time.Time {
	waited := s.sentAt.Add(s.wait)
	if s.changes == 0 && !s.receivedAt.Before(waited) {
		return waited
	}
	return s.sentAt
}

// peerAge is an age that a peer sent.
type peerAge struct {
	// age is the age when the peer sent the message.
	age time.Duration
	// flight is the maximum transit time of the message; flightKnown is false if nothing bounds it.
	flight      time.Duration
	flightKnown bool
	// received is when the message arrived. It may be processed later: messages are queued, and
	// the process may be paused.
	received time.Time
}

// earliest returns the earliest moment that the message allows; false if it does not bound it.
func (a peerAge) earliest() (time.Time, bool) {
	return a.received.Add(-a.age - a.flight), a.flightKnown
}

// ageOfReceived returns the maximum age of a change that was just received from a peer. Both the
// peer's age and the local watermark bound it, and the tighter bound counts. If neither does, the
// process has only just started: it assumes that the message arrived instantly, and false is
// returned.
func ageOfReceived(reported peerAge, known watermark, now time.Time) (age time.Duration, bounded bool) {
	since, peerBounded := reported.earliest()
	byPeer := now.Sub(since)
	byWatermark, watermarkBounded := known.maxAge(now)
	switch {
	case peerBounded && watermarkBounded:
		return min(byPeer, byWatermark), true
	case watermarkBounded:
		return max(byPeer, byWatermark), true
	}
	return byPeer, peerBounded
}

// peerStamps measures the maximum transit time of a peer's messages: the peer echoes the newest
// stamp of this process that it has received, and for how long it has held it.
type peerStamps struct {
	// newest is the newest stamp of the peer, receivedAt its time of arrival.
	newest     int64
	receivedAt time.Time
}

// record stores the peer's newest stamp.
func (s *peerStamps) record(stamp int64, now time.Time) {
	if stamp > s.newest {
		s.newest, s.receivedAt = stamp, now
	}
}

// echo returns what is sent back to the peer: its stamp, and for how long it was held.
func (s peerStamps) echo(now time.Time) (stamp, heldMilliseconds int64) {
	if s.newest == 0 {
		return 0, 0
	}
	return s.newest, now.Sub(s.receivedAt).Milliseconds()
}

// stampAt returns this process's stamp of a moment: the Unix time in milliseconds at its start,
// plus the milliseconds since, plus 1. No stamp of a former incarnation is one of the present
// incarnation.
func stampAt(started, now time.Time) int64 {
	return started.UnixMilli() + now.Sub(started).Milliseconds() + 1
}

// maxFlight returns the maximum transit time of a message with an echo; false unless the echo is a
// stamp that this incarnation of the process can have given by now. Both times are rounded to
// milliseconds towards a longer flight.
func maxFlight(started time.Time, echo, heldMilliseconds int64, now time.Time) (time.Duration, bool) {
	if echo <= started.UnixMilli() || echo > stampAt(started, now) {
		return 0, false
	}
	sent := started.Add(time.Duration(echo-1-started.UnixMilli()) * time.Millisecond)
	return max(0, now.Sub(sent)-time.Duration(heldMilliseconds)*time.Millisecond), true
}
