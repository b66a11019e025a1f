package soak

import (
	"fmt"
	"time"

	"pinevane.example/pinevane/internal/emulator/site"
)

// crossingTime is how long after the last byte of a request its connection may end because the stopping entry had
// closed it before it read the request. It is the platform's allowance for a close and a request that cross
// each other.
const crossingTime = 200 * time.Millisecond

// excuse is why a request may end with neither an answer nor a refusal.
type excuse string

// The excuses. Servers that pause are none: they are sound and go on.
const (
	noExcuse     excuse = ""
	deadlinePast excuse = "its deadline had passed"
	entryKilled  excuse = "its entry was killed"
	closeCrossed excuse = "it crossed the close of its connection"
	serverBroke  excuse = "its server broke off"
	graceOver    excuse = "its server was at work when its entry's grace period ended"
	notSentWhole excuse = "it was not sent as a whole"
)

var excuses = []excuse{deadlinePast, entryKilled, closeCrossed, serverBroke, graceOver, notSentWhole}

// endedWithout reports whether the request has ended with neither an answer nor a refusal. What ends with a status
// and a complete body is either, whatever the status.
func (a Attempt) endedWithout() bool { return a.Status == 0 || !a.Complete }

// excuseOf returns why a request could end with neither an answer nor a refusal.
func (r Record) excuseOf(attempt Attempt, runs []site.Run, arrived bool) excuse {
	last, ran := lastRun(attempt, runs)
	switch {
	case attempt.Written.IsZero() && !arrived:
		return notSentWhole
	case attempt.reachedDeadline():
		return deadlinePast
	case r.entryKilled(attempt):
		return entryKilled
	case r.crossedClose(attempt, arrived):
		return closeCrossed
	case ran && r.serverBrokeOff(attempt, last):
		return serverBroke
	case ran && r.graceEnded(attempt):
		return graceOver
	}
	return noExcuse
}

// checkUnanswered checks that a request which an entry could read as a whole has ended with an answer or a refusal.
func (r Record) checkUnanswered(attempt Attempt, runs []site.Run, arrived bool) []Violation {
	if !attempt.endedWithout() || r.excuseOf(attempt, runs, arrived) != noExcuse {
		return nil
	}
	detail := fmt.Sprintf("%s ended it %s after it was sent, with status %d", attempt.Entry, attempt.Ended.Sub(attempt.Sent).Round(time.Millisecond), attempt.Status)
	if last, ran := lastRun(attempt, runs); ran {
		detail += fmt.Sprintf("; it last began at %s, %s before", last.Server, attempt.Ended.Sub(last.At).Round(time.Millisecond))
	}
	return []Violation{{Guarantee: EveryRequestEnds, At: attempt.Ended, Request: attempt.ID, Detail: detail}}
}

// excused counts the requests of the record that ended with neither an answer nor a refusal, by their excuses.
func (r Record) excused() map[excuse]int {
	runs, arrived := r.runsByRequest(), r.arrivedIDs()
	counts := map[excuse]int{}
	for _, attempt := range r.Attempts {
		if attempt.endedWithout() {
			counts[r.excuseOf(attempt, runs[attempt.ID], arrived[attempt.ID])]++
		}
	}
	return counts
}

// lastRun returns the last execution of a request that began before the request ended.
func lastRun(attempt Attempt, runs []site.Run) (site.Run, bool) {
	var last site.Run
	for _, run := range runs {
		if run.At.Before(attempt.Ended) && !run.At.Before(last.At) {
			last = run
		}
	}
	return last, !last.At.IsZero()
}

// reachedDeadline reports whether the request's own deadline had passed when it ended. After it the caller has no use
// for an answer, and a stream that is under way can end only by the close of its connection. The caller's clock
// runs from before the request was sent, so that an entry which ends it at the deadline never does so earlier
// than this.
func (a Attempt) reachedDeadline() bool { return !a.Ended.Before(a.Deadline) }

// entryKilled reports whether the request's entry was killed while the request was open. The kernel closes the
// connections of a killed process, which the process can't prevent. An entry that was suspended is no excuse: its
// connections stay open, and it goes on where it stopped.
func (r Record) entryKilled(attempt Attempt) bool {
	for _, kill := range r.Kills {
		if kill.Name == attempt.Entry && kill.includes(attempt.Sent, attempt.Ended) {
			return true
		}
	}
	return false
}

// includes reports whether the interval overlaps the period between two times, without a margin.
func (s Interval) includes(from, to time.Time) bool { return !s.From.After(to) && !s.To.Before(from) }

// crossedClose reports whether the request crossed the close of its connection by an entry that was told to stop:
// no byte of an answer came, no server received the request, and the connection ended at once. Such an entry
// closes idle connections, and in the end its listener with what it has not accepted, before it has read a byte
// of what is still on its way. At any other time entries close only connections that were idle for longer than callers
// usually leave them, which is no excuse here.
func (r Record) crossedClose(attempt Attempt, arrived bool) bool {
	if attempt.Status != 0 || arrived || attempt.Ended.Sub(attempt.Written) > crossingTime {
		return false
	}
	for _, stop := range r.Stops {
		if stop.Name == attempt.Entry && stop.includes(attempt.Written, attempt.Ended) {
			return true
		}
	}
	return false
}

// serverBrokeOff reports whether the server at which the request last ran crashed or cut connections before the
// request ended. With a part of the answer sent, the entry can then only continue it elsewhere or close the
// connection. Only the last run counts: if it was continued on a sound server, what the former one did
// excuses nothing. Nor does it excuse a request without any answer, for which the entry can still report an
// error.
func (r Record) serverBrokeOff(attempt Attempt, last site.Run) bool {
	if attempt.Status == 0 {
		return false
	}
	for _, broken := range r.BreakOffs {
		if broken.Name == last.Server && broken.includes(last.At, attempt.Ended) {
			return true
		}
	}
	for _, crash := range r.Crashes {
		// The crash is recorded when it is complete, shortly after connections begin to close.
		crashed := Interval{From: crash.At.Add(-slack), To: crash.At}
		if crash.Server == last.Server && crashed.includes(last.At, attempt.Ended) {
			return true
		}
	}
	return false
}

// Bounds of what a stopping entry must end in its grace period.
const (
	// stopTakesRequests is how long after its stop signal requests that are sent to an entry count as sent before
	// the platform could know of it.
	stopTakesRequests = 3 * time.Second
	// graceEndShare is the last part of the grace period, in which an entry ends what is still open.
	graceEndShare = 6
)

// graceEnded reports whether the request was sent to its entry before or shortly after the stop signal, a part of its answer had been
// sent, and the rest was missing in the last part of the grace period. The entry has to exit then, and an answer that has begun
// can't be turned into a refusal. It is no excuse for a request without any answer, which can still be refused, nor for
// one that was sent later, which the entry need not take.
func (r Record) graceEnded(attempt Attempt) bool {
	for _, stop := range r.Stops {
		ending := stop.From.Add(r.Grace - r.Grace/graceEndShare)
		sentInTime := attempt.Sent.Before(stop.From.Add(stopTakesRequests)) && attempt.Ended.After(stop.From)
		if stop.Name == attempt.Entry && attempt.Status != 0 && sentInTime && attempt.Ended.After(ending) && !attempt.Ended.After(stop.From.Add(r.Grace)) {
			return true
		}
	}
	return false
}

// arrivedIDs returns the IDs of the requests that reached a server.
func (r Record) arrivedIDs() map[string]bool {
	arrived := make(map[string]bool, len(r.Arrivals))
	for _, arrival := range r.Arrivals {
		arrived[arrival.RequestID] = true
	}
	return arrived
}
