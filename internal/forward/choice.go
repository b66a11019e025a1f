package forward

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// choice is a decided server, with its connections.
type choice struct {
	dispatch.Decision
	target *target
}

// choose picks a server, also one that was tried over a connection that was silent if there
// is no other.
func (w *work) choose() (choice, *fault.Refusal) {
	chosen, refusal := w.targets.choose(w)
	if refusal == nil || len(w.silentAt) == 0 {
		return chosen, refusal
	}
	w.wanted.Tried = slices.DeleteFunc(w.wanted.Tried, func(k *dispatch.Candidate) bool { return slices.Contains(w.silentAt, k) })
	w.silentAt = nil
	return w.targets.choose(w)
}

// choose picks the server for a request and counts the request as in flight. A
// refusal is proof that nothing was sent.
func (t *targets) choose(w *work) (choice, *fault.Refusal) {
	defer t.tellZone()
	now := t.lockWithMembers()
	defer t.mutex.Unlock()
	decision, refusal := t.core.Choose(&w.wanted, now)
	if refusal != nil {
		w.request.Admission = refusal.Admission
		t.logRefusal(w, refusal)
		return choice{}, refusalOf(refusal)
	}
	w.placed, w.request.Admission = decision.Send, decision.Admission
	if decision.Trial {
		t.noteTrial(w, decision.Candidate, now)
	}
	return choice{Decision: decision, target: t.targetOf(decision.Candidate)}, nil
}

// lockWithMembers takes the mutex for a decision at the time returned, after the decisions were told
// which other entries there are where that is due. It does not hold the mutex while it asks for them:
// who knows them has a mutex of its own, which is held while it works through what all agents tell.
// One request asks, and others go on with the entries known before.
func (t *targets) lockWithMembers() time.Time {
	t.mutex.Lock()
	now := time.Now()
	entriesDue, zoneDue := t.core.EntryLookupDue(now), t.zoneDue(now)
	if !entriesDue && !zoneDue {
		return now
	}
	if entriesDue {
		t.core.BeginEntryLookup()
	}
	if zoneDue {
		t.health.lookedAt = now
	}
	t.mutex.Unlock()
	var entries, zone []string
	if entriesDue {
		entries = t.entries()
	}
	if zoneDue {
		zone = t.health.source.ZoneEntries()
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

// logRefusal logs why no server was chosen: how many servers fall out for which
// reason, and how long the soonest of the others would have the request wait.
func (t *targets) logRefusal(w *work, refusal *dispatch.Refusal) {
	t.log.Log(logging.NoServerChosen, zap.String("request", w.request.Call.RequestID), zap.String("service", w.wanted.Service),
		zap.Any("servers", refusal.Servers), zap.Duration("oldest_status", refusal.OldestReport),
		zap.Int("prompt_tokens", w.wanted.Prompt), zap.Inline(admissionFields(refusal.Admission)),
		zap.Duration("since_first_attempt", w.wanted.Arrival.Elapsed), zap.Uint64("at_least_version", w.wanted.MinVersion), zap.Uint64("exactly_version", w.wanted.ExactVersion),
		regionsField(w.wanted.Residency))
}

// describe fills in what a request wants of a model server of its service.
func (t *targets) describe(wanted *dispatch.Request) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	wanted.Engine = t.engines[wanted.Service]
	if wanted.Engine != nil {
		wanted.Figures = t.core.Figures(wanted.Service, wanted.Engine)
		wanted.Prompt = fleet.ValidTokens(wanted.Prompt, wanted.Engine.MaxPrompt)
	}
}

// usualWait is how long the first byte of an answer usually takes.
func (t *targets) usualWait(chosen choice, wanted *dispatch.Request) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.TypicalWait(chosen.Decision, wanted)
}

// evacuated reports whether a server's zone is to be sent nothing new.
func (t *targets) evacuated(k *target) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.Evacuated(k.Zone)
}

// allowed reports whether a server may be sent a request with a residency.
func (t *targets) allowed(k *target, residency fleet.Residency) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.Allowed(k.Zone, residency)
}

// sawCold notes what an answer has said of how much longer its server is cold.
func (t *targets) sawCold(k *target, left time.Duration) {
	if left <= 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.RecordCold(k.Candidate, left, time.Now())
}

// evacuationCounts tells how many requests are open in evacuated zones, and how long the last
// of each zone took to end.
func (t *targets) evacuationCounts() (open int, took map[string]time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.EvacuationCounts()
}

// coldCounts returns how many servers are cold, and how many requests were sent to cold ones.
func (t *targets) coldCounts() (servers int, sent uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.ColdCounts(time.Now())
}
