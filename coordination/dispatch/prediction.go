package dispatch

import (
	"math"
	"time"

	"pinevane.example/pinevane/coordination/balance"
)

// load is what is known of the server's work now.
func (c *Core) load(k *Candidate, request *Request, now time.Time) balance.Load {
	own := &k.sends
	if request.Engine == nil {
		return balance.Load{Running: own.inFlight}
	}
	load := balance.Load{Running: own.inFlight - own.unread, Waiting: own.unread, Unread: float64(own.unreadTokens)}
	if !k.word.current(now) {
		return load
	}
	if !k.word.Reachable {
		return c.assumed(load, request)
	}
	word := &k.word
	othersWaiting := max(0, word.Waiting-word.seen.unread)
	load.Waiting += othersWaiting
	if word.UnreadTokens > 0 {
		load.Unread += max(0, float64(word.UnreadTokens-word.seen.unreadTokens))
	} else {
		load.Unread += float64(othersWaiting) * request.Figures.TypicalPrompt
	}
	load.Running = max(0, k.outstanding(now)-load.Waiting)
	load.Pace = word.Pace
	if now.Sub(word.answeredAt) >= answerCurrent {
		c.addUnseen(&load, k, request)
	}
	return load
}

// assumed is the load of a server that its agent does not reach: what that has counted is from before,
// and each other entry is taken to have as much there as this one.
func (c *Core) assumed(own balance.Load, request *Request) balance.Load {
	factor := 1 + c.policy.UnseenLoad*float64(request.Others)
	own.Running = int(math.Round(factor * float64(own.Running)))
	own.Waiting = int(math.Round(factor * float64(own.Waiting)))
	own.Unread *= factor
	return own
}

// addUnseen adds what other entries may have sent since the agent's word: as much each
// as this one has. A server that has just become idle draws all entries at the same
// time, and none sees the others' requests before the next word.
func (c *Core) addUnseen(load *balance.Load, k *Candidate, request *Request) {
	weight := c.policy.UnseenLoad * float64(request.Others)
	if weight == 0 {
		return
	}
	count, tokens := 0, 0
	for _, one := range k.sends.unbegun {
		if one.sentAt.After(k.word.at) {
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
func (k *Candidate) model(request *Request) balance.Server {
	if request.Engine == nil {
		return balance.Server{Slots: max(1, k.listing.server.Slots), RequestMilliseconds: max(k.answers.meanMilliseconds, leastMilliseconds)}
	}
	server := request.Figures
	if k.listing.server.Slots > 0 {
		server.Slots = k.listing.server.Slots
	}
	return server
}

// leastMilliseconds is assumed of a plain server that has answered nothing yet.
const leastMilliseconds = 20

// firstEvent predicts when the server would begin the request: what its load
// says, and how much later than that it has lately begun others.
func (c *Core) firstEvent(k *Candidate, request *Request, now time.Time) time.Duration {
	return c.byLoad(k, request, now) + c.delay(k, now)
}

// wait predicts how long the server would have the request wait for others: by its load, and by how late it has lately
// begun them.
func (c *Core) wait(k *Candidate, request *Request, now time.Time) time.Duration {
	return k.model(request).Wait(c.load(k, request, now)) + c.delay(k, now)
}

// byLoad is when the server would begin the request by its load alone.
func (c *Core) byLoad(k *Candidate, request *Request, now time.Time) time.Duration {
	return k.model(request).TimeToFirstEvent(c.load(k, request, now), request.Prompt)
}

// delay is how much later than that the server has lately begun others, or the time of its link.
func (c *Core) delay(k *Candidate, now time.Time) time.Duration {
	late := time.Duration(c.policy.Lateness * float64(k.lateBy(now)))
	if k.word.current(now) {
		late = max(late, k.word.Link)
	}
	return late
}
