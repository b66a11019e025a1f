package silence

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	ms   = time.Millisecond
	tick = 25 * ms
)

// fixture holds the connections of a test, which a detector observes at each tick.
type fixture struct {
	detector *Detector
	now      time.Duration
	open     []Observation
}

func newFixture() *fixture { return &fixture{detector: NewDetector(), now: time.Second} }

// addIdle adds a connection that was opened long ago and has just received a byte.
func (f *fixture) addIdle(server string) *Observation {
	f.open = append(f.open, Observation{ID: uint64(len(f.open) + 1), Server: server, Opened: f.now - 500*ms, LastRead: f.now, HasTCPInfo: true, LastPacket: f.now, TypicalWait: 60 * ms, ExpectedWait: 60 * ms})
	return &f.open[len(f.open)-1]
}

// sendRepeatable sends a request that may be repeated.
func (f *fixture) sendRepeatable(id int) {
	f.send(id)
	f.open[id-1].Repeatable = true
}

// addAnswered adds connections made now, which receive an answer after a while that was expected to
// take a given time.
func (f *fixture) addAnswered(after, expected time.Duration, servers ...string) {
	first := len(f.open)
	for _, server := range servers {
		f.addIdle(server).Opened = f.now
	}
	f.now += after
	for index := range f.open[first:] {
		f.open[first+index].LastRead, f.open[first+index].ExpectedWait = f.now, expected
	}
}

// send sends a request that must not be repeated.
func (f *fixture) send(id int) {
	f.open[id-1].Waiting, f.open[id-1].Requested = true, f.now
}

// advance advances the time with ticks, while the given connections stay unacknowledged.
func (f *fixture) advance(time time.Duration, unacknowledged ...int) (all []Result) {
	for end := f.now + time; f.now < end; {
		f.now += tick
		for _, id := range unacknowledged {
			f.open[id-1].Unacknowledged = f.now - f.open[id-1].Requested
		}
		all = append(all, f.detector.Tick(f.now, f.open))
	}
	return all
}

func probed(all []Result) (servers []string) {
	for _, result := range all {
		servers = append(servers, result.Probe...)
	}
	return servers
}

func silentSets(all []Result) (found []SilentSet) {
	for _, result := range all {
		found = append(found, result.Silent...)
	}
	return found
}

// A connection with unacknowledged bytes is silent once a newer one has come up. The idle ones to
// the same server are affected too, those to others are not.
func TestUnacknowledgedConnectionIsSilentAfterNewerConnects(t *testing.T) {
	f := newFixture()
	f.addIdle("a")
	f.addIdle("a")
	f.addIdle("b")
	f.send(1)
	all := f.advance(300*ms, 1)
	assert.Equal(t, []string{"a"}, probed(all))
	assert.Empty(t, silentSets(all))
	f.detector.RecordProbe("a", f.now, true)
	found := silentSets(f.advance(tick, 1))
	assert.Len(t, found, 1)
	assert.True(t, found[0].Covers(f.open[0]))
	assert.True(t, found[0].Covers(f.open[1]))
	assert.False(t, found[0].Covers(f.open[2]), "belongs to another server")
	f.send(2)
	assert.False(t, found[0].Covers(f.open[1]), "a connection that carries a request may work")
}

// After silences at two servers, all connections of that age count as silent, except those with
// activity since.
func TestOldConnectionsToAllServersAreSilent(t *testing.T) {
	f := newFixture()
	for _, server := range []string{"a", "b", "c", "d"} {
		f.addIdle(server)
	}
	f.send(1)
	f.send(2)
	f.sendRepeatable(3)
	f.advance(275*ms, 1, 2)
	f.detector.RecordProbe("a", f.now, true)
	f.detector.RecordProbe("b", f.now, true)
	f.open[3].LastPacket = f.now
	found := silentSets(f.advance(tick, 1, 2))
	common := found[len(found)-1]
	assert.Empty(t, common.Server)
	assert.True(t, common.Covers(f.open[2]))
	assert.False(t, common.Covers(f.open[3]))
}

