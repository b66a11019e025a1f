package quarantine

import "time"

// Limits of what is remembered of answered fingerprints.
const (
	// answeredTTL is the minimum time for which an answer counts in favor of a fingerprint.
	// maxAnswered is the number of fingerprints in each of the two sets: what an entry answers in
	// that time at ten times its part of 3,200 requests a second over 200 entries.
	answeredTTL = 30 * time.Second
	maxAnswered = 4800
)

// recentAnswers remembers fingerprints for one to two times answeredTTL: it keeps two sets and
// drops the older one when the newer one is old enough or full.
type recentAnswers struct {
	newer, older map[Fingerprint]struct{}
	startedAt    time.Duration
}

func (r *recentAnswers) add(fingerprint Fingerprint, now time.Duration) {
	if r.newer == nil || now-r.startedAt >= answeredTTL || len(r.newer) >= maxAnswered {
		r.older, r.newer, r.startedAt = r.newer, map[Fingerprint]struct{}{}, now
	}
	r.newer[fingerprint] = struct{}{}
}

func (r *recentAnswers) has(fingerprint Fingerprint) bool {
	if _, known := r.newer[fingerprint]; known {
		return true
	}
	_, known := r.older[fingerprint]
	return known
}
