package forward

import (
	"cmp"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/coordination/shedding"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// Weights of the choice.
const (
	// otherZoneCost and otherRegionCost are what a longer way is worth.
	otherZoneCost   = 20 * time.Millisecond
	otherRegionCost = 100 * time.Millisecond
	// runningCost spreads requests over servers that would begin them equally soon.
	runningCost = 3 * time.Millisecond
	// jitterCost spreads the choices of entries that see the same figures.
	jitterCost = 15 * time.Millisecond
	// silentCost keeps requests from servers whose agent has fallen silent.
	silentCost = 2 * time.Second
)

// Bounds of refusals.
const (
	refusalRetryFloor = 100 * time.Millisecond
	refusalRetryCap   = 1500 * time.Millisecond
	// noServerRetry is told when there is no server at all.
	noServerRetry = 700 * time.Millisecond
)

// need is what a request wants of a server.
type need struct {
	service string
	engine  *fleet.Engine
	// figures describe the service's model servers to the predictions.
	figures balance.Server
	route   *fleet.Route
	// others is how many other entries may be sending to the service's servers.
	others int
	policy *Policy
	// tried are the servers that the request was sent to before.
	tried []*target
	// candidates are the servers whose agents have just been asked; without any, all are.
	candidates []*target
	// atLeast and exactly bound the version; zero does not.
	atLeast uint64
	exactly uint64
	// residency bounds the regions of the servers.
	residency fleet.Residency
	prompt    int
	answer    int
	// resumed requests are not refused for load: they have been admitted before.
	resumed bool
	// arrival tells whether the caller came back after a refusal.
	arrival shedding.Arrival
	// notices are the named versions of the model, the newest last. A server that has
	// an older one than a notice names must begin the request within versionApply of
	// that notice.
	notices      []catalog.Notice
	versionApply time.Duration
	// silenceFound is set after connections of all servers were found silent: agents may
	// measure their links on such connections too, and one that has just answered has a
	// free link.
	silenceFound bool
	work         *work
}

// rules returns the policy to decide by.
func (n need) rules() Policy {
	if n.policy == nil {
		return DefaultPolicy()
	}
	return *n.policy
}

// choice is a server and what was known of it.
type choice struct {
	target      *target
	outstanding int
	load        balance.Load
	statusAge   time.Duration
	candidates  int
	score       time.Duration
	// expected is the predicted time until the request begins to be answered.
	expected time.Duration
	// version is the one that the server is known to have; 0 when none is.
	version uint64
}

// choose picks the server for a request and counts the request as in flight. A
// refusal is proof that nothing was sent.
func (t *targets) choose(wanted need) (choice, *fault.Refusal) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	if wanted.engine != nil {
		t.findLeastMissing(now)
	}
	usable := t.askedOf(t.usable(wanted, now), wanted)
	if len(usable) == 0 {
		t.logNoChoice(wanted, now, 0, 0)
		return choice{}, t.noServer(wanted, now)
	}
	best := choice{score: math.MaxInt64, candidates: len(usable)}
	for _, candidate := range t.sample(usable, max(wanted.rules().SampleSize, len(wanted.candidates))) {
		score := t.score(candidate, wanted, now)
		if score < best.score {
			best.target, best.score = candidate, score
		}
	}
	if refusal := t.overload(&best, usable, wanted, now); refusal != nil {
		return choice{}, refusal
	}
	best.outstanding = best.target.outstanding(now)
	best.load = best.target.load(wanted, now)
	best.expected = best.target.firstEvent(wanted, now)
	best.statusAge = best.target.statusAge(now)
	best.version = best.target.servedVersion(now)
	best.target.inFlight++
	t.countSent(best.target, now)
	if wanted.engine != nil {
		best.target.unread++
		best.target.unreadTokens += wanted.prompt
		best.target.unbegun[wanted.work] = unbegun{
			sentAt: now, due: now.Add(best.expected), prompt: wanted.prompt, nearLimit: best.expected > wanted.route.Target/2,
			idle: best.outstanding == 0 && best.statusAge != noStatus,
		}
	}
	return best, nil
}

// askedOf keeps the candidates of the usable servers, as long as one of them is usable.
func (t *targets) askedOf(usable []*target, wanted need) []*target {
	var asked []*target
	for _, candidate := range usable {
		if slices.Contains(wanted.candidates, candidate) {
			asked = append(asked, candidate)
		}
	}
	if len(asked) == 0 {
		return usable
	}
	return asked
}

// noStatus is the age of an agent's word that never came.
const noStatus = -time.Second

