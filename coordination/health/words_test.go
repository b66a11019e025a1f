package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"pinevane.example/pinevane/coordination/placement"
)

// hear has an entry hear all that another has to tell, some time after it was said.
func (s *script) hear(from *script, late time.Duration) *script {
	for _, word := range from.tracker.TakeReports() {
		s.tracker.ApplyReport(word, from.now, from.now+late)
	}
	s.now = max(s.now, from.now+late)
	return s
}

// another returns the script of another entry of the zone.
func (s *script) another(name string) *script {
	other := &script{t: s.t, tracker: New(name), now: s.now}
	other.tracker.SetServers("service", s.tracker.services["service"].servers)
	return other
}

// What one entry has found out holds at another that knows nothing else, and so does the
// server's return.
func TestEjectionAndReturnHoldInTheZone(t *testing.T) {
	one := play(t, 8)
	two := one.another("e1")
	one.see("s0", Errored, Errored)
	two.hear(one, 60*ms).is("s0", Ejected)
	one.wait(firstEjection).try("s0", Served)
	two.hear(one, 60*ms).is("s0", Healthy)
}

// Successes from before the fault are no reason to doubt it; those from after it began are.
func TestOwnSuccessesOutweighAnEjectionTold(t *testing.T) {
	one := play(t, 8)
	before, after := one.another("e1"), one.another("e2")
	before.see("s0", Served, Served, Served)
	one.wait(100*ms).see("s0", Errored)
	after.now = one.now
	after.wait(5*ms).see("s0", Served, Served)
	one.wait(50*ms).see("s0", Errored)
	words := one.tracker.words
	before.hear(one, 60*ms).is("s0", Ejected)
	one.tracker.words = words
	after.hear(one, 60*ms).is("s0", Suspect).wait(hintTime).is("s0", Healthy)
}

// An entry whose own connections fail can't empty the zone.
func TestOneEntryCanNotEjectManyServersForAll(t *testing.T) {
	one := play(t, 16)
	two := one.another("e1")
	for server := range 16 {
		one.see(fmt.Sprint("s", server), Unreachable, Unreachable)
		two.hear(one, 60*ms)
	}
	assert.Len(t, two.tracker.Ejected(), 2)
	three := one.another("e2")
	for server := range 4 {
		three.see(fmt.Sprint("s", 8+server), Unreachable, Unreachable)
		two.hear(three, 60*ms)
	}
	assert.Greater(t, len(two.tracker.Ejected()), 4, "two that agree are believed")
}

// An entry that starts may be told before it has the list of servers.
func TestWordsOnServersNotListedYet(t *testing.T) {
	one := play(t, 8)
	late := &script{t: t, tracker: New("e1"), now: one.now}
	for range 2 * mostEarly {
		late.tracker.ApplyReport(Report{Server: "elsewhere", Entry: "e2", Ejected: true}, one.now, one.now)
	}
	one.see("s0", Errored, Errored)
	// The late one counts time from its own start.
	for _, word := range one.tracker.TakeReports() {
		late.tracker.ApplyReport(word, -100*ms, 50*ms)
	}
	late.now = 60 * ms
	assert.Len(t, late.tracker.early, mostEarly)
	changes := late.tracker.SetServers("service", names("s", 8))
	assert.Len(t, changes, 1)
	late.is("s0", Ejected).is("s1", Healthy)
	assert.Len(t, late.tracker.early, mostEarly-2, "the suspicion and the ejection are taken in")
}

// A hint counts less than an own failure, less and less, and any number of them eject nobody.
func TestHintsCountLessAndAge(t *testing.T) {
	two := play(t, 8)
	for entry := range 3 * mostHints {
		other := two.another(fmt.Sprint("e", 1+entry))
		two.hear(other.see("s0", Errored), 0)
	}
	assert.Len(t, two.tracker.servers["s0"].hints, mostHints)
	two.is("s0", Suspect)
	assert.InDelta(t, hintCap, two.tracker.View("s0", two.now).PeerEvidence, 0.01)
	two.see("s0", Errored).is("s0", Ejected)
	three := play(t, 8)
	three.hear(three.another("e1").see("s0", Errored), 0)
	fresh := three.tracker.View("s0", three.now).PeerEvidence
	assert.Less(t, fresh, suspectAt/1.5)
	three.wait(hintTime / 2)
	assert.Less(t, three.tracker.View("s0", three.now).PeerEvidence, 0.6*fresh)
	assert.Zero(t, three.wait(hintTime).tracker.View("s0", three.now).PeerEvidence)
}

// zone plays entries that share what they learn, with words that take a while.
type zone struct {
	entries []*Tracker
	now     time.Duration
	transit []transit
}

type transit struct {
	word     Report
	to       int
	said, at time.Duration
}

func newZone(entries, servers int) *zone {
	z := &zone{now: time.Second}
	for index := range entries {
		tracker := New(fmt.Sprint("e", index))
		tracker.SetServers("service", names("s", servers))
		tracker.SetMembers(names("e", entries))
		z.entries = append(z.entries, tracker)
	}
	return z
}

