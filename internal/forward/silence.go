package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/silence"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/network"
)

// Times of looking for silent connections.
const (
	// watchPeriod is how often connections with open requests are looked at: a tenth of
	// the time after which silence.Judge tries a new connection.
	watchPeriod = 25 * time.Millisecond
	// lookAfter is the silence of a connection from which all are looked at: shortly before
	// the least after which silence.Judge draws conclusions.
	lookAfter = 200 * time.Millisecond
	// inspectAfter is the silence from which the kernel is asked about a connection then: a
	// request sent shortly before needs no explanation.
	inspectAfter = 50 * time.Millisecond
)

// watch looks after all connections to servers together, because what silences one of them
// without a word, such as a middlebox that starts anew, silences others of its age too. Found
// one by one, each costs a request its time limit.
type watch struct {
	log     *logging.Logger
	metrics *metrics
	started time.Time

	mutex  sync.Mutex
	judge  *silence.Detector
	open   map[*connection]bool
	nextID uint64
}

func newWatch(log *logging.Logger, metrics *metrics, started time.Time) *watch {
	return &watch{log: log, metrics: metrics, started: started, judge: silence.NewDetector(), open: map[*connection]bool{}}
}

func (v *watch) now() time.Duration { return time.Since(v.started) }

// watched is what a connection's watch reads while a request is carried.
type watched struct {
	id     uint64
	target *target
	watch  *watch
	// opened is when its making began, an offset like the others.
	opened time.Duration
	asked  atomic.Int64
	heard  atomic.Int64
	usual  atomic.Int64
	// expected is how long the answer heard last was expected to take to begin.
	expected atomic.Int64
	// repeatable is set while the request carried may be sent again.
	repeatable atomic.Bool
	// carrying is set while an answer is awaited.
	carrying atomic.Bool
	// silent is set once the connection is given up.
	silent atomic.Bool
}

// add takes a new connection in.
func (v *watch) add(c *connection, chosen *target, began time.Duration) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.nextID++
	c.id, c.target, c.watch, c.opened = v.nextID, chosen, v, began
	c.heard.Store(int64(began))
	v.open[c] = true
}

func (v *watch) remove(c *connection) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	delete(v.open, c)
}

// Run looks at the connections until the context ends.
func (v *watch) Run(ctx context.Context) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			v.look(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// look takes one look at all connections and does what follows.
func (v *watch) look(ctx context.Context) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	if !v.worthALook(now) {
		v.judge.SkipTick(now)
		return
	}
	all, connections := v.observe(now)
	verdict := v.judge.Tick(now, all)
	for _, server := range verdict.Probe {
		for _, one := range connections {
			if one.target.Address == server {
				go v.try(ctx, one.target)
				break
			}
		}
	}
	for _, distrust := range verdict.Silent {
		v.giveUp(now, distrust, all, connections)
	}
}

// worthALook reports whether an answer has been awaited for long.
func (v *watch) worthALook(now time.Duration) bool {
	for one := range v.open {
		if one.carrying.Load() && int64(now)-max(one.asked.Load(), one.heard.Load()) >= int64(lookAfter) {
			return true
		}
	}
	return false
}

func (v *watch) observe(now time.Duration) (all []silence.Observation, connections []*connection) {
	for one := range v.open {
		all, connections = append(all, one.observe(now)), append(connections, one)
	}
	return all, connections
}

// try makes a new connection to a server, as a proof, and keeps it for the next request. Under
// traffic there are new ones anyhow; a lone stream begins after 0.39 s instead of 1.1 s by it.
func (v *watch) try(ctx context.Context, chosen *target) {
	began := v.now()
	fresh, err := dial(ctx, chosen.Address, time.Now().Add(dialTimeout))
	if err == nil {
		v.metrics.connections.Inc()
		v.add(fresh, chosen, began)
		chosen.pool.add(fresh, idleWithoutWord)
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.judge.RecordProbe(chosen.Address, began, err == nil)
}

// giveUp ends the connections that are distrusted: resting ones are closed, requests on the
// others learn of it. The mutex is held.
func (v *watch) giveUp(now time.Duration, distrust silence.SilentSet, all []silence.Observation, connections []*connection) {
	resting, carrying := 0, 0
	for index, one := range connections {
		if !distrust.Covers(all[index]) || one.silent.Swap(true) {
			continue
		}
		if all[index].Waiting {
			carrying++
		} else {
			resting++
		}
		_ = one.net.SetDeadline(time.Unix(1, 0))
	}
	if resting+carrying == 0 {
		return
	}
	by := "unacknowledged"
	if distrust.ByAnswers {
		by = "unanswered"
	}
	proof := min(len(distrust.Confirmed), resting+carrying)
	v.metrics.silent.WithLabelValues(by).Add(float64(proof))
	v.metrics.silent.WithLabelValues("distrusted").Add(float64(resting + carrying - proof))
	v.log.Log(logging.ConnectionsSilent, zap.String("server", distrust.Server), zap.String("by", by), zap.Int("proof", len(distrust.Confirmed)),
		zap.Int("with_requests", carrying), zap.Int("resting", resting), zap.Duration("older_than", now-distrust.Before))
}

// observe tells what the watch sees of the connection.
func (c *connection) observe(now time.Duration) silence.Observation {
	seen := silence.Observation{
		ID: c.id, Server: c.target.Address, Opened: c.opened, Waiting: c.carrying.Load() && !c.silent.Load(),
		Requested: time.Duration(c.asked.Load()), LastRead: time.Duration(c.heard.Load()), TypicalWait: time.Duration(c.usual.Load()),
		ExpectedWait: time.Duration(c.expected.Load()), Repeatable: c.repeatable.Load(),
	}
	mute := now - max(seen.Requested, seen.LastRead)
	if !seen.Waiting || mute < inspectAfter {
		return seen
	}
	if state, known := network.ReadTCPState(c.net); known {
		seen.HasTCPInfo, seen.Unacknowledged, seen.Acknowledged, seen.LastPacket = true, state.Unacknowledged(mute), !state.AwaitingAck, now-state.SinceReceived
	}
	return seen
}

// Times after which a repeatable request is given up on a connection that brings nothing,
// without any other proof: a request for its whole answer, a stream for its next event. They
// are far beyond what is usual, because a server that was slow has worked in vain.
const (
	patienceFactor = 10
	plainPatience  = 300 * time.Millisecond
	streamPatience = time.Second
)

// reserveRetry reports whether the request may be sent again, and draws on the retry budget for
// it: an answer that is late is not given up for nothing.
func (w *work) reserveRetry() bool {
	if w.sent >= w.request.Route.Attempts || time.Until(w.request.Deadline) < max(minimumTime, w.request.usual) {
		return false
	}
	w.retryReserved = w.retryReserved || w.takeRetry(w.wanted.Service)
	return w.retryReserved
}

// patienceOf is the least time after which an answer of a route can be overdue.
func patienceOf(route *fleet.Route) time.Duration {
	if route.Kind == fleet.Streaming {
		return streamPatience
	}
	return plainPatience
}

// overdueAfter is the silence after which an answer is overdue whose next byte usually takes
// some time.
func overdueAfter(patience, usual time.Duration) time.Duration {
	return max(patience, patienceFactor*usual)
}

// overdue reports whether a repeatable request is given up after a silence; not as long as
// nothing is known of what is usual.
func (w *work) overdue(silent, usual time.Duration) bool {
	if w.patience > 0 && !w.attemptBegun {
		return silent >= w.patience
	}
	return usual > 0 && silent >= overdueAfter(patienceOf(w.request.Route), usual)
}
