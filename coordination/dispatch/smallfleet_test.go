package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/health"
)

// Sizes of the small fleet. Each entry sends a request every sendPeriod; a server processes prompts one after
// the other, and a request holds a slot for answerTime after that.
const (
	smallEntries  = 4
	smallServers  = 6
	tick          = 5 * time.Millisecond
	sendPeriod    = 40 * time.Millisecond
	readTime      = 33 * time.Millisecond
	passTime      = 42 * time.Millisecond
	answerTime    = 700 * time.Millisecond
	reportPeriod  = 100 * time.Millisecond
	smallDuration = 10 * time.Second
	smallTarget   = 400 * time.Millisecond
	// A request that can be retried is abandoned after smallRetryTimeout, any other after smallDeadline.
	smallRetryTimeout = time.Second
	smallDeadline     = 8 * time.Second
)

// unresponsiveServer is the index of the server that accepts requests and never answers.
const unresponsiveServer = 0

// smallRequest is a request at a server of the small fleet.
type smallRequest struct {
	entry  *Core
	sent   *Send
	begins time.Time
	ends   time.Time
	begun  bool
	// giveUpAt is when its entry abandons it if it has not begun.
	giveUpAt time.Time
}

// smallServer is a server with its open requests.
type smallServer struct {
	address string
	open    []*smallRequest
	// readUntil is when the prompts received so far are processed.
	readUntil time.Time
}

// report returns the report of the server's agent; an unresponsive server reports its requests only if
// tellsOfRequests is set.
func (s *smallServer) report(unresponsive, reportsHeld bool) LoadReport {
	report := LoadReport{Address: s.address, Reachable: true, Version: 1}
	if unresponsive && !reportsHeld {
		return report
	}
	for _, request := range s.open {
		if request.begun {
			report.Running++
		} else {
			report.Waiting++
		}
	}
	return report
}

// smallFleet simulates entries that query and send to servers, one of which is unresponsive.
type smallFleet struct {
	entries []*Core
	servers []*smallServer
	// retry is set when a request that has not begun after smallRetryTimeout is abandoned for another server;
	// otherwise it waits for its deadline.
	retry bool
	// reportsHeld is set when the unresponsive server reports the requests that it holds to its agent.
	reportsHeld bool
	// sent counts all requests, toUnresponsive those sent to the unresponsive server, late those that began
	// after their target at another one, refused those that were refused.
	sent           int
	toUnresponsive int
	late           int
	refused        int
}

func newSmallFleet(policy Policy, seed uint64) *smallFleet {
	f := &smallFleet{}
	published := Fleet{}
	for number := range smallServers {
		id := fmt.Sprintf("a%d", number)
		f.servers = append(f.servers, &smallServer{address: id + ":1"})
		published.Servers = append(published.Servers, Server{ID: id, Service: "s", Address: id + ":1", Zone: "a", Slots: 16, Version: 1, HoldsModel: true})
	}
	for number := range smallEntries {
		random := rand.New(rand.NewPCG(uint64(number), seed))
		entry := New(Options{Zone: "a", Policy: policy, Started: epoch, Random: random.Float64, Shuffle: random.Shuffle})
		entry.Update(published, epoch)
		f.entries = append(f.entries, entry)
	}
	return f
}

func (f *smallFleet) play() {
	for now := epoch; now.Before(epoch.Add(smallDuration)); now = now.Add(tick) {
		after := now.Sub(epoch)
		for number, server := range f.servers {
			server.advance(now, number == unresponsiveServer, f)
			if after%reportPeriod == 0 {
				for _, entry := range f.entries {
					entry.ApplyReport(server.report(number == unresponsiveServer, f.reportsHeld), now)
				}
			}
		}
		for number, entry := range f.entries {
			if (after+time.Duration(number)*2*tick)%sendPeriod == 0 {
				f.send(entry, now)
			}
		}
	}
}

func (f *smallFleet) send(entry *Core, now time.Time) {
	request := &Request{
		Service: "s", Engine: scriptEngine, Figures: scriptEngine.Published, Target: smallTarget, Streaming: true,
		OtherEntries: smallEntries - 1, Prompt: 1000, Answer: 100,
	}
	queried := entry.QueryTargets(request, nil, now)
	var replies []LoadReport
	for _, one := range queried {
		number := f.numberOf(one)
		replies = append(replies, f.servers[number].report(number == unresponsiveServer, f.reportsHeld))
	}
	request.Queried = entry.ApplyQueryReplies(queried, replies, now)
	f.sent++
	decision, refusal := entry.Choose(request, now)
	if refusal != nil {
		f.refused++
		return
	}
	one := &smallRequest{entry: entry, sent: decision.Send, giveUpAt: now.Add(smallDeadline)}
	if f.retry {
		one.giveUpAt = now.Add(smallRetryTimeout)
	}
	number := f.numberOf(decision.Candidate)
	if number == unresponsiveServer {
		f.toUnresponsive++
	}
	f.servers[number].enqueue(one, now)
}

// numberOf returns the index of a server by its address.
func (f *smallFleet) numberOf(candidate *Candidate) int {
	return slices.IndexFunc(f.servers, func(server *smallServer) bool { return server.address == candidate.Address })
}

// enqueue queues a request's prompt after those before it.
func (s *smallServer) enqueue(request *smallRequest, now time.Time) {
	s.open = append(s.open, request)
	if s.readUntil.Before(now) {
		s.readUntil = now
	}
	s.readUntil = s.readUntil.Add(readTime)
	request.begins = s.readUntil.Add(2 * passTime)
	request.ends = request.begins.Add(answerTime)
}

// advance begins and ends requests; those of an unresponsive server are abandoned.
func (s *smallServer) advance(now time.Time, unresponsive bool, f *smallFleet) {
	s.open = slices.DeleteFunc(s.open, func(request *smallRequest) bool {
		switch {
		case unresponsive:
			return !now.Before(request.giveUpAt) && f.giveUp(request, now)
		case !request.begun && !now.Before(request.begins):
			request.begun = true
			request.entry.EndPrefill(request.sent, true, now)
			if now.Sub(request.sent.sentAt) > smallTarget {
				f.late++
			}
		case request.begun && !now.Before(request.ends):
			request.entry.Release(request.sent)
			request.entry.Observe(request.sent.candidate, Outcome{Outcome: health.Served, SentAt: request.sent.sentAt}, now)
			request.entry.RecordAnswerTime(request.sent.candidate, answerTime)
			return true
		}
		return false
	})
}

// giveUp ends a request that has not begun. One that would be retried counts against its server.
func (f *smallFleet) giveUp(request *smallRequest, now time.Time) bool {
	request.entry.EndPrefill(request.sent, false, now)
	request.entry.Release(request.sent)
	if f.retry {
		request.entry.Observe(request.sent.candidate, Outcome{Outcome: health.Overdue, SentAt: request.sent.sentAt}, now)
	}
	return true
}
