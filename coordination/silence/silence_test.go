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

// world is a script's connections, which a judge looks at each tick.
type world struct {
	judge *Detector
	now   time.Duration
	open  []Observation
}

func newWorld() *world { return &world{judge: NewDetector(), now: time.Second} }

// kept adds a connection that was opened long ago and has just been heard.
func (w *world) kept(server string) *Observation {
	w.open = append(w.open, Observation{ID: uint64(len(w.open) + 1), Server: server, Opened: w.now - 500*ms, LastRead: w.now, HasTCPInfo: true, LastPacket: w.now, UsualWait: 60 * ms, ExpectedWait: 60 * ms})
	return &w.open[len(w.open)-1]
}

// askAgain sends a request that may be repeated.
func (w *world) askAgain(id int) {
	w.ask(id)
	w.open[id-1].Repeatable = true
}

// answered adds connections made now, which bring an answer a while later that was expected to
// take some time.
func (w *world) answered(after, expected time.Duration, servers ...string) {
	first := len(w.open)
	for _, server := range servers {
		w.kept(server).Opened = w.now
	}
	w.now += after
	for index := range w.open[first:] {
		w.open[first+index].LastRead, w.open[first+index].ExpectedWait = w.now, expected
	}
}

// ask sends a request on a connection, which may run once.
func (w *world) ask(id int) {
	w.open[id-1].Waiting, w.open[id-1].Requested = true, w.now
}

// pass lets time pass, with ticks; unacknowledged connections stay so.
func (w *world) pass(time time.Duration, unacknowledged ...int) (all []Result) {
	for end := w.now + time; w.now < end; {
		w.now += tick
		for _, id := range unacknowledged {
			w.open[id-1].Unacknowledged = w.now - w.open[id-1].Requested
		}
		all = append(all, w.judge.Tick(w.now, w.open))
	}
	return all
}

func tried(all []Result) (servers []string) {
	for _, one := range all {
		servers = append(servers, one.Probe...)
	}
	return servers
}

func distrusts(all []Result) (found []SilentSet) {
	for _, one := range all {
		found = append(found, one.Silent...)
	}
	return found
}

// One connection whose bytes nobody acknowledges is silent once a later one has come up; the
// resting ones of the same server go with it, others stay.
func TestUnacknowledgedConnectionIsSilentOnceALaterOneCameUp(t *testing.T) {
	w := newWorld()
	w.kept("a")
	w.kept("a")
	w.kept("b")
	w.ask(1)
	all := w.pass(300*ms, 1)
	assert.Equal(t, []string{"a"}, tried(all))
	assert.Empty(t, distrusts(all))
	w.judge.RecordProbe("a", w.now, true)
	found := distrusts(w.pass(tick, 1))
	assert.Len(t, found, 1)
	assert.True(t, found[0].Covers(w.open[0]))
	assert.True(t, found[0].Covers(w.open[1]))
	assert.False(t, found[0].Covers(w.open[2]), "another server's")
	w.ask(2)
	assert.False(t, found[0].Covers(w.open[1]), "one that carries a request may be sound")
}

// Connections of two servers: all that are as old are distrusted, save those that have shown
// a sign of life since.
func TestOldConnectionsOfAllServersAreDistrusted(t *testing.T) {
	w := newWorld()
	for _, server := range []string{"a", "b", "c", "d"} {
		w.kept(server)
	}
	w.ask(1)
	w.ask(2)
	w.askAgain(3)
	w.pass(275*ms, 1, 2)
	w.judge.RecordProbe("a", w.now, true)
	w.judge.RecordProbe("b", w.now, true)
	w.open[3].LastPacket = w.now
	found := distrusts(w.pass(tick, 1, 2))
	common := found[len(found)-1]
	assert.Empty(t, common.Server)
	assert.True(t, common.Covers(w.open[2]))
	assert.False(t, common.Covers(w.open[3]))
}

