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

// receive applies all queued reports of another entry after a delay.
func (s *script) receive(from *script, delay time.Duration) *script {
	for _, report := range from.tracker.TakeReports() {
		s.tracker.ApplyReport(report, from.now, from.now+delay)
	}
	s.now = max(s.now, from.now+delay)
	return s
}

// newPeer returns the script of another entry of the zone.
func (s *script) newPeer(name string) *script {
	other := &script{t: s.t, tracker: New(name), now: s.now}
	other.tracker.SetServers("service", s.tracker.services["service"].servers)
	return other
}

// An ejection found by one entry applies at another without observations of its own, and so does
// the server's return.
func TestEjectionAndReturnHoldInZone(t *testing.T) {
	first := newScript(t, 8)
	second := first.newPeer("e1")
	first.observe("s0", Errored, Errored)
	second.receive(first, 60*ms).expect("s0", Ejected)
	first.wait(baseEjection).runTrial("s0", Served)
	second.receive(first, 60*ms).expect("s0", Healthy)
}

// An entry's successes from before the fault do not outweigh a reported ejection. Successes since
// the fault began do.
func TestOwnSuccessesOutweighReportedEjection(t *testing.T) {
	first := newScript(t, 8)
	before, after := first.newPeer("e1"), first.newPeer("e2")
	before.observe("s0", Served, Served, Served)
	first.wait(100*ms).observe("s0", Errored)
	after.now = first.now
	after.wait(5*ms).observe("s0", Served, Served)
	first.wait(50*ms).observe("s0", Errored)
	reports := first.tracker.reports
	before.receive(first, 60*ms).expect("s0", Ejected)
	first.tracker.reports = reports
	after.receive(first, 60*ms).expect("s0", Suspect).wait(peerEvidenceTTL).expect("s0", Healthy)
}

// An entry whose own connections fail can't eject all servers of the zone.
func TestOneEntryCannotEjectManyServersForZone(t *testing.T) {
	first := newScript(t, 16)
	second := first.newPeer("e1")
	for server := range 16 {
		first.observe(fmt.Sprint("s", server), Unreachable, Unreachable)
		second.receive(first, 60*ms)
	}
	assert.Len(t, second.tracker.Ejected(), 2)
	third := first.newPeer("e2")
	for server := range 4 {
		third.observe(fmt.Sprint("s", 8+server), Unreachable, Unreachable)
		second.receive(third, 60*ms)
	}
	assert.Greater(t, len(second.tracker.Ejected()), 4, "the limit does not apply when two entries agree")
}

// An entry that starts may receive reports before it has the list of servers.
func TestReportsOnUnlistedServers(t *testing.T) {
	first := newScript(t, 8)
	starting := &script{t: t, tracker: New("e1"), now: first.now}
	for range 2 * maxPendingReports {
		starting.tracker.ApplyReport(Report{Server: "elsewhere", Entry: "e2", Ejected: true}, first.now, first.now)
	}
	first.observe("s0", Errored, Errored)
	// The new entry's clock starts at its own start.
	for _, report := range first.tracker.TakeReports() {
		starting.tracker.ApplyReport(report, -100*ms, 50*ms)
	}
	starting.now = 60 * ms
	assert.Len(t, starting.tracker.pending, maxPendingReports)
	changes := starting.tracker.SetServers("service", names("s", 8))
	assert.Len(t, changes, 1)
	starting.expect("s0", Ejected).expect("s1", Healthy)
	assert.Len(t, starting.tracker.pending, maxPendingReports-2, "both reports on the listed server are applied")
}

// Another entry's evidence counts less than an own failure and decays, and any number of other
// entries do not eject a server by evidence alone.
func TestPeerEvidenceIsDiscountedAndDecays(t *testing.T) {
	second := newScript(t, 8)
	for entry := range 3 * maxPeers {
		other := second.newPeer(fmt.Sprint("e", 1+entry))
		second.receive(other.observe("s0", Errored), 0)
	}
	assert.Len(t, second.tracker.servers["s0"].peerEvidence, maxPeers)
	second.expect("s0", Suspect)
	assert.InDelta(t, maxPeerEvidence, second.tracker.View("s0", second.now).PeerEvidence, 0.01)
	second.observe("s0", Errored).expect("s0", Ejected)
	third := newScript(t, 8)
	third.receive(third.newPeer("e1").observe("s0", Errored), 0)
	fresh := third.tracker.View("s0", third.now).PeerEvidence
	assert.Less(t, fresh, suspectThreshold/1.5)
	third.wait(peerEvidenceTTL / 2)
	assert.Less(t, third.tracker.View("s0", third.now).PeerEvidence, 0.6*fresh)
	assert.Zero(t, third.wait(peerEvidenceTTL).tracker.View("s0", third.now).PeerEvidence)
}

// zone simulates entries that exchange reports with a delay.
type zone struct {
	entries    []*Tracker
	now        time.Duration
	deliveries []delivery
}

