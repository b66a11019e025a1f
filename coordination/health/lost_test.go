package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// sendLost has an entry send one request to a server that its agent has lost, if it may, which ends
// at once; trial tells that it was its trial.
func (z *zone) sendLost(entry int, server string, lostAt time.Duration, sound bool) (sent, trial bool) {
	tracker := z.entries[entry]
	if !tracker.Confirmed(server, lostAt, z.now) {
		if !tracker.MayBeginLostTrial(server, lostAt, z.now) {
			return false, false
		}
		tracker.BeginLostTrial(server, z.now)
		trial = true
	}
	outcome := Served
	if !sound {
		outcome = Unreachable
	}
	tracker.Observe(Attempt{Server: server, Class: "route", Outcome: outcome, Sent: z.now, Lost: true, LostAt: lostAt}, z.now)
	return true, trial
}

// warm has every entry make as many attempts as it needs before it tries a lost server.
func (z *zone) warm(server string) {
	for _, entry := range z.entries {
		for range attemptsPerLostTrial {
			entry.Observe(Attempt{Server: server, Class: "route", Outcome: Served, Sent: z.now}, z.now)
		}
	}
	z.step(10*ms, 0)
}

// One trial that is served has the server proven at every entry of the zone, and the answers of one
// entry keep it so at the others, which send it nothing.
func TestProofOfOneEntryHoldsInTheZone(t *testing.T) {
	z := newZone(4, 4)
	z.warm("s1")
	lostAt := z.now
	trials, words := 0, 0
	for until := z.now + 3*time.Second; trials == 0 && z.now < until; z.step(20*ms, 60*ms) {
		for entry := range z.entries {
			if _, trial := z.sendLost(entry, "s0", lostAt, true); trial {
				trials++
				assert.GreaterOrEqual(t, z.now-lostAt, firstLostTrial)
			}
		}
	}
	require.Equal(t, 1, trials)
	for until := z.now + 10*time.Second; z.now < until; z.step(50*ms, 60*ms) {
		_, trial := z.sendLost(0, "s0", lostAt, true)
		assert.False(t, trial)
		words += len(z.entries[0].words)
		for index, entry := range z.entries {
			assert.True(t, entry.Confirmed("s0", lostAt, z.now) || z.now-lostAt < 700*ms, "entry %d after %s", index, z.now-lostAt)
			assert.Equal(t, Healthy.String(), entry.State("s0", z.now).String())
		}
	}
	assert.LessOrEqual(t, words, int(10*time.Second/provenPace)+1)
	z.step(provenTime+60*ms, 0)
	for _, entry := range z.entries {
		assert.False(t, entry.Confirmed("s0", lostAt, z.now), "it ages")
	}
	lostAgain := z.now
	z.warm("s1")
	assert.False(t, z.entries[0].Confirmed("s0", lostAgain, z.now))
}

// An answer told that came before the loss is no proof, nor is one before another server took the
// name.
func TestAnswersToldFromBeforeAreNoProof(t *testing.T) {
	one := play(t, 4)
	two := one.another("e1")
	one.see("s0", Errored, Served)
	answered := one.now
	two.hear(one, 60*ms)
	assert.True(t, two.tracker.Confirmed("s0", answered-2*ms, two.now))
	assert.False(t, two.tracker.Confirmed("s0", answered+ms, two.now))
	two.tracker.Reset("s0", two.now)
	one.see("s0", Errored)
	two.hear(one, 60*ms)
	assert.False(t, two.tracker.Confirmed("s0", answered-2*ms, two.now))
}

// An agent that finds its server and loses it anew does not bring another trial beside one that has
// not ended.
func TestServerLostAnewKeepsThePause(t *testing.T) {
	z := newZone(1, 4)
	z.warm("s1")
	lostAt := z.now
	z.step(firstLostTrial, 0)
	tracker := z.entries[0]
	require.True(t, tracker.MayBeginLostTrial("s0", lostAt, z.now))
	tracker.BeginLostTrial("s0", z.now)
	began := z.now
	for ; z.now < began+trialLimit; z.step(50*ms, 0) {
		z.warm("s1")
		assert.False(t, tracker.MayBeginLostTrial("s0", z.now-firstLostTrial, z.now), "after %s", z.now-began)
	}
	z.warm("s1")
	assert.True(t, tracker.MayBeginLostTrial("s0", z.now-firstLostTrial, z.now))
}

// A proof alone changes nothing of what is counted against a server.
func TestProofLeavesWhatIsCounted(t *testing.T) {
	one := play(t, 4)
	two := one.another("e1")
	two.see("s0", Errored)
	before := *two.tracker.servers["s0"]
	one.now = two.now
	one.tracker.Observe(Attempt{Server: "s0", Class: "route", Outcome: Served, Sent: one.now, Lost: true, LostAt: one.now - ms}, one.now)
	two.hear(one, 0)
	after := two.tracker.servers["s0"]
	assert.Equal(t, before.failurePeriod, after.failurePeriod)
	assert.Empty(t, after.hints)
}

// A proof of an entry that had a failure long ago is only a proof.
func TestProofOfAnEntryWithAFormerFailureIsOne(t *testing.T) {
	one := play(t, 4)
	two := one.another("e1")
	one.see("s0", Errored)
	one.tracker.TakeReports()
	one.now += 60 * time.Second
	two.now = one.now
	one.tracker.Observe(Attempt{Server: "s0", Class: "route", Outcome: Served, Sent: one.now, Lost: true, LostAt: one.now - ms}, one.now)
	words := one.tracker.TakeReports()
	require.Len(t, words, 1)
	assert.True(t, words[0].onlyProof())
	two.tracker.ApplyReport(words[0], two.now, two.now)
	assert.True(t, two.tracker.Confirmed("s0", one.now-2*ms, two.now))
	assert.Empty(t, two.tracker.servers["s0"].hints)
}