// Behind a narrow link or a cut no later connection comes up first: nothing is proven.
func TestUnansweredTryProvesNothing(t *testing.T) {
	w := newWorld()
	w.kept("a")
	w.kept("b")
	w.ask(1)
	w.ask(2)
	w.pass(300*ms, 1, 2)
	w.judge.RecordProbe("a", w.now, false)
	all := w.pass(2*time.Second, 1, 2)
	assert.Empty(t, distrusts(all))
	assert.LessOrEqual(t, len(tried(all)), 4, "tries are rare")
}

// One lost packet is sent again after 0.2 s: nothing is tried.
func TestSingleLossIsNoReason(t *testing.T) {
	w := newWorld()
	w.kept("a")
	w.ask(1)
	all := w.pass(225*ms, 1)
	w.open[0].Unacknowledged, w.open[0].LastPacket = 0, w.now
	all = append(all, w.pass(2*time.Second)...)
	assert.Empty(t, tried(all))
	assert.Empty(t, distrusts(all))
}

// After a pause of the process nothing that was not read meanwhile proves anything.
func TestPauseOfTheProcessIsNoSilence(t *testing.T) {
	w := newWorld()
	for _, server := range []string{"a", "b", "c"} {
		w.kept(server)
	}
	for id := 1; id <= 3; id++ {
		w.askAgain(id)
	}
	w.judge.SkipTick(w.now)
	w.now += 3 * time.Second
	all := w.pass(100*ms, 1, 2, 3)
	assert.Empty(t, tried(all))
	assert.Empty(t, distrusts(all))
}

// Packets are acknowledged and not passed on: answers of several servers are overdue, and once
// newer connections are answered the old ones are distrusted.
func TestOverdueAnswersOnOldConnectionsOnly(t *testing.T) {
	w := newWorld()
	for _, server := range []string{"a", "a", "b", "c"} {
		w.kept(server)
	}
	for id := 1; id <= 3; id++ {
		w.askAgain(id)
	}
	all := w.pass(300 * ms)
	assert.Empty(t, distrusts(all))
	for _, server := range []string{"a", "b", "b"} {
		w.kept(server)
		w.open[len(w.open)-1].Opened = w.now
	}
	w.now += tick
	for id := 5; id <= 7; id++ {
		w.open[id-1].LastRead = w.now
	}
	found := distrusts(w.pass(tick))
	assert.Len(t, found, 1)
	for id, distrusted := range []bool{true, true, true, true, false, false, false} {
		assert.Equal(t, distrusted, found[0].Covers(w.open[id]), "connection %d", id+1)
	}
}

// Servers that have become slow together, or hang, answer on new connections no sooner; and
// while anything comes in on the old ones these are believed.
func TestSlowServersAreNoSilence(t *testing.T) {
	w := newWorld()
	for _, server := range []string{"a", "b", "c", "d"} {
		w.kept(server)
	}
	for id := 1; id <= 3; id++ {
		w.askAgain(id)
	}
	w.kept("a")
	w.open[4].Opened = w.now
	w.askAgain(5)
	all := w.pass(2 * time.Second)
	assert.Empty(t, distrusts(all), "the new connection is mute too")
	w.answered(60*ms, 60*ms, "a", "b", "b")
	w.open[3].LastRead = w.now - 100*ms
	assert.Empty(t, distrusts(w.pass(tick)), "an old connection has been heard")
	w.open[3].LastRead = w.now - time.Second
	assert.NotEmpty(t, distrusts(w.pass(tick)), "none has")
}

// The connections of one server that hangs say nothing about those of others.
func TestOneMuteServerIsNoSilence(t *testing.T) {
	w := newWorld()
	for range 5 {
		w.kept("a")
	}
	w.kept("b")
	for id := 1; id <= 5; id++ {
		w.askAgain(id)
	}
	all := w.pass(2 * time.Second)
	assert.Empty(t, distrusts(all))
}

