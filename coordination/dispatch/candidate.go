package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/coordination/incarnation"
)

// Candidate is a server as this entry knows it. ID, Address and Zone never change, so they can be read at any
// time.
type Candidate struct {
	ID      string
	Address string
	Zone    string

	listing listing
	notices notices
	// rateLimit is the limit that the server names in its answers.
	rateLimit   rateLimit
	sends       ownSends
	report      agentReport
	lateness    lateness
	answerTimes answerTimes
	// version is the newest version that the server itself has reported, in an answer or on the list of
	// servers.
	version uint64
	// sentWindow counts the requests that this entry sent here within the rate limit's window.
	sentWindow admission.Window
	// coldTime is how long a server of this service is cold after a start.
	coldTime time.Duration
	// readmittedUntil is the time until which the server counts as cold because the evacuation of its zone
	// was revoked.
	readmittedUntil time.Time
	// answeredColdUntil is the time until which the server is cold according to its own answer.
	answeredColdUntil time.Time
}

// listing holds what the list of servers says about a server.
type listing struct {
	server Server
	// removed servers are not sent any more requests.
	removed bool
	// superseded servers have stopped for good: another server has answered at their address.
	superseded bool
	// agentCurrent is set if the agent's reports had not stopped when the list dropped the server. Entries
	// then close their links to the agent, so that the end of its reports says nothing about the server.
	agentCurrent bool
	// firstListed is when the list first named this incarnation.
	firstListed time.Time
	// nextStart is the start time of an incarnation that the agent reports and the list does not name yet.
	// The listed incarnation counts as ended until presumedEndedUntil.
	nextStart          incarnation.StartTime
	presumedEndedUntil time.Time
}

// StartTime returns the start time that the list names for a server, 0 if it names none.
func (c *Core) StartTime(k *Candidate) incarnation.StartTime { return k.listing.server.StartTime }

// answerTimes holds moving means of a server's answer times.
type answerTimes struct {
	// meanMilliseconds is the moving mean time of complete answers.
	meanMilliseconds float64
	// firstMean is the moving mean time to the first event of streams.
	firstMean time.Duration
}

// Weights of a new sample in the moving means.
const (
	wholeMeanWeight = 0.1
	firstMeanWeight = 0.1
)

func (a *answerTimes) addComplete(elapsed time.Duration) {
	value := float64(elapsed) / float64(time.Millisecond)
	if a.meanMilliseconds == 0 {
		a.meanMilliseconds = value
	}
	a.meanMilliseconds += wholeMeanWeight * (value - a.meanMilliseconds)
}

func (a *answerTimes) addFirst(elapsed time.Duration) {
	if a.firstMean == 0 {
		a.firstMean = elapsed
	}
	a.firstMean += time.Duration(firstMeanWeight * float64(elapsed-a.firstMean))
}

// RecordFirstEvent records how long a stream's first event took.
func (c *Core) RecordFirstEvent(k *Candidate, elapsed time.Duration) { k.answerTimes.addFirst(elapsed) }

// TypicalWait returns how long the first byte of an answer typically takes: the mean of recent answers or the
// prediction, whichever is longer. For a server on trial, its recent lateness does not count: a server that
// never answers would be given ten times the wait of the first requests it failed, which is more than callers
// wait.
func (c *Core) TypicalWait(decision Decision, request *Request) time.Duration {
	typical := c.typicalAnswerTime(decision.Candidate, request)
	if decision.Trial {
		return max(typical, decision.startByLoad)
	}
	return max(typical, decision.Expected)
}

// typicalAnswerTime returns how long a server's answers to such requests take, or those of the service's other
// servers if it has given this entry none, or else the target.
func (c *Core) typicalAnswerTime(k *Candidate, request *Request) time.Duration {
	if observed := c.observedAnswerTime(k, request); observed > 0 {
		return observed
	}
	return request.Target
}

// observedAnswerTime is typicalAnswerTime without the fallback: 0 if this entry has seen no answer of the
// service.
func (c *Core) observedAnswerTime(k *Candidate, request *Request) time.Duration {
	if own := k.answerTimes.typical(request.Streaming); own > 0 {
		return own
	}
	sum, count := time.Duration(0), 0
	for _, other := range c.byService[request.Service] {
		if typical := other.answerTimes.typical(request.Streaming); typical > 0 {
			sum, count = sum+typical, count+1
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

// typical returns the mean time until answers begin, 0 without any sample.
func (a *answerTimes) typical(streaming bool) time.Duration {
	if streaming {
		return a.firstMean
	}
	return time.Duration(a.meanMilliseconds * float64(time.Millisecond))
}

// Candidates returns the servers of a service.
func (c *Core) Candidates(service string) []*Candidate { return c.byService[service] }

// Description is a human-readable view of one server.
type Description struct {
	Server      Server
	InFlight    int
	Outstanding int
	// Version is the newest version that the server itself has reported.
	Version   uint64
	Health    health.View
	ReportAge time.Duration
	// MeanMilliseconds is the moving mean time of complete answers.
	MeanMilliseconds float64
	// ColdFor is how much longer the server counts as cold. Evacuated servers are sent no new requests.
	ColdFor   time.Duration
	Evacuated bool
	// Limit is the rate limit that the server names, BackoffRemaining how much longer it is backing off.
	Limit            RateLimitStatus
	BackoffRemaining time.Duration
	// AnnouncedLeaving is set when an answer has announced that the server is about to stop.
	AnnouncedLeaving bool
}

// Describe returns a view of each server, in no particular order.
func (c *Core) Describe(now time.Time) []Description {
	descriptions := make([]Description, 0, len(c.byID))
	for _, candidate := range c.byID {
		descriptions = append(descriptions, Description{
			Server: candidate.listing.server, InFlight: candidate.sends.inFlight, Outstanding: candidate.outstanding(now), Version: candidate.version,
			Health: c.health.View(candidate.ID, c.elapsed(now)), ReportAge: candidate.report.age(now),
			MeanMilliseconds: candidate.answerTimes.meanMilliseconds,
			ColdFor:          max(0, candidate.coldUntil().Sub(now)),
			Evacuated:        c.Evacuated(candidate.Zone),
			Limit:            c.rateLimitStatus(candidate, now),
			BackoffRemaining: candidate.backoffRemaining(now),
			AnnouncedLeaving: candidate.notices.leaving,
		})
	}
	return descriptions
}
