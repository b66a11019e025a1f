package catalog

import "time"

// watermark is the latest moment up to which a copy is known to hold every change that the
// store has made, unless the store has told nothing of a change because it is about to forget
// its history. A change that the copy lacks was made after it. The zero value knows of no such
// moment.
type watermark struct {
	at time.Time
}

// advance moves the horizon on; it never goes back by it.
func (h *watermark) advance(to time.Time) {
	if to.After(h.at) {
		h.at = to
	}
}

// minus is the horizon less a time by which it is in doubt.
func (h watermark) minus(doubt time.Duration) watermark {
	if h.at.IsZero() {
		return h
	}
	return watermark{at: h.at.Add(-doubt)}
}

// atLeast is the horizon, or a later moment where there is one; a horizon that knows of no
// moment stays so.
func (h watermark) atLeast(moment time.Time) watermark {
	if !h.at.IsZero() {
		h.advance(moment)
	}
	return h
}

// maxAge is the longest time since a change that the copy has lacked until now; false when
// nothing bounds it.
func (h watermark) maxAge(now time.Time) (time.Duration, bool) {
	if h.at.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(h.at)), true
}

// storeCall is an answered call to the store.
type storeCall struct {
	// sentAt is when the call began, before a connection for it was made.
	sentAt time.Time
	// receivedAt is when the whole answer was here.
	receivedAt time.Time
	// wait is how long the store was to wait for a change; 0 for a listing.
	wait time.Duration
	// changes is how many changes the answer held.
	changes int
}

// completeUntil is the latest moment up to which the answer surely shows every change. The
// store has looked after the call was sent; how long the call was on its way is not known. A
// watch that ended without a change has waited at the store for its whole time, unless it
// came back earlier. That is wrong by the answer's way, at the most, where the store ended the
// watch early and the answer was slow; to count each watch from its sending would make every
// version appear 0.5 s older still.
func (s storeCall) completeUntil() time.Time {
	waited := s.sentAt.Add(s.wait)
	if s.changes == 0 && !s.receivedAt.Before(waited) {
		return waited
	}
	return s.sentAt
}

// peerAge is what a peer says of the age of something.
type peerAge struct {
	// age is what the peer said when it sent the word.
	age time.Duration
	// flight is the longest time that the word can have been on its way; flightKnown is
	// false when nothing bounds that.
	flight      time.Duration
	flightKnown bool
	// receivedAt is when the word was here. It may be acted on later: its message waits for
	// others, and the process may be paused.
	receivedAt time.Time
}

// earliest is the earliest moment that a word allows; false when the word does not bound it.
func (w peerAge) earliest() (time.Time, bool) {
	return w.receivedAt.Add(-w.age - w.flight), w.flightKnown
}

// ageOfReceived is the longest age of a change that a copy has just heard of by a peer's word: the
// peer's account and the own horizon bound it both, and the tighter one counts. Where neither
// does, the process has only just started: it takes the word as if it had come at once, and
// false is returned.
func ageOfReceived(told peerAge, known watermark, now time.Time) (age time.Duration, bounded bool) {
	since, worded := told.earliest()
	byWord := now.Sub(since)
	byHorizon, horizoned := known.maxAge(now)
	switch {
	case worded && horizoned:
		return min(byWord, byHorizon), true
	case horizoned:
		return max(byWord, byHorizon), true
	}
	return byWord, worded
}

// peerStamps measures the longest time that a message of a peer can have been on its way: the
// peer returns the newest stamp of this process that it has seen, and for how long it has held
// it.
type peerStamps struct {
	// newest is the newest stamp of the peer, heardAt when it came.
	newest     int64
	receivedAt time.Time
}

// record keeps the peer's newest stamp.
func (s *peerStamps) record(stamp int64, now time.Time) {
	if stamp > s.newest {
		s.newest, s.receivedAt = stamp, now
	}
}

// echo is what goes back to the peer: its stamp, and for how long it was held.
func (s peerStamps) echo(now time.Time) (stamp, heldMilliseconds int64) {
	if s.newest == 0 {
		return 0, 0
	}
	return s.newest, now.Sub(s.receivedAt).Milliseconds()
}

// stampAt is this process's stamp of a moment: the milliseconds since it started, from 1 on, after
// those of the clock at its start, so that no stamp of a former life is one of this life.
func stampAt(started, now time.Time) int64 {
	return started.UnixMilli() + now.Sub(started).Milliseconds() + 1
}

// maxFlight is the longest time that a message with an echo can have been on its way; false
// without an echo of a stamp that this life of the process has given by now. Both times are cut to
// milliseconds towards a longer flight.
func maxFlight(started time.Time, echo, heldMilliseconds int64, now time.Time) (time.Duration, bool) {
	if echo <= started.UnixMilli() || echo > stampAt(started, now) {
		return 0, false
	}
	sent := started.Add(time.Duration(echo-1-started.UnixMilli()) * time.Millisecond)
	return max(0, now.Sub(sent)-time.Duration(heldMilliseconds)*time.Millisecond), true
}