type delivery struct {
	report            Report
	to                int
	sentAt, arrivesAt time.Duration
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

// step advances the time and delivers reports.
func (z *zone) step(duration, delay time.Duration) {
	z.now += duration
	var kept []delivery
	for _, pending := range z.deliveries {
		if pending.arrivesAt > z.now {
			kept = append(kept, pending)
			continue
		}
		z.entries[pending.to].ApplyReport(pending.report, pending.sentAt, z.now)
	}
	z.deliveries = kept
	for from, entry := range z.entries {
		for _, report := range entry.TakeReports() {
			for to := range z.entries {
				if to != from {
					z.deliveries = append(z.deliveries, delivery{report: report, to: to, sentAt: z.now, arrivesAt: z.now + delay})
				}
			}
		}
	}
}

// send sends a request from an entry to a server, if the entry may send one. The request ends at
// once.
func (z *zone) send(entry int, server string, healthy bool) (sent bool) {
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
	if !healthy {
		outcome = Errored
	}
	tracker.Observe(Attempt{Server: server, Class: "route", Outcome: outcome, Sent: z.now}, z.now)
	return true
}

// run sends requests from random entries to the servers in turn for a time; fails tells whether a
// request fails. It returns the failures at s0 and the fraction of the time in which s0 was ejected
// or on trial at the first entry.
func (z *zone) run(duration time.Duration, fails func(server, number int) bool) (failures int, ejectedRatio float64) {
	const pace, delay = 10 * ms, 100 * ms
	random := rand.New(rand.NewPCG(3, 4))
	steps, ejectedSteps := 0, 0
	for until := z.now + duration; z.now < until; z.step(pace, delay) {
		server := steps % 6
		failed := fails(server, steps)
		if z.send(random.IntN(len(z.entries)), fmt.Sprint("s", server), !failed) && failed && server == 0 {
			failures++
		}
		if state := z.entries[0].State("s0", z.now); state == Ejected || state == OnTrial {
			ejectedSteps++
		}
		steps++
	}
	return failures, float64(ejectedSteps) / float64(steps)
}

// Fifteen entries, each with about one request a second to a server, lose few requests to one that
// fails all, and detect it within half a second. A server that fails 4 in 10 stays in use as a
// suspect, and baseline failures do not eject a server.
func TestZoneFailuresAtFailingServer(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	z := newZone(15, 6)
	noFailures := func(int, int) bool { return false }
	_, ejectedRatio := z.run(10*time.Second, noFailures)
	assert.Zero(t, ejectedRatio)
	failures, _ := z.run(time.Second, func(server, _ int) bool { return server == 0 })
	assert.LessOrEqual(t, failures, 6)
	for index, entry := range z.entries {
		assert.NotEqual(t, Healthy.String(), entry.State("s0", z.now).String(), "entry %d", index)
	}
	failures, ejectedRatio = z.run(10*time.Second, func(server, _ int) bool { return server == 0 })
	assert.LessOrEqual(t, failures, 11, "one trial per second")
	assert.Greater(t, ejectedRatio, 0.98)

	z = newZone(15, 6)
	z.run(10*time.Second, noFailures)
	_, ejectedRatio = z.run(10*time.Second, func(server, number int) bool { return server == 0 && random.Float64() < 0.4 })
	assert.Less(t, ejectedRatio, 0.3)

	z = newZone(15, 6)
	_, ejectedRatio = z.run(30*time.Second, func(_, number int) bool { return random.Float64() < 0.14 })
	assert.Less(t, ejectedRatio, 0.02)
}

// Whatever happened before, a server that fails everything gets at most one request of the whole
// zone in each ejection period once it is ejected, and a server that has recovered is in use at
// every entry within a bounded time.
func TestZoneRunsOneTrialAtATimeAndServersReturn(t *testing.T) {
	const step, servers = 20 * ms, 6
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 8).Draw(t, "entries")
		delay := time.Duration(rapid.IntRange(0, 150).Draw(t, "delay")) * ms
		z := newZone(entries, servers)
		for range rapid.IntRange(0, 400).Draw(t, "history") {
			z.send(rapid.IntRange(0, entries-1).Draw(t, "entry"), fmt.Sprint("s", rapid.IntRange(0, servers-1).Draw(t, "server")), rapid.Float64Range(0, 1).Draw(t, "luck") > 0.3)
			z.step(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause"))*ms, delay)
		}
		for until := z.now + 10*maxEjection; z.now < until; z.step(step, delay) {
			for entry := range entries {
				z.send(entry, "s0", false)
				z.send(entry, fmt.Sprint("s", 1+entry%(servers-1)), true)
			}
		}
		var failed []time.Duration
		for until := z.now + 8*maxEjection; z.now < until; z.step(step, delay) {
			for entry := range entries {
				if z.send(entry, "s0", false) {
					failed = append(failed, z.now)
				}
			}
		}
		for index := 1; index < len(failed); index++ {
			if pause := failed[index] - failed[index-1]; pause < maxEjection {
				t.Fatalf("two requests within %s at %v", pause, failed)
			}
		}
		// A healthy server returns: it is ejected for at most maxEjection and then tried within one
		// round of turns.
		bound := maxEjection + time.Duration(entries)*trialTurn + time.Second
		for until := z.now + bound; z.now < until; z.step(step, delay) {
			for entry := range entries {
				z.send(entry, "s0", true)
			}
		}
		for index, entry := range z.entries {
			if state := entry.State("s0", z.now); state != Healthy {
				t.Fatalf("%s at entry %d of %d after %s", state, index, entries, bound)
			}
			if len(entry.servers) != servers || len(entry.reports) > 0 {
				t.Fatalf("%d servers, %d reports stored", len(entry.servers), len(entry.reports))
			}
		}
	})
}

