package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/coordination/incarnation"
)

// Candidate is one server as an entry knows it. Its name and place never change, so that they can
// be read at any time.
type Candidate struct {
	ID      string
	Address string
	Zone    string

	listing listing
	notices notices
	// rateLimit is the rate that the server names in its answers.
	rateLimit   rateLimit
	sends       ownSends
	report      agentReport
	lateness    lateness
	answerTimes answerTimes
	// version is the newest that the server itself has told, in an answer or on the
	// list of servers.
	version uint64
	// sentWindow are the requests that this entry has sent here in the last admission.LimitSpan.
	sentWindow admission.Window
	// coldTime is how long a server of its service is cold after a start.
	coldTime time.Duration
	// readmittedUntil is until when the server counts as cold because an evacuation of its
	// zone was taken back.
	readmittedUntil time.Time
	// answeredColdUntil is until when the server is cold by an answer of its own.
	answeredColdUntil time.Time
}

// listing is what the list of servers tells of a server.
type listing struct {
	server Server
	// removed servers are not sent anything any more.
	removed bool
	// superseded servers have ended for good: another has answered at their address.
	superseded bool
	// firstListed is when the list first named this incarnation.
	firstListed time.Time
	// nextStart is the incarnation that the agent has told and the list has not; until endedTill this one
	// counts as ended for that.
	nextStart  incarnation.Born
	endedUntil time.Time
}

// answerTimes is how long a server's answers have taken lately.
type answerTimes struct {
	// meanMilliseconds is the moving mean time of whole answers.
	meanMilliseconds float64
	// firstMean is the moving mean time to the first event of streams.
	firstMean time.Duration
}

// Weights of one more answer in the means.
const (
	wholeMeanWeight = 0.1
	firstMeanWeight = 0.1
)

func (a *answerTimes) addWhole(took time.Duration) {
	value := float64(took) / float64(time.Millisecond)
	if a.meanMilliseconds == 0 {
		a.meanMilliseconds = value
	}
	a.meanMilliseconds += wholeMeanWeight * (value - a.meanMilliseconds)
}

func (a *answerTimes) addFirst(took time.Duration) {
	if a.firstMean == 0 {
		a.firstMean = took
	}
	a.firstMean += time.Duration(firstMeanWeight * float64(took-a.firstMean))
}

// RecordFirstEvent notes how long a stream's first event took.
func (c *Core) RecordFirstEvent(k *Candidate, took time.Duration) { k.answerTimes.addFirst(took) }

// TypicalWait is how long the first byte of an answer usually takes: as the last ones did, or as
// predicted, whichever is longer. What a server on trial has delayed lately does not count: one that
// answers nothing would have the time of its first victims ten times over, which is more than
// callers wait.
func (c *Core) TypicalWait(decision Decision, request *Request) time.Duration {
	usual := c.typicalAnswer(decision.Candidate, request)
	if decision.Trial {
		return max(usual, decision.startByLoad)
	}
	return max(usual, decision.Expected)
}

// typicalAnswer is how long a server's answers to such requests have taken, or those of the service's
// others if it has given this entry none, or else the target.
func (c *Core) typicalAnswer(k *Candidate, request *Request) time.Duration {
	if seen := c.observedAnswer(k, request); seen > 0 {
		return seen
	}
	return request.Target
}

// observedAnswer is usualAnswer, but 0 if this entry has seen no answer of the service.
func (c *Core) observedAnswer(k *Candidate, request *Request) time.Duration {
	if own := k.answerTimes.typical(request.Streaming); own > 0 {
		return own
	}
	sum, count := time.Duration(0), 0
	for _, other := range c.byService[request.Service] {
		if usual := other.answerTimes.typical(request.Streaming); usual > 0 {
			sum, count = sum+usual, count+1
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

// typical is how long answers have taken to begin; 0 while there was none.
func (a *answerTimes) typical(streaming bool) time.Duration {
	if streaming {
		return a.firstMean
	}
	return time.Duration(a.meanMilliseconds * float64(time.Millisecond))
}

// Candidates lists the servers of a service.
func (c *Core) Candidates(service string) []*Candidate { return c.byService[service] }

// Description is what is known of one server, for people.
type Description struct {
	Server      Server
	InFlight    int
	Outstanding int
	// Version is the newest that the server itself has told.
	Version   uint64
	Health    health.View
	ReportAge time.Duration
	// MeanMilliseconds is the moving mean time of whole answers.
	MeanMilliseconds float64
	// ColdFor is how much longer the server counts as cold; Evacuated servers are sent
	// nothing new.
	ColdFor   time.Duration
	Evacuated bool
	// Limit is the rate that the server has named, RestLeft for how much longer it wants nothing.
	Limit       RateLimitStatus
	BackoffLeft time.Duration
	// AnnouncedLeaving is set when an answer has said that the server is about to end.
	AnnouncedLeaving bool
}

// Describe tells what is known of each server, in no order.
func (c *Core) Describe(now time.Time) []Description {
	descriptions := make([]Description, 0, len(c.byID))
	for _, known := range c.byID {
		descriptions = append(descriptions, Description{
			Server: known.listing.server, InFlight: known.sends.inFlight, Outstanding: known.outstanding(now), Version: known.version,
			Health: c.health.View(known.ID, c.elapsed(now)), ReportAge: known.report.age(now),
			MeanMilliseconds: known.answerTimes.meanMilliseconds,
			ColdFor:          max(0, known.coldUntil().Sub(now)),
			Evacuated:        c.Evacuated(known.Zone),
			Limit:            c.rateLimitStatus(known, now),
			BackoffLeft:      known.backoffLeft(now),
			AnnouncedLeaving: known.notices.leaving,
		})
	}
	return descriptions
}
