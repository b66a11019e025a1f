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

// recentAnswers remembers when fingerprints were last answered, for one to two times answeredTTL: it
// keeps two sets and drops the older one when the newer one is old enough or full.
type recentAnswers struct {
	newer, older map[Fingerprint]time.Duration
	startedAt    time.Duration
}

func (r *recentAnswers) add(fingerprint Fingerprint, now time.Duration) {
	if r.newer == nil || now-r.startedAt >= answeredTTL || len(r.newer) >= maxAnswered {
		r.older, r.newer, r.startedAt = r.newer, map[Fingerprint]time.Duration{}, now
	}
	r.newer[fingerprint] = now
}

// at returns when a fingerprint was last answered, and false if that is not known.
func (r *recentAnswers) at(fingerprint Fingerprint) (time.Duration, bool) {
	if at, known := r.newer[fingerprint]; known {
		return at, true
	}
	at, known := r.older[fingerprint]
	return at, known
}

func (r *recentAnswers) has(fingerprint Fingerprint) bool {
	_, known := r.at(fingerprint)
	return known
}