func (k *target) statusAge(now time.Time) time.Duration {
	if k.statusAt.IsZero() {
		return noStatus
	}
	return now.Sub(k.statusAt)
}

// sample draws the servers to compare: half of them from the own zone, as long as
// it has some. Figures are some hundred milliseconds old; were all compared, all
// entries would send to the same server until the next figures come.
func (t *targets) sample(usable []*target, sampleSize int) []*target {
	if len(usable) <= sampleSize {
		return usable
	}
	t.shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	var near, far []*target
	for _, candidate := range usable {
		if candidate.zone == t.zone {
			near = append(near, candidate)
		} else {
			far = append(far, candidate)
		}
	}
	fromNear := min(len(near), max(sampleSize/2, sampleSize-len(far)))
	return append(near[:fromNear:fromNear], far[:sampleSize-fromNear]...)
}

// score is the cost of sending the request to a server.
func (t *targets) score(candidate *target, wanted need, now time.Time) time.Duration {
	score := candidate.firstEvent(wanted, now) + t.distance(candidate)
	score += time.Duration(candidate.outstanding(now)) * runningCost
	score += time.Duration(t.random() * float64(jitterCost))
	if candidate.silentAgent(now) {
		score += silentCost
	}
	return score + candidate.delayedSwitch(wanted, now)
}

// logNoChoice logs why no server was chosen: how many servers fall out for which
// reason, and how soon the soonest of the others would begin the request.
func (t *targets) logNoChoice(wanted need, now time.Time, soonest, limit time.Duration) {
	counts := map[string]int{}
	var oldest time.Duration
	for _, candidate := range t.byService[wanted.service] {
		counts[t.unfit(candidate, wanted, now)]++
		if !candidate.statusAt.IsZero() {
			oldest = max(oldest, now.Sub(candidate.statusAt))
		}
	}
	t.log.Log(logging.NoServerChosen, zap.String("request", wanted.work.request.Call.RequestID), zap.String("service", wanted.service),
		zap.Any("servers", counts), zap.Duration("soonest", soonest), zap.Duration("limit", limit), zap.Duration("oldest_status", oldest),
		zap.Duration("since_first_attempt", wanted.arrival.Elapsed), zap.Uint64("at_least_version", wanted.atLeast), zap.Uint64("exactly_version", wanted.exactly),
		regionsField(wanted.residency))
}

// Times until servers serve again.
const (
	// changeTime is how long a server takes to change over, as long as nobody knows
	// better.
	changeTime = 800 * time.Millisecond
	// emptyTime is told while no agent has said how its transfer goes.
	emptyTime = 1500 * time.Millisecond
)

// soonestReady estimates when a server will be able to take the request, from what
// the agents say of their transfers.
func (t *targets) soonestReady(wanted need, now time.Time) time.Duration {
	if wanted.engine == nil || wanted.engine.Pieces == 0 {
		return noServerRetry
	}
	copyTime := t.copyTime(wanted.engine)
	soonest := emptyTime + copyTime/2
	for _, told := range t.statuses {
		if !told.status.Reachable || now.Sub(told.at) > statusCurrent || !t.allowedAt(told.status.Address, wanted.residency) {
			continue
		}
		left := copyTime * time.Duration(told.status.Missing) / time.Duration(wanted.engine.Pieces)
		soonest = min(soonest, left+wanted.engine.Warm+changeTime/2)
	}
	return max(soonest, refusalRetryFloor)
}

// Reasons for which a server is not sent a request.
const (
	unfitNot         = "usable"
	unfitLeaving     = "leaving"
	unfitTried       = "tried before"
	unfitUnreachable = "unreachable"
	unfitEmpty       = "serves nothing"
	unfitChanging    = "changing over"
	unfitVersion     = "other version"
	unfitBound       = "would begin after the version's bound"
	unfitEjected     = "ejected"
	unfitRegion      = "outside the allowed regions"
)

// unfit returns why a server is not sent the request.
func (t *targets) unfit(k *target, wanted need, now time.Time) string {
	switch {
	case !t.allowed(k.server, wanted.residency):
		return unfitRegion
	case k.server.Draining || k.gone:
		return unfitLeaving
	case t.evacuated(k):
		return unfitEvacuated
	case slices.Contains(wanted.tried, k):
		return unfitTried
	}
	if wanted.engine != nil {
		if reason := t.unfitModel(k, wanted, now); reason != unfitNot {
			return reason
		}
	}
	if now.Before(k.ejectedTill) {
		return unfitEjected
	}
	if t.coldFull(k, now) {
		return unfitCold
	}
	return unfitNot
}

