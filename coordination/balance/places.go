package balance

import "time"

// Places estimates when the places of one server come free. All that is told of a
// server is how many requests run there now and then; from the changes it follows when
// each place was taken.
type Places struct {
	// taken holds when each running request began, the earliest first.
	taken []time.Time
}

// Observe notes how many requests run at a moment. Where fewer run than before, those
// that began first are taken for the ones that have ended.
func (p *Places) Observe(running int, at time.Time) {
	if ended := len(p.taken) - running; ended > 0 {
		p.taken = p.taken[:copy(p.taken, p.taken[ended:])]
	}
	for len(p.taken) < running {
		p.taken = append(p.taken, at)
	}
}

// Spread of the times that requests hold a place, around their mean: the first of many
// that began together ends after shortestHold of it.
const shortestHold = 0.35

// Wait predicts how long it takes until a number of places have come free, when a
// request holds one for hold in the mean. Requests that began together end one after
// the other, the shortest first; of those that seem to be over only the mean is known.
func (p *Places) Wait(places int, now time.Time, hold time.Duration) time.Duration {
	count := len(p.taken)
	if places < 1 || count == 0 {
		return 0
	}
	steady := time.Duration(float64(hold) * float64(places) / float64(count))
	index := min(places, count) - 1
	share := shortestHold + (2-2*shortestHold)*float64(index)/float64(count)
	due := p.taken[index].Add(time.Duration(share * float64(hold))).Sub(now)
	return max(steady, due)
}
