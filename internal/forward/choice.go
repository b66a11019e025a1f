package forward

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/coordination/sharing"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// choice is a chosen server with its connections.
type choice struct {
	dispatch.Decision
	target *target
}

// choose picks a server. If there is no other, it may be one that was tried over a silent
// connection.
func (w *forwarding) choose() (choice, *fault.Refusal) {
	chosen, refusal := w.targets.choose(w)
	if refusal == nil || len(w.silentServers) == 0 {
		return chosen, refusal
	}
	w.criteria.Tried = slices.DeleteFunc(w.criteria.Tried, func(k *dispatch.Candidate) bool { return slices.Contains(w.silentServers, k) })
	w.silentServers = nil
	return w.targets.choose(w)
}

// choose picks the server for a request and counts the request as in flight. A refusal guarantees
// that nothing was sent.
func (t *targets) choose(w *forwarding) (choice, *fault.Refusal) {
	defer t.announceHealth()
	now := t.lockWithMembers()
	defer t.mutex.Unlock()
	decision, refusal := t.core.Choose(&w.criteria, now)
	if refusal != nil {
		w.request.Admission = refusal.Admission
		t.logRefusal(w, refusal)
		return choice{}, refusalOf(refusal)
	}
	w.currentSend, w.request.Admission = decision.Send, decision.Admission
	if decision.Trial {
		t.recordTrial(w, decision.Candidate, now)
	}
	return choice{Decision: decision, target: t.targetOf(decision.Candidate)}, nil
}

// lockWithMembers locks the mutex for a decision at the returned time, after refreshing the known
// entries where that is due. The mutex is not held during the refresh: the catalog has a mutex of
// its own, which is held while it processes the status reports of all agents. One request
// refreshes, and the others go on with the entries known before.
func (t *targets) lockWithMembers() time.Time {
	t.mutex.Lock()
	now := time.Now()
	entriesDue, zoneDue := t.core.EntryLookupDue(now), t.zoneRefreshDue(now)
	if !entriesDue && !zoneDue {
		return now
	}
	if entriesDue {
		t.core.BeginEntryLookup()
	}
	if zoneDue {
		t.health.zoneRefreshedAt = now
	}
	t.mutex.Unlock()
	var entries []sharing.Member
	var zone []string
	if entriesDue {
		entries = t.entries()
	}
	if zoneDue {
		zone = t.health.announcer.ZoneEntries()
	}
	t.mutex.Lock()
	now = time.Now()
	if entriesDue {
		t.core.SetEntries(entries, now)
	}
	if zoneDue {
		t.core.SetZoneEntries(zone)
	}
	return now
}

// logRefusal logs why no server was chosen: how many servers were excluded for which reason, and
// the shortest wait at the remaining ones.
func (t *targets) logRefusal(w *forwarding, refusal *dispatch.Refusal) {
	t.log.Log(logging.NoServerChosen, zap.String("request", w.request.Call.RequestID), zap.String("service", w.criteria.Service),
		zap.Any("servers", refusal.Servers), zap.Duration("oldest_status", refusal.OldestReport),
		zap.Int("prompt_tokens", w.criteria.Prompt), zap.Inline(admissionFields(refusal.Admission)),
		zap.Duration("since_first_attempt", w.criteria.Arrival.Elapsed), zap.Uint64("at_least_version", w.criteria.MinVersion), zap.Uint64("exactly_version", w.criteria.ExactVersion),
		regionsField(w.criteria.Residency))
}

// fillEngine fills in the description of the service's model server. The size of a prompt that
// exceeds the server's capacity counts as unknown.
func (t *targets) fillEngine(criteria *dispatch.Request) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.useEngine(criteria, t.engines[criteria.Service])
}

// fillEngineOfAdmission is fillEngine where the configuration in force has no description, from the one that the
// request was admitted under: the service may have been removed while the request's body was read, or
// added by a configuration that is not in force here yet.
func (t *targets) fillEngineOfAdmission(criteria *dispatch.Request, admitted *fleet.Configuration) {
	if criteria.Engine != nil {
		return
	}
	engine := engineOf(admitted, criteria.Service)
	if engine == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.useEngine(criteria, engine)
}

// useEngine fills in the description of a model server, nil if there is none. The mutex must be held.
func (t *targets) useEngine(criteria *dispatch.Request, engine *dispatch.Engine) {
	criteria.Engine = engine
	if criteria.Engine != nil {
		criteria.Figures = t.core.Figures(criteria.Service, criteria.Engine)
		criteria.Prompt = fleet.ValidTokens(criteria.Prompt, criteria.Engine.MaxPrompt)
	}
}

// typicalWait is how long the first byte of an answer typically takes.
func (t *targets) typicalWait(chosen choice, criteria *dispatch.Request) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.TypicalWait(chosen.Decision, criteria)
}

// evacuated reports whether a server is in an evacuated zone, which gets no new requests.
func (t *targets) evacuated(k *target) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.Evacuated(k.Zone)
}

// allowed reports whether a residency allows a server's zone.
func (t *targets) allowed(k *target, residency fleet.Residency) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.Allowed(k.Zone, residency)
}

// applyCold records how much longer a server is cold according to its answer.
func (t *targets) applyCold(k *target, left time.Duration) {
	if left <= 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.RecordCold(k.Candidate, left, time.Now())
}

// evacuationCounts returns how many requests are open in evacuated zones, and how long each zone
// took to become idle.
func (t *targets) evacuationCounts() (open int, took map[string]time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.EvacuationCounts()
}

// coldCounts returns the number of cold servers and the number of requests sent to them.
func (t *targets) coldCounts() (servers int, sent uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.ColdCounts(time.Now())
}
