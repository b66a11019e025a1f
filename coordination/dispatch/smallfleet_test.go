package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/health"
)

// Sizes of the small fleet. Each entry sends a request every sendPeriod; a server reads prompts one
// after the other, and a request holds a place for answerTime after that.
const (
	smallEntries  = 4
	smallServers  = 6
	tick          = 5 * time.Millisecond
	sendPeriod    = 40 * time.Millisecond
	readTime      = 33 * time.Millisecond
	passTime      = 42 * time.Millisecond
	answerTime    = 700 * time.Millisecond
	wordPeriod    = 100 * time.Millisecond
	smallDuration = 10 * time.Second
	smallTarget   = 400 * time.Millisecond
	// A request that can be sent again is given up after smallPatience, another after
	// smallDeadline.
	smallPatience = time.Second
	smallDeadline = 8 * time.Second
)

// muteServer is the one that takes requests and never answers.
const muteServer = 0

// smallRequest is one at a server of the small fleet.
type smallRequest struct {
	entry  *Core
	sent   *Send
	begins time.Time
	ends   time.Time
	begun  bool
	// givenUp is when its entry gives it up if it has not begun.
	givenUp time.Time
}

// smallServer holds requests.
type smallServer struct {
	address string
	open    []*smallRequest
	// readTill is until when the prompts that have come are read.
	readTill time.Time
}

// word is what its agent says; a mute server tells the agent of no request.
func (s *smallServer) word(mute, tellsOfRequests bool) LoadReport {
	word := LoadReport{Address: s.address, Reachable: true, Version: 1}
	if mute && !tellsOfRequests {
		return word
	}
	for _, one := range s.open {
		if one.begun {
			word.Running++
		} else {
			word.Waiting++
		}
	}
	return word
}

// smallFleet plays entries that ask and send to servers, one of which is mute.
type smallFleet struct {
	entries []*Core
	servers []*smallServer
	// repeat is set when a request that has not begun after patience is given up for another
	// server; else it waits for its deadline.
	repeat bool
	// tells is set when the mute server tells its agent of the requests that it holds.
	tells bool
	// sent counts the requests, mute those to the mute server, late those that began after
	// their target at another, refused those that were sent to none.
	sent    int
	mute    int
	late    int
	refused int
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
			server.advance(now, number == muteServer, f)
			if after%wordPeriod == 0 {
				for _, entry := range f.entries {
					entry.ApplyReport(server.word(number == muteServer, f.tells), now)
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
	asked := entry.QueryTargets(request, nil, now)
	var answers []LoadReport
	for _, one := range asked {
		number := f.numberOf(one)
		answers = append(answers, f.servers[number].word(number == muteServer, f.tells))
	}
	request.Queried = entry.ApplyQueryReplies(asked, answers, now)
	f.sent++
	decision, refusal := entry.Choose(request, now)
	if refusal != nil {
		f.refused++
		return
	}
	one := &smallRequest{entry: entry, sent: decision.Send, givenUp: now.Add(smallDeadline)}
	if f.repeat {
		one.givenUp = now.Add(smallPatience)
	}
	number := f.numberOf(decision.Candidate)
	if number == muteServer {
		f.mute++
	}
	f.servers[number].take(one, now)
}

// numberOf finds a server by its address.
func (f *smallFleet) numberOf(candidate *Candidate) int {
	return slices.IndexFunc(f.servers, func(one *smallServer) bool { return one.address == candidate.Address })
}

// take reads a request's prompt after those before it.
func (s *smallServer) take(one *smallRequest, now time.Time) {
	s.open = append(s.open, one)
	if s.readTill.Before(now) {
		s.readTill = now
	}
	s.readTill = s.readTill.Add(readTime)
	one.begins = s.readTill.Add(2 * passTime)
	one.ends = one.begins.Add(answerTime)
}

// advance begins and ends requests; a mute server's are given up.
func (s *smallServer) advance(now time.Time, mute bool, f *smallFleet) {
	s.open = slices.DeleteFunc(s.open, func(one *smallRequest) bool {
		switch {
		case mute:
			return !now.Before(one.givenUp) && f.giveUp(one, now)
		case !one.begun && !now.Before(one.begins):
			one.begun = true
			one.entry.EndPrefill(one.sent, true, now)
			if now.Sub(one.sent.sentAt) > smallTarget {
				f.late++
			}
		case one.begun && !now.Before(one.ends):
			one.entry.Release(one.sent)
			one.entry.Observe(one.sent.candidate, Outcome{Outcome: health.Served, SentAt: one.sent.sentAt}, now)
			one.entry.RecordAnswerTime(one.sent.candidate, answerTime)
			return true
		}
		return false
	})
}

// giveUp ends a request that has not begun; one that would be sent again counts against its
// server.
func (f *smallFleet) giveUp(one *smallRequest, now time.Time) bool {
	one.entry.EndPrefill(one.sent, false, now)
	one.entry.Release(one.sent)
	if f.repeat {
		one.entry.Observe(one.sent.candidate, Outcome{Outcome: health.Overdue, SentAt: one.sent.sentAt}, now)
	}
	return true
}
