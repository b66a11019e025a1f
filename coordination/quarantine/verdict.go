package quarantine

import "time"

// State determines whether requests with a fingerprint may be sent.
type State int

// Possible states.
const (
	// Allowed: the request may be sent to any server.
	Allowed State = iota
	// Suspected: the request is sent only to servers that run no other suspect.
	Suspected
	// Undecided: the request is not sent until the reports of other processes have arrived, or
	// until another trial of its fingerprint has ended.
	Undecided
	// InQuarantine: the request is not sent to any server.
	InQuarantine
)

// Verdict is the state of a request at a given time.
type Verdict struct {
	State State
	// Fingerprint is the one that the state is due to: the request's or that of a part of its prompt.
	Fingerprint Fingerprint
	// Remaining is the longest time that the state lasts; 0 if it has no end.
	Remaining time.Duration
	// Servers are the latest ones that crashed under the fingerprint, as far as known.
	Servers []string
}

// Evaluate decides whether a request may be sent now.
func (t *Tracker) Evaluate(request Request, now time.Duration) Verdict {
	strictest := t.evaluate(request.Fingerprint, now)
	if len(t.quarantines) == 0 && len(t.evidence.byFingerprint) == 0 {
		return strictest
	}
	for _, part := range request.Parts {
		if verdict := t.evaluatePart(part, request, now); verdict.State > strictest.State {
			strictest = verdict
		}
	}
	return strictest
}

// evaluate decides on a request as a whole.
func (t *Tracker) evaluate(fingerprint Fingerprint, now time.Duration) Verdict {
	q := t.quarantines[fingerprint]
	if q != nil && now < t.trialAt(fingerprint, q) {
		return t.inQuarantine(fingerprint, q, now)
	}
	last := t.evidence.latest(fingerprint)
	if q == nil && last == nil {
		return Verdict{}
	}
	if last != nil && t.mayBeCause(fingerprint) {
		if settledAt := last.at + settleTime; now < settledAt {
			return Verdict{State: Undecided, Fingerprint: fingerprint, Remaining: settledAt - now, Servers: t.crashedServers(fingerprint)}
		}
		if t.isCause(fingerprint) {
			t.startQuarantine(fingerprint, last, nil, now)
			return t.evaluate(fingerprint, now)
		}
	}
	if q == nil && t.evidence.score(fingerprint) < crashesForSuspicion {
		return Verdict{}
	}
	return t.suspected(fingerprint)
}

func (t *Tracker) inQuarantine(fingerprint Fingerprint, q *quarantine, now time.Duration) Verdict {
	return Verdict{State: InQuarantine, Fingerprint: fingerprint, Remaining: max(q.until-now, trialRetryDelay), Servers: q.servers}
}

// suspected returns the verdict on a suspect: one of its requests is sent at a time.
func (t *Tracker) suspected(fingerprint Fingerprint) Verdict {
	verdict := Verdict{State: Suspected, Fingerprint: fingerprint, Servers: t.crashedServers(fingerprint)}
	if _, running := t.trials[fingerprint]; running {
		verdict.State, verdict.Remaining = Undecided, trialRetryDelay
	}
	return verdict
}

// mayBeCause reports whether enough servers have crashed under a fingerprint.
func (t *Tracker) mayBeCause(fingerprint Fingerprint) bool {
	return t.evidence.score(fingerprint) >= t.crashesNeeded(fingerprint)
}

// isCause reports whether no other fingerprint is as likely a cause of these crashes, or there have
// been too many of them.
func (t *Tracker) isCause(fingerprint Fingerprint) bool {
	return t.evidence.uniqueScore(fingerprint, nil) >= t.crashesNeeded(fingerprint) || t.evidence.score(fingerprint) >= maxAmbiguousCrashes
}

// crashesNeeded returns the number of crashes after which a fingerprint is quarantined: after an
// earlier quarantine, one is enough.
func (t *Tracker) crashesNeeded(fingerprint Fingerprint) int {
	isKnown := t.quarantines[fingerprint] != nil
	switch {
	case isKnown && fingerprint.Part:
		// The crashes are those of requests that the quarantine did not apply to.
		return crashesForSuspicion
	case isKnown:
		return 1
	case fingerprint.Part:
		return crashesForPartQuarantine
	}
	return crashesForQuarantine
}

// crashedServers lists the latest servers that have crashed under a fingerprint.
func (t *Tracker) crashedServers(fingerprint Fingerprint) []string {
	var servers []string
	if q := t.quarantines[fingerprint]; q != nil {
		servers = append(servers, q.servers...)
	}
	for _, c := range t.evidence.byFingerprint[fingerprint] {
		servers = append(servers, c.server)
	}
	return servers[max(0, len(servers)-maxListedServers):]
}
