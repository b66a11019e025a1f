package forward

import (
	"math"
	"slices"
	"time"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
)

// Weights of the choice, in requests in flight.
const (
	otherZoneWeight   = 1.0
	otherRegionWeight = 2.0
	// jitterWeight spreads the choices of entries that see the same figures.
	jitterWeight = 0.8
	// silentWeight keeps requests from servers whose agent has fallen silent.
	silentWeight = 40.0
)

// Shares of the target within which a request must be expected to be answered.
const (
	// baseShare of the target goes by without any queue.
	baseShare = 0.35
	// refusalRetryFloor is the least time that a refused caller is told to wait.
	refusalRetryFloor = 100 * time.Millisecond
	refusalRetryCap   = 1500 * time.Millisecond
	// noServerRetry is told when there is no server at all.
	noServerRetry = 700 * time.Millisecond
)

// need is what a request wants of a server.
type need struct {
	service string
	engine  *fleet.Engine
	route   *fleet.Route
	// tried are the servers that the request was sent to before.
	tried []*target
	// atLeast and exactly bound the version; zero does not.
	atLeast uint64
	exactly uint64
	prompt  int
	answer  int
	// resumed requests are not refused for load: they have been admitted before.
	resumed bool
}

// choice is a server and what was known of it.
type choice struct {
	target      *target
	outstanding int
	statusAge   time.Duration
	candidates  int
	score       float64
}

// choose picks the server for a request and counts the request as in flight. A
// refusal is proof that nothing was sent.
func (t *targets) choose(wanted need) (choice, *fault.Refusal) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := time.Now()
	usable := t.usable(wanted, now)
	if len(usable) == 0 {
		refusal := fault.NotRun(fault.ReasonNoReplica, "no server can serve the request now")
		refusal.RetryAfter = noServerRetry
		return choice{}, refusal
	}
	best := choice{score: math.Inf(1), candidates: len(usable)}
	roomiest := math.Inf(1)
	for _, candidate := range usable {
		load := candidate.load(wanted, now)
		roomiest = min(roomiest, load)
		score := load + t.distance(candidate) + jitterWeight*t.random()
		if candidate.silentAgent(now) {
			score += silentWeight
		}
		if score < best.score {
			best.target, best.score = candidate, score
		}
	}
	if refusal := wanted.overload(best.target, roomiest); refusal != nil {
		return choice{}, refusal
	}
	best.outstanding = best.target.outstanding(now)
	best.statusAge = now.Sub(best.target.statusAt)
	best.target.inFlight++
	best.target.unread += wanted.prompt
	return best, nil
}

// usable lists the servers that may be sent the request: ejected ones only when
// there is no other.
func (t *targets) usable(wanted need, now time.Time) []*target {
	var sound, ejected []*target
	for _, candidate := range t.byService[wanted.service] {
		if candidate.server.Draining || candidate.gone || slices.Contains(wanted.tried, candidate) || !candidate.fits(wanted, now) {
			continue
		}
		if now.Before(candidate.ejectedTill) {
			ejected = append(ejected, candidate)
			continue
		}
		sound = append(sound, candidate)
	}
	if len(sound) == 0 {
		return ejected
	}
	return sound
}

// fits reports whether a model server serves a fitting version now; servers of
// plain services always do.
func (k *target) fits(wanted need, now time.Time) bool {
	if wanted.engine == nil {
		return true
	}
	version := k.version
	if k.current(now) {
		if !k.status.Reachable || k.status.Version == 0 {
			return false
		}
		version = k.status.Version
		left := time.Duration(k.status.SwitchMilliseconds)*time.Millisecond - now.Sub(k.statusAt)
		if k.status.SwitchMilliseconds != fleet.NoSwitch && left < switchMargin {
			return false
		}
	} else if len(k.server.Models) == 0 {
		return false
	}
	if wanted.exactly != 0 && version != wanted.exactly {
		return false
	}
	return version >= wanted.atLeast
}

// load is how busy the server is, in requests: those it holds, and the prompts
// that are still to be read.
func (k *target) load(wanted need, now time.Time) float64 {
	held := float64(k.outstanding(now))
	if wanted.engine == nil || wanted.engine.UsualPrompt <= 0 {
		return held
	}
	pace := 1.0
	if k.current(now) && k.status.Pace > 1 {
		pace = k.status.Pace
	}
	return pace * (held + float64(k.unread)/wanted.engine.UsualPrompt)
}

func (t *targets) distance(candidate *target) float64 {
	switch {
	case candidate.server.Zone == t.zone:
		return 0
	case t.regions[candidate.server.Zone] == t.regions[t.zone]:
		return otherZoneWeight
	}
	return otherRegionWeight
}

// overload refuses a request that even the roomiest server could not begin
// within its target.
func (wanted need) overload(best *target, load float64) *fault.Refusal {
	if wanted.resumed || best.server.Slots == 0 {
		return nil
	}
	place := wanted.placeTime(best)
	room := (1 - baseShare) * float64(wanted.route.Target) / float64(place)
	excess := load - float64(best.server.Slots) - room
	if excess <= 0 {
		return nil
	}
	refusal := fault.NotRun(fault.ReasonOverloaded, "no server could begin the request within its target")
	refusal.RetryAfter = min(max(time.Duration((excess+1)*float64(place)), refusalRetryFloor), refusalRetryCap)
	return refusal
}

// placeTime is the mean time between two places becoming free at a server.
func (wanted need) placeTime(best *target) time.Duration {
	slots := float64(max(1, best.server.Slots))
	if engine := wanted.engine; engine != nil && engine.ReadPerSecond > 0 {
		step := engine.StepMilliseconds + engine.PerSequenceMilliseconds*slots + engine.ContextPerThousand*slots*engine.UsualPrompt/1000
		service := step*engine.UsualAnswer/slots + 1000*engine.UsualPrompt/engine.ReadPerSecond
		return time.Duration(service * float64(time.Millisecond))
	}
	mean := max(best.meanMilliseconds, 20)
	return time.Duration(mean / slots * float64(time.Millisecond))
}

// release takes a request off a server's count. The prompt counts as read once
// the first event has come, which readPrompt notes.
func (t *targets) release(k *target) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	k.inFlight--
}

func (t *targets) readPrompt(k *target, tokens int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	k.unread -= tokens
}
