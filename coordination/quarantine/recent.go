package quarantine

import "time"

// Bounds of what is remembered of answered contents.
const (
	// answeredMemory is for how long at least an answer speaks for a content, mostAnswered how many
	// contents are remembered at once: what an entry answers in that time at ten times its share of
	// 3,200 requests a second over 200 entries.
	answeredMemory = 30 * time.Second
	mostAnswered   = 4800
)

// recentlyAnswered remembers contents for one to two memories: it keeps two sets, of which the older is
// dropped when the newer one's time is over or it is full.
type recentlyAnswered struct {
	newer, older map[Fingerprint]struct{}
	began        time.Duration
}

func (r *recentlyAnswered) add(content Fingerprint, now time.Duration) {
	if r.newer == nil || now-r.began >= answeredMemory || len(r.newer) >= mostAnswered {
		r.older, r.newer, r.began = r.newer, map[Fingerprint]struct{}{}, now
	}
	r.newer[content] = struct{}{}
}

func (r *recentlyAnswered) has(content Fingerprint) bool {
	if _, known := r.newer[content]; known {
		return true
	}
	_, known := r.older[content]
	return known
}