// Behind a congested link or a partition no newer connection comes up first, so that no silence is
// confirmed.
func TestFailedProbeConfirmsNothing(t *testing.T) {
	f := newFixture()
	f.addIdle("a")
	f.addIdle("b")
	f.send(1)
	f.send(2)
	f.advance(300*ms, 1, 2)
	f.detector.RecordProbe("a", f.now, false)
	all := f.advance(2*time.Second, 1, 2)
	assert.Empty(t, silentSets(all))
	assert.LessOrEqual(t, len(probed(all)), 4, "probes are rate-limited")
}

// One lost packet is retransmitted after 0.2 s and causes no probe.
func TestSinglePacketLossIsNotSilence(t *testing.T) {
	f := newFixture()
	f.addIdle("a")
	f.send(1)
	all := f.advance(225*ms, 1)
	f.open[0].Unacknowledged, f.open[0].LastPacket = 0, f.now
	all = append(all, f.advance(2*time.Second)...)
	assert.Empty(t, probed(all))
	assert.Empty(t, silentSets(all))
}

// After a pause of the process, data that was not read meanwhile shows nothing.
func TestProcessPauseIsNotSilence(t *testing.T) {
	f := newFixture()
	for _, server := range []string{"a", "b", "c"} {
		f.addIdle(server)
	}
	for id := 1; id <= 3; id++ {
		f.sendRepeatable(id)
	}
	f.detector.SkipTick(f.now)
	f.now += 3 * time.Second
	all := f.advance(100*ms, 1, 2, 3)
	assert.Empty(t, probed(all))
	assert.Empty(t, silentSets(all))
}

// Packets are acknowledged but not forwarded: answers of several servers are overdue, and once
// newer connections are answered the old ones count as silent.
func TestOverdueAnswersOnOldConnectionsOnly(t *testing.T) {
	f := newFixture()
	for _, server := range []string{"a", "a", "b", "c"} {
		f.addIdle(server)
	}
	for id := 1; id <= 3; id++ {
		f.sendRepeatable(id)
	}
	all := f.advance(300 * ms)
	assert.Empty(t, silentSets(all))
	for _, server := range []string{"a", "b", "b"} {
		f.addIdle(server)
		f.open[len(f.open)-1].Opened = f.now
	}
	f.now += tick
	for id := 5; id <= 7; id++ {
		f.open[id-1].LastRead = f.now
	}
	found := silentSets(f.advance(tick))
	assert.Len(t, found, 1)
	for id, silent := range []bool{true, true, true, true, false, false, false} {
		assert.Equal(t, silent, found[0].Covers(f.open[id]), "connection %d", id+1)
	}
}

// Servers that become slow together, or hang, answer no sooner on new connections. Old connections
// that receive anything do not count as silent.
func TestSlowServersAreNotSilent(t *testing.T) {
	f := newFixture()
	for _, server := range []string{"a", "b", "c", "d"} {
		f.addIdle(server)
	}
	for id := 1; id <= 3; id++ {
		f.sendRepeatable(id)
	}
	f.addIdle("a")
	f.open[4].Opened = f.now
	f.sendRepeatable(5)
	all := f.advance(2 * time.Second)
	assert.Empty(t, silentSets(all), "the new connection is silent too")
	f.addAnswered(60*ms, 60*ms, "a", "b", "b")
	f.open[3].LastRead = f.now - 100*ms
	assert.Empty(t, silentSets(f.advance(tick)), "an old connection has received a byte")
	f.open[3].LastRead = f.now - time.Second
	assert.NotEmpty(t, silentSets(f.advance(tick)), "no old connection has received a byte")
}

// The connections of one server that hangs show nothing about those of others.
func TestOneHungServerIsNotSilence(t *testing.T) {
	f := newFixture()
	for range 5 {
		f.addIdle("a")
	}
	f.addIdle("b")
	for id := 1; id <= 5; id++ {
		f.sendRepeatable(id)
	}
	all := f.advance(2 * time.Second)
	assert.Empty(t, silentSets(all))
}