// step advances the time and carries words.
func (z *zone) step(span, delay time.Duration) {
	z.now += span
	var kept []transit
	for _, one := range z.transit {
		if one.at > z.now {
			kept = append(kept, one)
			continue
		}
		z.entries[one.to].ApplyReport(one.word, one.said, z.now)
	}
	z.transit = kept
	for from, entry := range z.entries {
		for _, word := range entry.TakeReports() {
			for to := range z.entries {
				if to != from {
					z.transit = append(z.transit, transit{word: word, to: to, said: z.now, at: z.now + delay})
				}
			}
		}
	}
}

// send has an entry send one request to a server, if it may, which ends at once.
func (z *zone) send(entry int, server string, sound bool) (sent bool) {
	tracker := z.entries[entry]
	switch tracker.State(server, z.now) {
	case Ejected:
		return false
	case OnTrial:
		if !tracker.MayBeginTrial(server, true, z.now) {
			return false
		}
		tracker.BeginTrial(server, z.now)
	}
	outcome := Served
	if !sound {
		outcome = Errored
	}
	tracker.Observe(Attempt{Server: server, Class: "route", Outcome: outcome, Sent: z.now}, z.now)
	return true
}

// play has entries send servers requests at a pace, one after the other, for a time; fails tells
// whether a request of a server fails. It returns the failures at s0 and the part of the time in
// which s0 was out at the first entry.
func (z *zone) play(span time.Duration, fails func(server, number int) bool) (failures int, out float64) {
	const pace, delay = 10 * ms, 100 * ms
	random := rand.New(rand.NewPCG(3, 4))
	steps, outSteps := 0, 0
	for until := z.now + span; z.now < until; z.step(pace, delay) {
		server := steps % 6
		failed := fails(server, steps)
		if z.send(random.IntN(len(z.entries)), fmt.Sprint("s", server), !failed) && failed && server == 0 {
			failures++
		}
		if state := z.entries[0].State("s0", z.now); state == Ejected || state == OnTrial {
			outSteps++
		}
		steps++
	}
	return failures, float64(outSteps) / float64(steps)
}

// Fifteen entries that each send a server about one request a second lose few to one that fails
// all, and find it within half a second; one that fails 4 in 10 serves on, as a suspect, and
// one server's usual failures do not take it out.
func TestWhatAZoneLosesToAFailingServer(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	z := newZone(15, 6)
	sound := func(int, int) bool { return false }
	_, out := z.play(10*time.Second, sound)
	assert.Zero(t, out)
	failures, _ := z.play(time.Second, func(server, _ int) bool { return server == 0 })
	assert.LessOrEqual(t, failures, 6)
	for index, entry := range z.entries {
		assert.NotEqual(t, Healthy.String(), entry.State("s0", z.now).String(), "entry %d", index)
	}
	failures, out = z.play(10*time.Second, func(server, _ int) bool { return server == 0 })
	assert.LessOrEqual(t, failures, 11, "a trial each second")
	assert.Greater(t, out, 0.98)

	z = newZone(15, 6)
	z.play(10*time.Second, sound)
	_, out = z.play(10*time.Second, func(server, number int) bool { return server == 0 && random.Float64() < 0.4 })
	assert.Less(t, out, 0.3)

	z = newZone(15, 6)
	_, out = z.play(30*time.Second, func(_, number int) bool { return random.Float64() < 0.14 })
	assert.Less(t, out, 0.02)
}

// Whatever has happened before, a server that fails everything gets, once it is ejected, at
// most one request of the whole zone in each period of its ejection; and once it is sound it is
// in use at every entry within a bounded time.
func TestZoneTriesOneAtATimeAndServersReturn(t *testing.T) {
	const step, servers = 20 * ms, 6
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 8).Draw(t, "entries")
		delay := time.Duration(rapid.IntRange(0, 150).Draw(t, "delay")) * ms
		z := newZone(entries, servers)
		for range rapid.IntRange(0, 400).Draw(t, "history") {
			z.send(rapid.IntRange(0, entries-1).Draw(t, "entry"), fmt.Sprint("s", rapid.IntRange(0, servers-1).Draw(t, "server")), rapid.Float64Range(0, 1).Draw(t, "luck") > 0.3)
			z.step(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause"))*ms, delay)
		}
		for until := z.now + 10*longestEjection; z.now < until; z.step(step, delay) {
			for entry := range entries {
				z.send(entry, "s0", false)
				z.send(entry, fmt.Sprint("s", 1+entry%(servers-1)), true)
			}
		}
		var failed []time.Duration
		for until := z.now + 8*longestEjection; z.now < until; z.step(step, delay) {
			for entry := range entries {
				if z.send(entry, "s0", false) {
					failed = append(failed, z.now)
				}
			}
		}
		for index := 1; index < len(failed); index++ {
			if pause := failed[index] - failed[index-1]; pause < longestEjection {
				t.Fatalf("two requests within %s at %v", pause, failed)
			}
		}
		// A sound server returns: it is out for the longest ejection at most, and is tried
		// within one round of turns.
		bound := longestEjection + time.Duration(entries)*trialTurn + time.Second
		for until := z.now + bound; z.now < until; z.step(step, delay) {
			for entry := range entries {
				z.send(entry, "s0", true)
			}
		}
		for index, entry := range z.entries {
			if state := entry.State("s0", z.now); state != Healthy {
				t.Fatalf("%s at entry %d of %d after %s", state, index, entries, bound)
			}
			if len(entry.servers) != servers || len(entry.words) > 0 {
				t.Fatalf("%d servers, %d words held", len(entry.servers), len(entry.words))
			}
		}
	})
}

