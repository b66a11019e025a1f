package health

import "time"

// Figures of words from other entries.
const (
	// hintWeight is what another entry's evidence counts of one's own: the fault may lie
	// between it and the server.
	hintWeight = 0.5
	// hintCap keeps hints alone from ejecting a server.
	hintCap = ejectAt - 1.5
	// sameEjection is by how much two entries may differ on when a server was ejected: a word takes
	// some milliseconds on its way, which are added. It is less than firstEjection, so that two
	// ejections are told apart.
	sameEjection = 150 * time.Millisecond
	// hintTime is how long a hint counts, less and less.
	hintTime = 3 * time.Second
	// mostImposedShare is the part of a service's servers, but one at the least, that one other
	// entry may have ejected here at a time. An entry whose own connections fail takes many for
	// failing; of two that agree each may.
	mostImposedShare = 0.125
	// disputed is the evidence that is left of an ejection that does not hold here: it makes the
	// server suspect.
	disputed = ejectAt + 1
)

// Report is what an entry tells the others of its zone of one server. Times are ages and spans,
// so that clocks need not agree.
type Report struct {
	Server string
	// Entry is who found it out.
	Entry string
	// Ejected servers are sent nothing for Left, and then trials; otherwise Evidence is what
	// the entry holds against the server, 0 after its return.
	Ejected  bool
	Returned bool
	Evidence float64
	// Failed and Served count the entry's attempts of the last Since, with older ones forgotten
	// by and by. Changed is for how long the state holds.
	Failed     float64
	Served     float64
	FailureAge time.Duration
	StateAge   time.Duration
	Remaining  time.Duration
	Round      int
	// TrialOpen is set while a trial is under way.
	TrialOpen bool
	// Unresponsive servers answer nothing.
	Unresponsive bool
	// AnswerAge is the age of the last answer of the server to the entry, Tried that of the entry's
	// last trial of it as a lost one; 0 if there was none lately.
	AnswerAge    time.Duration
	LostTrialAge time.Duration
}

// hint is another entry's evidence.
type hint struct {
	evidence       float64
	failed, served float64
	at             time.Duration
}

// tell notes a word for the other entries. Where the failures are over it counts nothing: others would
// take what is left of the counts for new failures, and successes beside them.
func (t *Tracker) tell(server string, held *record, now time.Duration) {
	word := Report{
		Server: server, Entry: t.self, Ejected: held.ejected, Returned: !held.ejected && held.changedAt == now,
		StateAge: now - held.changedAt, Remaining: held.till - now, Round: held.round,
		TrialOpen: held.trialOpen, Unresponsive: held.mute, AnswerAge: lately(held.servedAt, now), LostTrialAge: lately(held.lost.ownTrialAt, now),
	}
	if held.failurePeriodLasts(now) || held.ejected {
		word.Failed, word.Served, word.FailureAge = held.failurePeriod.failed, held.failurePeriod.served, now-held.failurePeriod.began
		word.Evidence = held.against(now)
	}
	t.words = append(t.words, word)
	held.lost.toldAt = max(held.lost.toldAt, held.servedAt)
}

// TakeReports returns what the other entries are to be told since the last call.
func (t *Tracker) TakeReports() []Report {
	taken := t.words
	t.words = nil
	return taken
}

// ApplyReport takes in what another entry said at a time, and returns the change that it brings.
func (t *Tracker) ApplyReport(word Report, at, now time.Duration) (Change, bool) {
	if word.Entry == t.self {
		return Change{}, false
	}
	word, at = word.limited(), min(at, now)
	held := t.servers[word.Server]
	if held == nil {
		t.keepEarly(earlyWord{word: word, at: at})
		return Change{}, false
	}
	held.hearLost(word, at)
	if word.onlyProof() {
		return Change{}, false
	}
	changedAt := at - word.StateAge
	switch {
	case word.Ejected:
		return t.hearEjected(held, word, at, changedAt, now)
	case word.Returned:
		return t.hearReturned(held, word, changedAt, now)
	}
	held.beginFailurePeriod(at-word.FailureAge, at)
	held.hear(word, at)
	return Change{}, false
}

// mostEarly is how many words on servers that are not listed yet are held.
const mostEarly = 64

// earlyWord is a word on a server that was not listed when it came: an entry that starts may be
// told of servers' health before it has the list.
type earlyWord struct {
	word Report
	at   time.Duration
}