// A proof delays no ejection at another entry, whether or not its teller had a failure there a minute ago.
func TestProofDelaysNoEjection(t *testing.T) {
	needed := func(proof, former bool) int {
		one := play(t, 4)
		two := one.another("e1")
		if former {
			one.see("s0", Errored)
		}
		one.tracker.TakeReports()
		two.now += 60 * time.Second
		for range 40 {
			two.tracker.Observe(Attempt{Server: "s1", Class: "route", Outcome: Served, Sent: two.now}, two.now)
		}
		for range 4 {
			two.tracker.Observe(Attempt{Server: "s0", Class: "route", Outcome: Served, Sent: two.now}, two.now)
			two.now += 10 * ms
		}
		fail := func() {
			two.now += 10 * ms
			two.tracker.Observe(Attempt{Server: "s0", Class: "route", Outcome: Errored, Sent: two.now}, two.now+ms)
			two.now += ms
		}
		fail()
		if proof {
			one.now = two.now
			one.tracker.Observe(Attempt{Server: "s0", Class: "route", Outcome: Served, Sent: one.now, Lost: true, LostAt: one.now - ms}, one.now)
			two.hear(one, 0)
		}
		for count := 2; count < 40; count++ {
			fail()
			if two.tracker.State("s0", two.now) == Ejected {
				return count
			}
		}
		return 40
	}
	without := needed(false, true)
	assert.Less(t, without, 40)
	assert.Equal(t, without, needed(true, false))
	assert.Equal(t, without, needed(true, true))
}

// The loss of half of a fleet's servers, which are down, costs the callers of fifteen entries that
// send 300 requests a second at most one attempt in twenty, and each server gets one in 8 s in
// the end.
func TestCostOfLostServers(t *testing.T) {
	const entries, servers, lost, pace = 15, 60, 30, 10 * ms
	z := newZone(entries, servers)
	random := rand.New(rand.NewPCG(1, 2))
	z.warm("s59")
	lostAt := z.now
	requests, last := 0, 0
	trials := map[string]int{}
	for until := z.now + 40*time.Second; z.now < until; z.step(pace, 60*ms) {
		for range 3 {
			requests++
			entry := random.IntN(entries)
			for _, number := range random.Perm(lost) {
				server := fmt.Sprint("s", number)
				if _, trial := z.sendLost(entry, server, lostAt, false); trial {
					trials[server]++
					if until-z.now < longestLostPause {
						last++
					}
					break
				}
			}
			sound := fmt.Sprint("s", lost+random.IntN(servers-lost))
			z.entries[entry].Observe(Attempt{Server: sound, Class: "route", Outcome: Served, Sent: z.now}, z.now)
		}
	}
	sum, most := 0, 0
	for _, count := range trials {
		sum, most = sum+count, max(most, count)
	}
	t.Logf("%d trials beside %d requests, %d at one server at the most, %d in the last %s", sum, requests, most, last, longestLostPause)
	assert.LessOrEqual(t, sum, requests/attemptsPerLostTrial+entries)
	assert.LessOrEqual(t, most, 10)
	assert.LessOrEqual(t, last, 2*lost)
	assert.Len(t, trials, lost, "none is passed over")
	for index, entry := range z.entries {
		assert.Empty(t, entry.Ejected(), "entry %d: lost servers take no places of those that may be ejected", index)
	}
	for range 2 {
		z.entries[0].Observe(Attempt{Server: "s40", Class: "route", Outcome: Errored, Sent: z.now}, z.now)
	}
	assert.Equal(t, []string{"s40"}, z.entries[0].Ejected())
}

// A lost server that is down gets one request of the zone in each pause, whenever words come; one
// that serves is proven at every entry soon.
func TestZoneTriesLostServersOneAtATime(t *testing.T) {
	const servers, step = 4, 20 * ms
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 8).Draw(t, "entries")
		delay := time.Duration(rapid.IntRange(0, 150).Draw(t, "delay")) * ms
		z := newZone(entries, servers)
		z.warm("s1")
		for range rapid.IntRange(0, 60).Draw(t, "history") {
			z.send(rapid.IntRange(0, entries-1).Draw(t, "entry"), "s0", rapid.Float64Range(0, 1).Draw(t, "luck") > 0.3)
			z.step(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause"))*ms, delay)
		}
		lostAt := z.now
		around := func(sound bool) (tried int) {
			for entry := range entries {
				if _, trial := z.sendLost(entry, "s0", lostAt, sound); trial {
					tried++
				}
				z.send(entry, "s1", true)
			}
			return tried
		}
		z.step(provenTime, delay)
		var at []time.Duration
		for until := z.now + 30*time.Second; z.now < until; z.step(step, delay) {
			for range around(false) {
				at = append(at, z.now)
			}
		}
		for index := 1; index < len(at); index++ {
			if pause := at[index] - at[index-1]; pause < trialLimit {
				t.Fatalf("two trials within %s at %v", pause, at)
			}
		}
		if len(at) > 9 {
			t.Fatalf("%d trials in 30 s at %v", len(at), at)
		}
		bound := longestLostPause + time.Duration(entries)*lostTurn + time.Second
		for until := z.now + bound; z.now < until; z.step(step, delay) {
			around(true)
		}
		for index, entry := range z.entries {
			if !entry.Confirmed("s0", lostAt, z.now) {
				t.Fatalf("not proven at entry %d of %d after %s", index, entries, bound)
			}
		}
	})
}
