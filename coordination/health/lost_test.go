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

// sendLost sends a request from an entry to a lost server, if the entry may send one. The request
// ends at once. trial tells whether it was the server's trial.
func (z *zone) sendLost(entry int, server string, lostAt time.Duration, healthy bool) (sent, trial bool) {
	tracker := z.entries[entry]
	if !tracker.Confirmed(server, lostAt, z.now) {
		if !tracker.MayBeginLostTrial(server, lostAt, z.now) {
			return false, false
		}
		tracker.BeginLostTrial(server, z.now)
		trial = true
	}
	outcome := Served
	if !healthy {
		outcome = Unreachable
	}
	tracker.Observe(Attempt{Server: server, Class: "route", Outcome: outcome, Sent: z.now, Lost: true, LostAt: lostAt}, z.now)
	return true, trial
}

// warmUp has every entry make as many attempts as it needs before it may try a lost server.
func (z *zone) warmUp(server string) {
	for _, entry := range z.entries {
		for range attemptsPerLostTrial {
			entry.Observe(Attempt{Server: server, Class: "route", Outcome: Served, Sent: z.now}, z.now)
		}
	}
	z.step(10*ms, 0)
}

// One served trial confirms the server at every entry of the zone, and the answers to one entry
// keep it confirmed at the others, which send it nothing.
func TestConfirmationHoldsInZone(t *testing.T) {
	z := newZone(4, 4)
	z.warmUp("s1")
	lostAt := z.now
	trials, reports := 0, 0
	for until := z.now + 3*time.Second; trials == 0 && z.now < until; z.step(20*ms, 60*ms) {
		for entry := range z.entries {
			if _, trial := z.sendLost(entry, "s0", lostAt, true); trial {
				trials++
				assert.GreaterOrEqual(t, z.now-lostAt, lostTrialDelay)
			}
		}
	}
	require.Equal(t, 1, trials)
	for until := z.now + 10*time.Second; z.now < until; z.step(50*ms, 60*ms) {
		_, trial := z.sendLost(0, "s0", lostAt, true)
		assert.False(t, trial)
		reports += len(z.entries[0].reports)
		for index, entry := range z.entries {
			assert.True(t, entry.Confirmed("s0", lostAt, z.now) || z.now-lostAt < 700*ms, "entry %d after %s", index, z.now-lostAt)
			assert.Equal(t, Healthy.String(), entry.State("s0", z.now).String())
		}
	}
	assert.LessOrEqual(t, reports, int(10*time.Second/confirmationInterval)+1)
	z.step(confirmationTTL+60*ms, 0)
	for _, entry := range z.entries {
		assert.False(t, entry.Confirmed("s0", lostAt, z.now), "the confirmation expires")
	}
	lostAgain := z.now
	z.warmUp("s1")
	assert.False(t, z.entries[0].Confirmed("s0", lostAgain, z.now))
}

// A reported answer from before the loss does not confirm a server, nor does one from before
// another server took its name.
func TestEarlierAnswersDoNotConfirm(t *testing.T) {
	first := newScript(t, 4)
	second := first.newPeer("e1")
	first.observe("s0", Errored, Served)
	answered := first.now
	second.receive(first, 60*ms)
	assert.True(t, second.tracker.Confirmed("s0", answered-2*ms, second.now))
	assert.False(t, second.tracker.Confirmed("s0", answered+ms, second.now))
	second.tracker.Reset("s0", second.now)
	first.observe("s0", Errored)
	second.receive(first, 60*ms)
	assert.False(t, second.tracker.Confirmed("s0", answered-2*ms, second.now))
}

// An agent that reaches its server and loses it again does not allow another trial while one is
// unfinished.
func TestServerLostAgainKeepsTrialPause(t *testing.T) {
	z := newZone(1, 4)
	z.warmUp("s1")
	lostAt := z.now
	z.step(lostTrialDelay, 0)
	tracker := z.entries[0]
	require.True(t, tracker.MayBeginLostTrial("s0", lostAt, z.now))
	tracker.BeginLostTrial("s0", z.now)
	began := z.now
	for ; z.now < began+trialTimeout; z.step(50*ms, 0) {
		z.warmUp("s1")
		assert.False(t, tracker.MayBeginLostTrial("s0", z.now-lostTrialDelay, z.now), "after %s", z.now-began)
	}
	z.warmUp("s1")
	assert.True(t, tracker.MayBeginLostTrial("s0", z.now-lostTrialDelay, z.now))
}

// A confirmation alone does not change the counts and the evidence against a server.
func TestConfirmationLeavesCountsUnchanged(t *testing.T) {
	first := newScript(t, 4)
	second := first.newPeer("e1")
	second.observe("s0", Errored)
	before := *second.tracker.servers["s0"]
	first.now = second.now
	first.tracker.Observe(Attempt{Server: "s0", Class: "route", Outcome: Served, Sent: first.now, Lost: true, LostAt: first.now - ms}, first.now)
	second.receive(first, 0)
	after := second.tracker.servers["s0"]
	assert.Equal(t, before.failurePeriod, after.failurePeriod)
	assert.Empty(t, after.peerEvidence)
}