// What an entry of this code says is within the bounds that words are held to.
func TestWordsOfThisEntryAreSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := New("e0")
		tracker.SetServers("service", names("s", 4))
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "attempts") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "later")) * ms
			server := fmt.Sprint("s", rapid.IntRange(0, 1).Draw(t, "server"))
			if tracker.MayBeginTrial(server, true, now) {
				tracker.BeginTrial(server, now)
			}
			tracker.Observe(Attempt{Server: server, Outcome: Outcome(rapid.IntRange(1, outcomes-1).Draw(t, "outcome")), Sent: now}, now)
			for _, word := range tracker.TakeReports() {
				assert.NoError(t, word.Validate())
				assert.Equal(t, word, word.limited())
			}
		}
	})
}

// Each field of a word has its bounds.
func TestWordsOutOfBoundsAreFaults(t *testing.T) {
	sound := Report{Server: "s0", Entry: "e1", Ejected: true, Round: 1, Remaining: longestEjection, Evidence: evidenceCap}
	assert.NoError(t, sound.Validate())
	for field, spoil := range map[string]func(*Report){
		"since":    func(w *Report) { w.FailureAge = -1 },
		"changed":  func(w *Report) { w.StateAge = MaxDuration + 1 },
		"left":     func(w *Report) { w.Remaining = longestEjection + 1 },
		"round":    func(w *Report) { w.Round = 0 },
		"evidence": func(w *Report) { w.Evidence = math.NaN() },
		"failed":   func(w *Report) { w.Failed = math.Inf(1) },
		"served":   func(w *Report) { w.Served = -1 },
		"answered": func(w *Report) { w.AnswerAge = -1 },
		"tried":    func(w *Report) { w.LostTrialAge = MaxDuration + 1 },
	} {
		word := sound
		spoil(&word)
		var invalid *InvalidReportError
		if assert.ErrorAs(t, word.Validate(), &invalid, field) {
			assert.Equal(t, field, invalid.Field)
		}
		assert.NoError(t, word.limited().Validate(), field)
	}
}

// Another entry's word on an ejection that is known does not end this one's trial; one on a later
// ejection does.
func TestWordOnAKnownEjectionKeepsTheTrial(t *testing.T) {
	one := play(t, 8)
	two := one.another("e1")
	one.see("s0", Errored, Errored)
	words := one.tracker.TakeReports()
	ejection := words[len(words)-1]
	two.tracker.ApplyReport(ejection, one.now, one.now)
	two.now = one.now + firstEjection + 50*ms
	two.is("s0", OnTrial)
	assert.True(t, two.tracker.BeginTrial("s0", two.now))
	assert.False(t, two.tracker.BeginTrial("s0", two.now), "one at a time")
	echo := ejection
	echo.Entry = "e2"
	two.tracker.ApplyReport(echo, one.now+40*ms, two.now)
	assert.False(t, two.tracker.MayBeginTrial("s0", true, two.now))
	assert.True(t, two.tracker.servers["s0"].ownTrial)
	two.wait(100 * ms)
	echo.Round++
	two.tracker.ApplyReport(echo, two.now, two.now)
	assert.False(t, two.tracker.servers["s0"].ownTrial)
	two.is("s0", Ejected)
}

// What is told of a server from before another one took its name says nothing of that.
func TestRenewedServerIsNotHeldForWordsOfTheFormer(t *testing.T) {
	one := play(t, 8)
	two := one.another("e1")
	one.see("s0", Errored, Errored)
	words := one.tracker.TakeReports()
	two.now = one.now + 100*ms
	two.tracker.Reset("s0", two.now)
	two.tracker.ApplyReport(words[len(words)-1], one.now, two.now)
	two.is("s0", Healthy)
}

// The order of turns is that of the zone as it is, and of the ejection.
func TestTurnsFollowTheZoneAndTheRound(t *testing.T) {
	s := play(t, 8).see("s0", Errored, Errored).wait(firstEjection)
	for _, others := range [][]string{names("e", 5), names("f", 7), nil} {
		s.tracker.SetMembers(others)
		for round := 1; round <= maximumRounds; round++ {
			held := s.tracker.servers["s0"]
			held.round = round
			order := placement.Rank(fmt.Sprint("s0/", round), s.tracker.members)
			for turn := range 2 * len(order) {
				now := held.till + time.Duration(turn)*trialTurn
				assert.Equal(t, order[turn%len(order)] == s.tracker.self, s.tracker.MayBeginTrial("s0", true, now))
			}
		}
	}
}
