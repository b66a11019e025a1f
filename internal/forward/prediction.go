package forward

import (
	"math"
	"time"

	"pinevane.example/pinevane/coordination/balance"
)

// load is what is known of the server's work now.
func (k *target) load(wanted need, now time.Time) balance.Load {
	if wanted.engine == nil {
		return balance.Load{Running: k.inFlight}
	}
	load := balance.Load{Running: k.inFlight - k.unread, Waiting: k.unread, Unread: float64(k.unreadTokens)}
	if !k.current(now) {
		return load
	}
	othersWaiting := max(0, k.status.Waiting-k.unreadThen)
	load.Waiting += othersWaiting
	if k.status.UnreadTokens > 0 {
		load.Unread += max(0, float64(k.status.UnreadTokens-k.unreadTokensThen))
	} else {
		load.Unread += float64(othersWaiting) * wanted.figures.UsualPrompt
	}
	load.Running = max(0, k.outstanding(now)-load.Waiting)
	load.Pace = k.status.Pace
	if now.Sub(k.answeredAt) >= answerCurrent {
		k.addUnseen(&load, wanted)
	}
	return load
}

// addUnseen adds what other entries may have sent since the agent's word: as much each
// as this one has. A server that has just become idle draws all entries at the same
// time, and none sees the others' requests before the next word.
func (k *target) addUnseen(load *balance.Load, wanted need) {
	weight := wanted.rules().UnseenLoad * float64(wanted.others)
	if weight == 0 {
		return
	}
	count, tokens := 0, 0
	for _, one := range k.unbegun {
		if one.sentAt.After(k.statusAt) {
			count++
			tokens += one.prompt
		}
	}
	load.Waiting += int(math.Round(weight * float64(count)))
	load.Unread += weight * float64(tokens)
}

// answerCurrent is the age up to which an agent's answer to a question shows what all
// entries have sent: in it, one of the questions of others reaches a busy server.
const answerCurrent = 20 * time.Millisecond

// model describes the server to the predictions.
func (k *target) model(wanted need) balance.Server {
	if wanted.engine == nil {
		return balance.Server{Slots: max(1, k.server.Slots), WholeMilliseconds: max(k.meanMilliseconds, leastMilliseconds)}
	}
	server := wanted.figures
	if k.server.Slots > 0 {
		server.Slots = k.server.Slots
	}
	return server
}

// leastMilliseconds is assumed of a plain server that has answered nothing yet.
const leastMilliseconds = 20

// firstEvent predicts when the server would begin the request: what its load
// says, and how much later than that it has lately begun others.
func (k *target) firstEvent(wanted need, now time.Time) time.Duration {
	late := time.Duration(wanted.rules().Lateness * float64(k.lateness(now)))
	if k.current(now) {
		late = max(late, k.linkTime())
	}
	return k.model(wanted).FirstEvent(k.load(wanted, now), wanted.prompt) + late
}

// linkTime is how long a message over the server's link and back takes, by its
// agent's word.
func (k *target) linkTime() time.Duration {
	return time.Duration(k.status.LinkMilliseconds) * time.Millisecond
}

// Lateness of servers.
const (
	// latenessGrace is the lateness that the prediction's own error explains.
	latenessGrace = 150 * time.Millisecond
	// latenessHalfLife is the time in which half of a past lateness is forgotten.
	latenessHalfLife = 1500 * time.Millisecond
	latenessWeight   = 0.4
)

// lateness is how much later than predicted the server begins requests: the
// longest delay of one that is still waited for, or the faded mean of past ones.
func (k *target) lateness(now time.Time) time.Duration {
	late := time.Duration(k.fadedExcess(now))
	for _, one := range k.unbegun {
		late = max(late, now.Sub(one.due))
	}
	if late < latenessGrace {
		return 0
	}
	return late
}

// fadedExcess is what is left of the past lateness, in nanoseconds.
func (k *target) fadedExcess(now time.Time) float64 {
	if k.excessAt.IsZero() {
		return 0
	}
	return float64(k.excess) * math.Exp2(-float64(now.Sub(k.excessAt))/float64(latenessHalfLife))
}

// noteBegun takes a request off those whose first event is waited for; the mutex
// is held.
func (k *target) noteBegun(w *work, now time.Time) {
	request, waited := k.unbegun[w]
	if !waited {
		return
	}
	delete(k.unbegun, w)
	past := k.fadedExcess(now)
	k.excess = time.Duration((1-latenessWeight)*past + latenessWeight*float64(max(0, now.Sub(request.due))))
	k.excessAt = now
}