// Three heavy requests with acknowledged packets at two healthy servers, and three light ones on
// newer connections: no connection counts as silent if the heavy requests must not be repeated, or
// if they may be and the light ones were expected to take less time.
func TestHeavyRequestsAreNotSilence(t *testing.T) {
	for name, repeatable := range map[string]bool{"may run once": false, "may be repeated": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			for _, server := range []string{"a", "a", "b"} {
				f.addIdle(server)
			}
			expected := 60 * ms
			for id := 1; id <= 3; id++ {
				f.send(id) // heavy: 1 s of work, where 60 ms is typical
				if repeatable {
					f.sendRepeatable(id)
					expected = 40 * ms
				}
			}
			f.advance(300 * ms)
			f.addAnswered(60*ms, expected, "a", "b", "b")
			assert.Empty(t, silentSets(f.advance(tick)))
		})
	}
}

// A request that must not be repeated keeps waiting when connections are found silent by answers
// alone.
func TestNonRepeatableRequestIsNotCoveredByAnswers(t *testing.T) {
	f := newFixture()
	for _, server := range []string{"a", "a", "b", "b"} {
		f.addIdle(server)
	}
	for id := 1; id <= 3; id++ {
		f.sendRepeatable(id)
	}
	f.send(4)
	f.advance(300 * ms)
	f.addAnswered(tick, 60*ms, "a", "b", "b")
	found := silentSets(f.advance(tick))
	assert.Len(t, found, 1)
	for id, silent := range []bool{true, true, true, false, false, false, false} {
		assert.Equal(t, silent, found[0].Covers(f.open[id]), "connection %d", id+1)
	}
}

// Connections to two servers, or two to one, lose two packets in a row. Acknowledged requests that
// wait at their server and requests that must not be repeated are not covered; an unacknowledged
// request and a stream with overdue events are.
func TestAcknowledgedRequestsSurvivePacketLoss(t *testing.T) {
	covered := []bool{true, true, false, false, true, true, false, true}
	for name, test := range map[string]struct {
		servers []string
		// activeAt is when a connection to the first server shows activity: first with data in flight
		// from before the losses, and from minActivityDelay on with data that shows that the server
		// works.
		activeAt time.Duration
		covered  []bool
	}{
		"two servers":                         {[]string{"a", "b"}, 50 * ms, covered},
		"one server":                          {[]string{"a", "a"}, 50 * ms, covered},
		"two servers, of which one works":     {[]string{"a", "b"}, minActivityDelay, []bool{true, true, false, false, false, false, false, false}},
		"one server, with two silent at once": {[]string{"a", "a"}, minActivityDelay, covered},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			for _, server := range append(test.servers, "a", "a", "a", "a", "a", "a") {
				f.addIdle(server)
			}
			f.send(1)
			f.send(2)
			f.send(3)
			f.sendRepeatable(4)
			f.open[3].Acknowledged = true
			// A stream that is only read, and an answer that receives a part now and then.
			for _, id := range []int{5, 7} {
				f.sendRepeatable(id)
				f.open[id-1].Acknowledged, f.open[id-1].Requested = true, f.now-200*ms
			}
			f.open[6].LastRead = f.now
			f.advance(test.activeAt, 1, 2)
			f.open[6].LastRead, f.open[6].LastPacket = f.now, f.now
			f.advance(100*ms-test.activeAt, 1, 2)
			f.sendRepeatable(8)
			f.advance(175*ms, 1, 2)
			for _, server := range test.servers {
				f.detector.RecordProbe(server, f.now, true)
			}
			found := silentSets(f.advance(tick, 1, 2, 8))
			for id, silent := range test.covered {
				assert.Equal(t, silent, coveredByAny(found, f.open[id]), "connection %d", id+1)
			}
		})
	}
}

// coveredByAny reports whether one of the sets includes a connection.
func coveredByAny(found []SilentSet, o Observation) bool {
	return slices.ContainsFunc(found, func(set SilentSet) bool { return set.Covers(o) })
}