// usable lists the servers that may be sent the request: ejected ones only when
// there is no other.
func (t *targets) usable(wanted need, now time.Time) []*target {
	var sound, ejected []*target
	for _, candidate := range t.byService[wanted.service] {
		switch t.unfit(candidate, wanted, now) {
		case unfitNot:
			sound = append(sound, candidate)
		case unfitEjected:
			ejected = append(ejected, candidate)
		}
	}
	if len(sound) == 0 {
		return ejected
	}
	return sound
}

// unfitModel returns why a model server does not serve a fitting version now.
func (t *targets) unfitModel(k *target, wanted need, now time.Time) string {
	version := k.servedVersion(now)
	if k.current(now) {
		left := time.Duration(k.status.SwitchMilliseconds)*time.Millisecond - now.Sub(k.statusAt)
		switch {
		case !k.status.Reachable:
			return unfitUnreachable
		case k.status.SwitchMilliseconds != fleet.NoSwitch && left < switchMargin:
			return unfitChanging
		case k.status.Version == 0:
			return unfitEmpty
		}
	} else if len(k.server.Models) == 0 {
		return unfitEmpty
	}
	switch {
	case wanted.exactly != 0 && version != wanted.exactly, version < wanted.atLeast:
		return unfitVersion
	}
	if bound, limited := wanted.boundOf(version); limited && t.beyondBound(k, wanted, now, bound) {
		return unfitBound
	}
	return unfitNot
}

// servedVersion is the version that a server is known to have: by its agent's word,
// or else by what it has told itself.
func (k *target) servedVersion(now time.Time) uint64 {
	if k.current(now) {
		return k.status.Version
	}
	return k.version
}

// delayedSwitch is the cost of a request that would still run when its server is to
// change over: while it puts that off, the server does nothing else. At the full weight of 2
// the last server serves the new version 0.4 s sooner than at 0.5, at the same worth.
func (k *target) delayedSwitch(wanted need, now time.Time) time.Duration {
	if wanted.engine == nil || !k.current(now) || k.status.SwitchMilliseconds == fleet.NoSwitch {
		return 0
	}
	left := time.Duration(k.status.SwitchMilliseconds)*time.Millisecond - now.Sub(k.statusAt)
	needed := k.model(wanted).Duration(k.load(wanted, now), wanted.prompt, wanted.answer)
	return time.Duration(wanted.rules().SwitchWeight * float64(max(0, needed-left)))
}

func (t *targets) distance(candidate *target) time.Duration {
	switch {
	case candidate.zone == t.zone:
		return 0
	case t.regions[candidate.zone] == t.regions[t.zone]:
		return otherZoneCost
	}
	return otherRegionCost
}

// hasFreePlace reports whether a plain server could begin the request now. That its
// last answers came late is then no reason to refuse: they may have been held up on
// the way, and without further requests nothing would show that it is past.
func (k *target) hasFreePlace(wanted need) bool {
	return wanted.engine == nil && k.inFlight < k.server.Slots
}

// overload refuses a request that no server would begin within its target. When
// only the drawn ones would not, the soonest of all is taken. One that was sent to a
// server before has been admitted: it is not refused any more.
func (t *targets) overload(best *choice, usable []*target, wanted need, now time.Time) *fault.Refusal {
	limit := t.refusalLimit(wanted)
	if wanted.resumed || len(wanted.tried) > 0 || limit <= 0 || best.target.hasFreePlace(wanted) || best.target.firstEvent(wanted, now) <= limit {
		return nil
	}
	best.target = slices.MinFunc(usable, func(a, b *target) int {
		return cmp.Compare(a.firstEvent(wanted, now), b.firstEvent(wanted, now))
	})
	soonest := best.target.firstEvent(wanted, now)
	if soonest <= limit {
		return nil
	}
	t.logNoChoice(wanted, now, soonest, limit)
	refusal := fault.NotRun(fault.ReasonOverloaded, "no server could begin the request within its target")
	refusal.RetryAfter = shedding.Return(soonest, limit, refusalRetryFloor, refusalRetryCap, wanted.arrival)
	return refusal
}

// release takes a request off a server's count. Its prompt counts as read once the
// first event has come, which readPrompt notes.
func (t *targets) release(k *target) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	k.inFlight--
}

// readPrompt takes a request's prompt off the server's unread ones.
func (t *targets) readPrompt(k *target, w *work) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	k.unread--
	k.unreadTokens -= w.wanted.prompt
	now := time.Now()
	if request, waited := k.unbegun[w]; waited && w.attemptBegun {
		t.learnMargin(w, request, now)
		t.learnFirstEvent(w, request, now)
	}
	k.noteBegun(w, now)
}