func (t *Tracker) keepEarly(one earlyWord) {
	t.early = append(t.early, one)
	if len(t.early) > mostEarly {
		t.early = t.early[1:]
	}
}

// hearEarly takes in the words on servers that have been listed since.
func (t *Tracker) hearEarly() []Change {
	var kept []earlyWord
	var changes []Change
	for _, one := range t.early {
		if t.servers[one.word.Server] == nil {
			kept = append(kept, one)
			continue
		}
		if change, changed := t.ApplyReport(one.word, one.at, one.at); changed {
			changes = append(changes, change)
		}
	}
	t.early = kept
	return changes
}

// hear notes another entry's evidence.
func (r *record) hear(word Report, at time.Duration) {
	if _, known := r.hints[word.Entry]; !known && len(r.hints) >= mostHints {
		oldest := word.Entry
		oldestAt := at
		for entry, one := range r.hints {
			if one.at < oldestAt || (one.at == oldestAt && entry < oldest) {
				oldest, oldestAt = entry, one.at
			}
		}
		delete(r.hints, oldest)
		if oldest == word.Entry {
			return
		}
	}
	r.hints[word.Entry] = hint{evidence: word.Evidence, failed: word.Failed, served: word.Served, at: at}
}

// hinted is what the hints of other entries add to the evidence.
func (r *record) hinted(now time.Duration) float64 { return r.hintedBut("", now) }

// hintedBut leaves one entry out.
func (r *record) hintedBut(entry string, now time.Duration) float64 {
	sum := 0.0
	for teller, one := range r.hints {
		if age := now - one.at; teller != entry && age < hintTime {
			sum += hintWeight * one.evidence * (1 - max(0, float64(age)/float64(hintTime)))
		}
	}
	return min(sum, hintCap)
}

// hearEjected takes over an ejection, or what has become of one that is known.
func (t *Tracker) hearEjected(held *record, word Report, at, changedAt, now time.Duration) (Change, bool) {
	if held.ejected {
		if till := at + word.Remaining; changedAt > held.changedAt || till > held.till {
			if word.Round > held.round || changedAt-held.changedAt > sameEjection {
				held.trialOpen, held.ownTrial = false, false
			}
			held.till, held.round, held.changedAt = max(held.till, till), max(held.round, word.Round), max(held.changedAt, changedAt)
			held.mute = word.Unresponsive
		}
		held.followTrial(word, at)
		return Change{}, false
	}
	if changedAt <= held.changedAt {
		return Change{}, false
	}
	if !t.believes(held, word, at) {
		return Change{}, false
	}
	from := t.State(word.Server, now)
	t.dropFromUsual(held, now)
	held.ejected, held.by, held.changedAt, held.till = true, word.Entry, changedAt, at+word.Remaining
	held.round, held.mute = max(held.round, word.Round), word.Unresponsive
	held.trialOpen, held.ownTrial = false, false
	held.followTrial(word, at)
	return Change{Server: word.Server, From: from, To: Ejected, Reporter: word.Entry, Duration: held.till - now, Round: held.round}, true
}

// followTrial takes over how the trials of another entry go.
func (r *record) followTrial(word Report, at time.Duration) {
	if at < r.till || r.ownTrial {
		return
	}
	r.trialOpen = word.TrialOpen
	if word.TrialOpen {
		r.trialAt = at
	}
}

// believes reports whether another entry's ejection holds here too.
func (t *Tracker) believes(held *record, word Report, at time.Duration) bool {
	supported := held.against(at)+held.hintedBut(word.Entry, at) >= suspectAt
	held.beginFailurePeriod(at-word.FailureAge, at)
	word.Evidence = disputed
	held.hear(word, at)
	if !held.mostlyFails(0, at) || !t.mayEject(held.service) {
		return false
	}
	if supported {
		return true
	}
	servers := t.services[held.service].servers
	imposed := 0
	for _, id := range servers {
		if one := t.servers[id]; one != nil && one.service == held.service && one.ejected && one.by == word.Entry {
			imposed++
		}
	}
	return imposed < max(1, int(mostImposedShare*float64(len(servers))))
}

// hearReturned takes over that a server has served its trials.
func (t *Tracker) hearReturned(held *record, word Report, changedAt, now time.Duration) (Change, bool) {
	if !held.ejected || changedAt <= held.changedAt {
		return Change{}, false
	}
	from := t.State(word.Server, now)
	held.restore(now)
	held.changedAt = changedAt
	return Change{Server: word.Server, From: from, To: Healthy, Reporter: word.Entry, Round: held.round}, true
}
