package quarantine

import (
	"slices"
	"time"
)

// How crashes count against the parts of prompts.
const (
	// partLossWindow is the minimum time between two crashes that count against a part that was
	// answered recently: processes observe the crashes of a joint loss up to that much apart.
	partLossWindow = 100 * time.Millisecond
	// jointCrashWindow is the maximum time between two crashes of a joint loss, as observed by different
	// processes.
	jointCrashWindow = 200 * time.Millisecond
	// maxCrashesPerRequest is how many crashes under one request, as a whole, count against a part of
	// it: one that crashes its servers for another reason than its parts is sent again and again.
	maxCrashesPerRequest = 2
	// hazardRatio is the ratio of two crash rates from which they differ.
	hazardRatio = 2
	// minExposure is added to the time under way, so that a few requests that were sent right before a
	// crash make no high rate.
	minExposure = 50 * time.Millisecond
)

// score returns how many crashes count against a fingerprint.
func (e *evidence) score(fingerprint Fingerprint) int { return len(e.counted(fingerprint)) }

// counted returns the crashes that count against a fingerprint, in order of time. For a recently
// answered one, a crash counts only if the request was sent after the previous crash and the two are
// not part of the same joint loss. Such a fingerprint is under way at many servers at any time, and its
// requests are resent from each crashed server to another, so many crashes with a common cause, such
// as a power failure, say nothing about it.
//
// A part of a prompt may be under way at many servers before it was ever answered. Of a joint loss, one
// crash counts against it in any case.
func (e *evidence) counted(fingerprint Fingerprint) []*crash {
	crashes := e.byFingerprint[fingerprint]
	answered := e.answered.has(fingerprint)
	window := time.Duration(0)
	switch {
	case !answered && !fingerprint.Part:
		return crashes
	case answered && fingerprint.Part:
		window = partLossWindow
	case answered:
		window = jointLossWindow
	}
	var counted []*crash
	last, byRequest := -maxQuarantine, map[Fingerprint]int{}
	for _, c := range crashes {
		if c.use(fingerprint).sentAt < last || c.at-last < window || (fingerprint.Part && !c.addRequests(fingerprint, byRequest)) {
			continue
		}
		counted, last = append(counted, c), c.at
	}
	return counted
}

// addRequests counts the requests with a part that were under way at a crash, and reports whether one of
// them has not been under way at maxCrashesPerRequest of them before.
func (c *crash) addRequests(part Fingerprint, byRequest map[Fingerprint]int) bool {
	isNew := false
	for fingerprint, request := range c.suspects {
		if slices.Contains(request.Parts, part) {
			byRequest[fingerprint]++
			isNew = isNew || byRequest[fingerprint] <= maxCrashesPerRequest
		}
	}
	return isNew
}

// uniqueScore counts the crashes for which no other fingerprint is as likely a cause.
func (e *evidence) uniqueScore(fingerprint Fingerprint, companions []Fingerprint) int {
	own, count := e.score(fingerprint), 0
	for _, c := range e.byFingerprint[fingerprint] {
		if !e.hasRival(c, fingerprint, companions, own) {
			count++
		}
	}
	return min(count, own)
}

// hasRival reports whether another suspect of a crash is as likely its cause.
func (e *evidence) hasRival(c *crash, fingerprint Fingerprint, companions []Fingerprint, own int) bool {
	for _, other := range c.fingerprints() {
		if other == fingerprint || slices.Contains(companions, other) {
			continue
		}
		if fingerprint.Part && e.rivalsPart(other, fingerprint) {
			return true
		}
		if !fingerprint.Part && e.rivalsRequest(other, c.suspects[fingerprint].Request, own) {
			return true
		}
	}
	return false
}

// rivalsRequest reports whether a fingerprint is as likely the cause as a whole request with the given
// score: it has the same score or, if it is a part of that request, a higher one.
func (e *evidence) rivalsRequest(other Fingerprint, request Request, score int) bool {
	if len(e.byFingerprint[other]) < score {
		return false
	}
	if slices.Contains(request.Parts, other) {
		return e.score(other) > score
	}
	return e.score(other) >= score
}

// rivalsPart reports whether a fingerprint is as likely the cause as a part. What was answered recently is
// less likely than a part that was not. Otherwise the crashes at which they were under way are compared,
// and the crash rate tells them apart if it differs by hazardRatio: the cause crashes its server soon after
// it was sent there, and others are under way for longer, and several at a time.
func (e *evidence) rivalsPart(other, part Fingerprint) bool {
	if e.answered.has(other) && !e.answered.has(part) {
		return false
	}
	crashes, otherCrashes := len(e.byFingerprint[part]), len(e.byFingerprint[other])
	if otherCrashes < crashes/2+1 {
		return false
	}
	rate, otherRate := e.crashRate(part), e.crashRate(other)
	if otherCrashes >= crashes {
		return otherRate*hazardRatio > rate
	}
	return otherRate > hazardRatio*rate
}

// crashRate returns the number of crashes at which requests with a fingerprint were under way, by the time
// for which they were, in crashes per second.
func (e *evidence) crashRate(fingerprint Fingerprint) float64 {
	exposure := minExposure
	for _, c := range e.byFingerprint[fingerprint] {
		exposure += c.use(fingerprint).exposure
	}
	return float64(len(e.byFingerprint[fingerprint])) / exposure.Seconds()
}

// strongestRival returns the highest number of crashes that are both among those of a part and of another
// fingerprint, which is none of its companions.
func (e *evidence) strongestRival(part Fingerprint, companions []Fingerprint) int {
	counts, strongest := map[Fingerprint]int{}, 0
	for _, c := range e.byFingerprint[part] {
		for _, other := range c.fingerprints() {
			if other != part && slices.Contains(e.byFingerprint[other], c) && !slices.Contains(companions, other) {
				counts[other]++
				strongest = max(strongest, counts[other])
			}
		}
	}
	return strongest
}

// companions returns the parts that come with each request with the given part at each of its crashes
// and have not been answered since either: nothing tells which of them is the cause.
func (e *evidence) companions(part Fingerprint, counted []*crash) []Fingerprint {
	var companions []Fingerprint
	first := true
	for _, c := range counted {
		for _, request := range c.suspects {
			if !slices.Contains(request.Parts, part) {
				continue
			}
			if first {
				companions, first = slices.Clone(request.Parts), false
			}
			companions = slices.DeleteFunc(companions, func(other Fingerprint) bool { return !slices.Contains(request.Parts, other) })
		}
	}
	return slices.DeleteFunc(companions, func(other Fingerprint) bool {
		return other == part || len(e.byFingerprint[other]) < len(e.byFingerprint[part])
	})
}

// othersAnswered reports whether the model's servers have answered another request since a part's
// first crash. Otherwise nothing tells the part from a fault of the servers.
func (e *evidence) othersAnswered(part Fingerprint, counted []*crash) bool {
	at, known := e.answered.at(anyPartOf(part.Scope))
	return known && at > counted[0].at
}

// explainsAll reports whether a part was under way at all unexplained crashes from about the time of the
// given one on.
func (e *evidence) explainsAll(part Fingerprint, first *crash) bool {
	return !slices.ContainsFunc(e.crashes, func(other *crash) bool {
		_, underWay := other.parts[part]
		return !underWay && !other.explained && other.at > first.at-jointCrashWindow
	})
}

// latest returns the latest crash of a fingerprint, or nil.
func (e *evidence) latest(fingerprint Fingerprint) *crash {
	crashes := e.byFingerprint[fingerprint]
	if len(crashes) == 0 {
		return nil
	}
	return crashes[len(crashes)-1]
}