// Three heavy requests, whose packets were all acknowledged, at two sound servers, and three light
// ones on connections made later: nothing is distrusted when the heavy ones may run once, and, when
// they may be repeated, while the light ones were expected to take less.
func TestHeavyRequestsAreNoSilence(t *testing.T) {
	for name, repeatable := range map[string]bool{"may run once": false, "may be repeated": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			for _, server := range []string{"a", "a", "b"} {
				w.kept(server)
			}
			expected := 60 * ms
			for id := 1; id <= 3; id++ {
				w.ask(id) // heavy: 1 s of work, where 60 ms is usual
				if repeatable {
					w.askAgain(id)
					expected = 40 * ms
				}
			}
			w.pass(300 * ms)
			w.answered(60*ms, expected, "a", "b", "b")
			assert.Empty(t, distrusts(w.pass(tick)))
		})
	}
}

// A request that may run once keeps waiting while connections are found silent by answers alone.
func TestRequestThatMayRunOnceOutlastsSilenceByAnswers(t *testing.T) {
	w := newWorld()
	for _, server := range []string{"a", "a", "b", "b"} {
		w.kept(server)
	}
	for id := 1; id <= 3; id++ {
		w.askAgain(id)
	}
	w.ask(4)
	w.pass(300 * ms)
	w.answered(tick, 60*ms, "a", "b", "b")
	found := distrusts(w.pass(tick))
	assert.Len(t, found, 1)
	for id, distrusted := range []bool{true, true, true, false, false, false, false} {
		assert.Equal(t, distrusted, found[0].Covers(w.open[id]), "connection %d", id+1)
	}
}

// Connections to two servers, and two to one, lose two packets in a row: a request that was
// acknowledged and waits at its server is left alone, and one that may run once; one that is
// unacknowledged too is not, nor a stream whose events are overdue.
func TestAcknowledgedRequestsOutlastLosses(t *testing.T) {
	covered := []bool{true, true, false, false, true, true, false, true}
	for name, one := range map[string]struct {
		servers []string
		// sign is when one to the first server shows a sign of life: at first what had been on its
		// way before the losses, from signLeast on one that shows that the server works.
		sign    time.Duration
		covered []bool
	}{
		"two servers":                         {[]string{"a", "b"}, 50 * ms, covered},
		"one server":                          {[]string{"a", "a"}, 50 * ms, covered},
		"two servers, of which one works":     {[]string{"a", "b"}, signLeast, []bool{true, true, false, false, false, false, false, false}},
		"one server, with two silent at once": {[]string{"a", "a"}, signLeast, covered},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			for _, server := range append(one.servers, "a", "a", "a", "a", "a", "a") {
				w.kept(server)
			}
			w.ask(1)
			w.ask(2)
			w.ask(3)
			w.askAgain(4)
			w.open[3].Acknowledged = true
			// A stream that only reads, and an answer that brings a part now and then.
			for _, id := range []int{5, 7} {
				w.askAgain(id)
				w.open[id-1].Acknowledged, w.open[id-1].Requested = true, w.now-200*ms
			}
			w.open[6].LastRead = w.now
			w.pass(one.sign, 1, 2)
			w.open[6].LastRead, w.open[6].LastPacket = w.now, w.now
			w.pass(100*ms-one.sign, 1, 2)
			w.askAgain(8)
			w.pass(175*ms, 1, 2)
			for _, server := range one.servers {
				w.judge.RecordProbe(server, w.now, true)
			}
			found := distrusts(w.pass(tick, 1, 2, 8))
			for id, distrusted := range one.covered {
				assert.Equal(t, distrusted, coveredByAny(found, w.open[id]), "connection %d", id+1)
			}
		})
	}
}

// coveredByAny reports whether one of some verdicts distrusts a connection.
func coveredByAny(found []SilentSet, o Observation) bool {
	return slices.ContainsFunc(found, func(one SilentSet) bool { return one.Covers(o) })
}

