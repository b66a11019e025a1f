package dispatch

import (
	"math"
	"time"

	"pinevane.example/pinevane/coordination/balance"
)

// load estimates the server's current load.
func (c *Core) load(k *Candidate, request *Request, now time.Time) balance.Load {
	own := &k.sends
	if request.Engine == nil {
		return balance.Load{Running: own.inFlight}
	}
	load := balance.Load{Running: own.inFlight - own.unread, Waiting: own.unread, Unread: float64(own.unreadTokens)}
	if !k.report.current(now) {
		return load
	}
	if !k.report.Reachable {
		return c.assumedLoad(load, request)
	}
	report := &k.report
	othersWaiting := max(0, report.Waiting-report.ownCounts.unread)
	load.Waiting += othersWaiting
	if report.UnreadTokens > 0 {
		load.Unread += max(0, float64(report.UnreadTokens-report.ownCounts.unreadTokens))
	} else {
		load.Unread += float64(othersWaiting) * request.Figures.TypicalPrompt
	}
	load.Running = max(0, k.outstanding(now)-load.Waiting)
	load.Pace = report.Pace
	if now.Sub(report.repliedAt) >= replyTTL {
		c.addUnseen(&load, k, request)
	}
	return load
}

// assumedLoad estimates the load of a server that its agent cannot reach: the agent's counts are outdated, so
// each other entry is assumed to have as many requests there as this one.
func (c *Core) assumedLoad(own balance.Load, request *Request) balance.Load {
	factor := 1 + c.policy.UnseenLoad*float64(request.OtherEntries)
	own.Running = int(math.Round(factor * float64(own.Running)))
	own.Waiting = int(math.Round(factor * float64(own.Waiting)))
	own.Unread *= factor
	return own
}

// addUnseen adds the load that other entries may have sent since the agent's report, assuming as much from
// each as from this one. A server that has just become idle attracts all entries at once, and none sees the
// others' requests before the next report.
func (c *Core) addUnseen(load *balance.Load, k *Candidate, request *Request) {
	weight := c.policy.UnseenLoad * float64(request.OtherEntries)
	if weight == 0 {
		return
	}
	requests, tokens := 0, 0
	for _, send := range k.sends.pending {
		if send.sentAt.After(k.report.at) {
			requests++
			tokens += send.prompt
		}
	}
	load.Waiting += int(math.Round(weight * float64(requests)))
	load.Unread += weight * float64(tokens)
}

// replyTTL is the maximum age at which an agent's reply to a load query still covers what all entries have
// sent: within it, a busy server gets one query of the others.
const replyTTL = 20 * time.Millisecond

// model returns the server's figures for predictions.
func (k *Candidate) model(request *Request) balance.Server {
	if request.Engine == nil {
		return balance.Server{Slots: max(1, k.listing.server.Slots), RequestMilliseconds: max(k.answerTimes.meanMilliseconds, minMilliseconds)}
	}
	server := request.Figures
	if k.listing.server.Slots > 0 {
		server.Slots = k.listing.server.Slots
	}
	return server
}

// minMilliseconds is assumed for a plain server without any answer yet.
const minMilliseconds = 20

// timeToFirstEvent predicts when the server would begin the request: by its load, plus its recent lateness.
func (c *Core) timeToFirstEvent(k *Candidate, request *Request, now time.Time) time.Duration {
	return c.startByLoad(k, request, now) + c.startDelay(k, now)
}

// wait predicts how long the request would queue at the server: by its load, plus its recent lateness.
func (c *Core) wait(k *Candidate, request *Request, now time.Time) time.Duration {
	return k.model(request).Wait(c.load(k, request, now)) + c.startDelay(k, now)
}

// startByLoad predicts when the server would begin the request by its load alone.
func (c *Core) startByLoad(k *Candidate, request *Request, now time.Time) time.Duration {
	return k.model(request).TimeToFirstEvent(c.load(k, request, now), request.Prompt)
}

// startDelay returns the weighted recent lateness of the server, or its link's round-trip time if that is
// longer.
func (c *Core) startDelay(k *Candidate, now time.Time) time.Duration {
	late := time.Duration(c.policy.Lateness * float64(k.lateBy(now)))
	if k.report.current(now) {
		late = max(late, k.report.LinkRTT)
	}
	return late
}