// A confirmation by an entry with a failure long ago contains no failure counts.
func TestConfirmationAfterExpiredFailure(t *testing.T) {
	first := newScript(t, 4)
	second := first.newPeer("e1")
	first.observe("s0", Errored)
	first.tracker.TakeReports()
	first.now += 60 * time.Second
	second.now = first.now
	first.tracker.Observe(Attempt{Server: "s0", Class: "route", Outcome: Served, Sent: first.now, Lost: true, LostAt: first.now - ms}, first.now)
	reports := first.tracker.TakeReports()
	require.Len(t, reports, 1)
	assert.True(t, reports[0].confirmationOnly())
	second.tracker.ApplyReport(reports[0], second.now, second.now)
	assert.True(t, second.tracker.Confirmed("s0", first.now-2*ms, second.now))
	assert.Empty(t, second.tracker.servers["s0"].peerEvidence)
}

// A confirmation does not delay an ejection at another entry, whether or not the reporting entry
// had a failure there a minute ago.
func TestConfirmationDoesNotDelayEjection(t *testing.T) {
	needed := func(confirmed, earlier bool) int {
		first := newScript(t, 4)
		second := first.newPeer("e1")
		if earlier {
			first.observe("s0", Errored)
		}
		first.tracker.TakeReports()
		second.now += 60 * time.Second
		for range 40 {
			second.tracker.Observe(Attempt{Server: "s1", Class: "route", Outcome: Served, Sent: second.now}, second.now)
		}
		for range 4 {
			second.tracker.Observe(Attempt{Server: "s0", Class: "route", Outcome: Served, Sent: second.now}, second.now)
			second.now += 10 * ms
		}
		fail := func() {
			second.now += 10 * ms
			second.tracker.Observe(Attempt{Server: "s0", Class: "route", Outcome: Errored, Sent: second.now}, second.now+ms)
			second.now += ms
		}
		fail()
		if confirmed {
			first.now = second.now
			first.tracker.Observe(Attempt{Server: "s0", Class: "route", Outcome: Served, Sent: first.now, Lost: true, LostAt: first.now - ms}, first.now)
			second.receive(first, 0)
		}
		for count := 2; count < 40; count++ {
			fail()
			if second.tracker.State("s0", second.now) == Ejected {
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

// When half of a fleet's servers are down, this costs the callers of fifteen entries with 300
// requests a second at most one attempt in twenty, and in the end each lost server gets one request
// in 8 s.
func TestCostOfLostServers(t *testing.T) {
	const entries, servers, lost, pace = 15, 60, 30, 10 * ms
	z := newZone(entries, servers)
	random := rand.New(rand.NewPCG(1, 2))
	z.warmUp("s59")
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
					if until-z.now < maxLostTrialPause {
						last++
					}
					break
				}
			}
			healthy := fmt.Sprint("s", lost+random.IntN(servers-lost))
			z.entries[entry].Observe(Attempt{Server: healthy, Class: "route", Outcome: Served, Sent: z.now}, z.now)
		}
	}
	sum, maxTrials := 0, 0
	for _, count := range trials {
		sum, maxTrials = sum+count, max(maxTrials, count)
	}
	t.Logf("%d trials beside %d requests, at most %d at one server, %d in the last %s", sum, requests, maxTrials, last, maxLostTrialPause)
	assert.LessOrEqual(t, sum, requests/attemptsPerLostTrial+entries)
	assert.LessOrEqual(t, maxTrials, 10)
	assert.LessOrEqual(t, last, 2*lost)
	assert.Len(t, trials, lost, "every lost server is tried")
	for index, entry := range z.entries {
		assert.Empty(t, entry.Ejected(), "entry %d: lost servers do not count as ejected", index)
	}
	for range 2 {
		z.entries[0].Observe(Attempt{Server: "s40", Class: "route", Outcome: Errored, Sent: z.now}, z.now)
	}
	assert.Equal(t, []string{"s40"}, z.entries[0].Ejected())
}

// A lost server that is down gets one request of the zone in each pause, whatever the delay of
// reports. One that serves is soon confirmed at every entry.
func TestZoneRunsOneLostTrialAtATime(t *testing.T) {
	const servers, step = 4, 20 * ms
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 8).Draw(t, "entries")
		delay := time.Duration(rapid.IntRange(0, 150).Draw(t, "delay")) * ms
		z := newZone(entries, servers)
		z.warmUp("s1")
		for range rapid.IntRange(0, 60).Draw(t, "history") {
			z.send(rapid.IntRange(0, entries-1).Draw(t, "entry"), "s0", rapid.Float64Range(0, 1).Draw(t, "luck") > 0.3)
			z.step(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause"))*ms, delay)
		}
		lostAt := z.now
		sendAll := func(healthy bool) (trials int) {
			for entry := range entries {
				if _, trial := z.sendLost(entry, "s0", lostAt, healthy); trial {
					trials++
				}
				z.send(entry, "s1", true)
			}
			return trials
		}
		z.step(confirmationTTL, delay)
		var at []time.Duration
		for until := z.now + 30*time.Second; z.now < until; z.step(step, delay) {
			for range sendAll(false) {
				at = append(at, z.now)
			}
		}
		for index := 1; index < len(at); index++ {
			if pause := at[index] - at[index-1]; pause < trialTimeout {
				t.Fatalf("two trials within %s at %v", pause, at)
			}
		}
		if len(at) > 9 {
			t.Fatalf("%d trials in 30 s at %v", len(at), at)
		}
		bound := maxLostTrialPause + time.Duration(entries)*lostTurn + time.Second
		for until := z.now + bound; z.now < until; z.step(step, delay) {
			sendAll(true)
		}
		for index, entry := range z.entries {
			if !entry.Confirmed("s0", lostAt, z.now) {
				t.Fatalf("not confirmed at entry %d of %d after %s", index, entries, bound)
			}
		}
	})
}