// Seen: links that lost one packet in twenty had up to 86 connections given up within four
// seconds. Cause: two connections to two servers that each lost two packets in a row took all
// resting ones along, though others of their age brought answers.
//
// Connections of a server of which an older one has shown a sign of life since are spared, but for
// those found silent themselves; those of servers without such a sign are not.
func TestConnectionsThatWorkSpeakForThoseOfTheirServer(t *testing.T) {
	for name, one := range map[string]struct {
		working []int
		// fresh are servers with a connection that was made since those had been heard, and works.
		fresh []string
		// covered tells which of the connections 1 to 6 are distrusted: one to a and one to b that
		// are unacknowledged, resting ones to a, b and c, and a second resting one to c.
		covered []bool
	}{
		"none works":       {nil, nil, []bool{true, true, true, true, true, true}},
		"fresh ones do":    {nil, []string{"a", "b", "c"}, []bool{true, true, true, true, true, true}},
		"one to c works":   {[]int{6}, nil, []bool{true, true, true, true, false, false}},
		"one to a works":   {[]int{3}, nil, []bool{true, true, false, true, false, false}},
		"those to a and b": {[]int{3, 4}, nil, []bool{true, true, false, false, false, false}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			for _, server := range []string{"a", "b", "a", "b", "c", "c"} {
				w.kept(server)
			}
			w.pass(2 * tick)
			w.ask(1)
			w.ask(2)
			w.pass(signLeast+tick, 1, 2)
			for _, id := range one.working {
				w.open[id-1].LastRead = w.now
			}
			for _, server := range one.fresh {
				w.kept(server).Opened = w.open[0].LastRead + time.Millisecond
			}
			w.pass(UnacknowledgedLimit-signLeast, 1, 2)
			w.judge.RecordProbe("a", w.now, true)
			w.judge.RecordProbe("b", w.now, true)
			found := distrusts(w.pass(tick, 1, 2))
			for id, distrusted := range one.covered {
				assert.Equal(t, distrusted, coveredByAny(found, w.open[id]), "connection %d", id+1)
			}
		})
	}
}

// A silence of all connections right after a loss on one of them is found as soon, whether or not
// another one to the server of the loss falls into it: what was heard between the loss and the
// silence shows nothing about the silence.
func TestASilenceAfterALossIsFoundAsSoon(t *testing.T) {
	for name, unacknowledged := range map[string][]int{"one each": {1, 2}, "two to the first": {1, 2, 3}} {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			for _, server := range []string{"a", "b", "a", "a", "b", "c", "c"} {
				w.kept(server)
			}
			w.pass(2 * tick)
			w.ask(1) // its packet is lost, and the one after it falls into the silence
			w.pass(6*tick, 1)
			w.open[3].LastRead, w.open[3].LastPacket = w.now, w.now
			w.pass(tick, 1)
			for _, id := range unacknowledged[1:] {
				w.ask(id)
			}
			var found []SilentSet
			for step := range 20 {
				if step > 2 {
					w.judge.RecordProbe("a", w.now, true)
					w.judge.RecordProbe("b", w.now, true)
				}
				for _, one := range distrusts(w.pass(tick, unacknowledged...)) {
					found = append(found, one)
					for index := range w.open {
						if one.Covers(w.open[index]) {
							w.open[index].Waiting = false
						}
					}
				}
			}
			for _, id := range []int{1, 2, 3, 5, 6, 7} {
				assert.True(t, coveredByAny(found, w.open[id-1]), "connection %d", id)
			}
		})
	}
}

// A server that has not been seen for a minute is forgotten.
func TestServersThatAreGoneAreForgotten(t *testing.T) {
	w := newWorld()
	w.kept("a")
	w.ask(1)
	w.pass(275*ms, 1)
	w.judge.RecordProbe("a", w.now, true)
	assert.NotEmpty(t, distrusts(w.pass(tick, 1)))
	w.open = nil
	w.kept("b")
	w.now += 2 * memoryTime
	w.pass(tick)
	assert.NotContains(t, w.judge.trials, "a")
	assert.Contains(t, w.judge.trials, "b")
	assert.Empty(t, w.judge.silentAt)
	assert.Empty(t, w.judge.askedAt)
	assert.Empty(t, w.judge.signAt)
}