// Every report that an entry makes itself passes Validate.
func TestOwnReportsAreValid(t *testing.T) {
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
			tracker.Observe(Attempt{Server: server, Outcome: Outcome(rapid.IntRange(1, outcomeCount-1).Draw(t, "outcome")), Sent: now}, now)
			for _, report := range tracker.TakeReports() {
				assert.NoError(t, report.Validate())
				assert.Equal(t, report, report.clamped())
			}
		}
	})
}

// Each field of a report has its bounds.
func TestReportsOutOfBoundsAreInvalid(t *testing.T) {
	valid := Report{Server: "s0", Entry: "e1", Ejected: true, Round: 1, Remaining: maxEjection, Evidence: maxEvidence}
	assert.NoError(t, valid.Validate())
	for field, corrupt := range map[string]func(*Report){
		"since":    func(r *Report) { r.FailureAge = -1 },
		"changed":  func(r *Report) { r.StateAge = MaxDuration + 1 },
		"left":     func(r *Report) { r.Remaining = maxEjection + 1 },
		"round":    func(r *Report) { r.Round = 0 },
		"evidence": func(r *Report) { r.Evidence = math.NaN() },
		"failed":   func(r *Report) { r.Failed = math.Inf(1) },
		"served":   func(r *Report) { r.Served = -1 },
		"answered": func(r *Report) { r.AnswerAge = -1 },
		"tried":    func(r *Report) { r.LostTrialAge = MaxDuration + 1 },
	} {
		report := valid
		corrupt(&report)
		var invalid *InvalidReportError
		if assert.ErrorAs(t, report.Validate(), &invalid, field) {
			assert.Equal(t, field, invalid.Field)
		}
		assert.NoError(t, report.clamped().Validate(), field)
	}
}

// Another entry's report on a known ejection does not end this entry's trial; one on a later
// ejection does.
func TestReportOnKnownEjectionKeepsTrial(t *testing.T) {
	first := newScript(t, 8)
	second := first.newPeer("e1")
	first.observe("s0", Errored, Errored)
	reports := first.tracker.TakeReports()
	ejection := reports[len(reports)-1]
	second.tracker.ApplyReport(ejection, first.now, first.now)
	second.now = first.now + baseEjection + 50*ms
	second.expect("s0", OnTrial)
	assert.True(t, second.tracker.BeginTrial("s0", second.now))
	assert.False(t, second.tracker.BeginTrial("s0", second.now), "one trial at a time")
	copied := ejection
	copied.Entry = "e2"
	second.tracker.ApplyReport(copied, first.now+40*ms, second.now)
	assert.False(t, second.tracker.MayBeginTrial("s0", true, second.now))
	assert.True(t, second.tracker.servers["s0"].ownTrial)
	second.wait(100 * ms)
	copied.Round++
	second.tracker.ApplyReport(copied, second.now, second.now)
	assert.False(t, second.tracker.servers["s0"].ownTrial)
	second.expect("s0", Ejected)
}

// Reports on a server from before another one took its name do not apply to the new one.
func TestResetServerIgnoresEarlierReports(t *testing.T) {
	first := newScript(t, 8)
	second := first.newPeer("e1")
	first.observe("s0", Errored, Errored)
	reports := first.tracker.TakeReports()
	second.now = first.now + 100*ms
	second.tracker.Reset("s0", second.now)
	second.tracker.ApplyReport(reports[len(reports)-1], first.now, second.now)
	second.expect("s0", Healthy)
}

// The order of turns depends on the current members of the zone and on the round of the ejection.
func TestTurnOrderFollowsMembersAndRound(t *testing.T) {
	s := newScript(t, 8).observe("s0", Errored, Errored).wait(baseEjection)
	for _, others := range [][]string{names("e", 5), names("f", 7), nil} {
		s.tracker.SetMembers(others)
		for round := 1; round <= maxRounds; round++ {
			rec := s.tracker.servers["s0"]
			rec.round = round
			order := placement.Rank(fmt.Sprint("s0/", round), s.tracker.members)
			for turn := range 2 * len(order) {
				now := rec.ejectedUntil + time.Duration(turn)*trialTurn
				assert.Equal(t, order[turn%len(order)] == s.tracker.self, s.tracker.MayBeginTrial("s0", true, now))
			}
		}
	}
}