// On links that lost one packet in twenty, up to 86 connections were given up within four seconds:
// two connections to two servers that each lost two packets in a row took all idle ones with them,
// though others of the same age received answers.
//
// Connections of a server are not covered if an older one has shown activity since, except those
// found silent themselves. Those of servers without such activity are covered.
func TestWorkingConnectionSparesItsServer(t *testing.T) {
	for name, test := range map[string]struct {
		working []int
		// fresh are servers with a working connection that was made after the last activity of the
		// silent ones.
		fresh []string
		// covered tells which of the connections 1 to 6 count as silent: one to a and one to b that
		// are unacknowledged, idle ones to a, b and c, and a second idle one to c.
		covered []bool
	}{
		"none works":       {nil, nil, []bool{true, true, true, true, true, true}},
		"fresh ones do":    {nil, []string{"a", "b", "c"}, []bool{true, true, true, true, true, true}},
		"one to c works":   {[]int{6}, nil, []bool{true, true, true, true, false, false}},
		"one to a works":   {[]int{3}, nil, []bool{true, true, false, true, false, false}},
		"those to a and b": {[]int{3, 4}, nil, []bool{true, true, false, false, false, false}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			for _, server := range []string{"a", "b", "a", "b", "c", "c"} {
				f.addIdle(server)
			}
			f.advance(2 * tick)
			f.send(1)
			f.send(2)
			f.advance(minActivityDelay+tick, 1, 2)
			for _, id := range test.working {
				f.open[id-1].LastRead = f.now
			}
			for _, server := range test.fresh {
				f.addIdle(server).Opened = f.open[0].LastRead + time.Millisecond
			}
			f.advance(UnacknowledgedLimit-minActivityDelay, 1, 2)
			f.detector.RecordProbe("a", f.now, true)
			f.detector.RecordProbe("b", f.now, true)
			found := silentSets(f.advance(tick, 1, 2))
			for id, silent := range test.covered {
				assert.Equal(t, silent, coveredByAny(found, f.open[id]), "connection %d", id+1)
			}
		})
	}
}

// A silence of all connections right after a packet loss on one of them is detected as fast,
// whether or not another connection to the same server goes silent with a request: activity between
// the loss and the silence shows nothing about the silence.
func TestSilenceAfterPacketLossIsDetected(t *testing.T) {
	for name, unacknowledged := range map[string][]int{"one each": {1, 2}, "two to the first": {1, 2, 3}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			for _, server := range []string{"a", "b", "a", "a", "b", "c", "c"} {
				f.addIdle(server)
			}
			f.advance(2 * tick)
			f.send(1) // its packet is lost, and the retransmission falls into the silence
			f.advance(6*tick, 1)
			f.open[3].LastRead, f.open[3].LastPacket = f.now, f.now
			f.advance(tick, 1)
			for _, id := range unacknowledged[1:] {
				f.send(id)
			}
			var found []SilentSet
			for step := range 20 {
				if step > 2 {
					f.detector.RecordProbe("a", f.now, true)
					f.detector.RecordProbe("b", f.now, true)
				}
				for _, set := range silentSets(f.advance(tick, unacknowledged...)) {
					found = append(found, set)
					for index := range f.open {
						if set.Covers(f.open[index]) {
							f.open[index].Waiting = false
						}
					}
				}
			}
			for _, id := range []int{1, 2, 3, 5, 6, 7} {
				assert.True(t, coveredByAny(found, f.open[id-1]), "connection %d", id)
			}
		})
	}
}

// A server that has not been observed for serverTTL is removed.
func TestRemovedServersAreForgotten(t *testing.T) {
	f := newFixture()
	f.addIdle("a")
	f.send(1)
	f.advance(275*ms, 1)
	f.detector.RecordProbe("a", f.now, true)
	assert.NotEmpty(t, silentSets(f.advance(tick, 1)))
	f.open = nil
	f.addIdle("b")
	f.now += 2 * serverTTL
	f.advance(tick)
	assert.NotContains(t, f.detector.probes, "a")
	assert.Contains(t, f.detector.probes, "b")
	assert.Empty(t, f.detector.silentAt)
	assert.Empty(t, f.detector.silentSince)
	assert.Empty(t, f.detector.lastActive)
}
