package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// script feeds one process's tracker, as requests and servers go.
type script struct {
	t *testing.T
	*Tracker
	now time.Duration
}

func newScript(t *testing.T, self string) *script {
	return &script{t: t, Tracker: New(self, 1000), now: time.Minute}
}

func named(name string) Fingerprint { return contentOf("college", "a.example", "/"+name, "") }

func (s *script) wait(span time.Duration) { s.now += span }

// ends has a server end under requests of this process that were sent some time before.
func (s *script) ends(server string, contents ...Fingerprint) {
	for _, content := range contents {
		s.RecordBrokenConnection(server, content, s.now-50*time.Millisecond, s.now)
	}
	s.RecordCrash(server, s.now)
}

// settled lets the others' words come.
func (s *script) settled() { s.wait(settleTime) }

func (s *script) state(content Fingerprint) State { return s.Evaluate(content, s.now).State }

// tells passes everything new on to another process.
func (s *script) tells(other *script, after time.Duration) {
	for _, word := range s.TakeReports() {
		word.At += other.now - s.now
		other.Apply(word, other.now+after)
	}
}

func TestContentAtThreeEndsIsQuarantined(t *testing.T) {
	s := newScript(t, "one")
	culprit := named("culprit")
	for number := range endsForQuarantine {
		s.ends(fmt.Sprintf("server-%d", number), culprit, named(fmt.Sprintf("harmless-%d", number)))
		s.wait(time.Second)
	}
	verdict := s.Evaluate(culprit, s.now)
	assert.Equal(t, InQuarantine, verdict.State)
	assert.Equal(t, []string{"server-0", "server-1", "server-2"}, verdict.Servers)
	for number := range endsForQuarantine {
		assert.Equal(t, Allowed, s.state(named(fmt.Sprintf("harmless-%d", number))))
	}
}

// What others have to say of the last end is waited for; the content is not sent meanwhile.
func TestThirdEndIsSettledBeforeTheVerdict(t *testing.T) {
	s := newScript(t, "one")
	for number := range endsForQuarantine {
		s.wait(time.Second)
		s.ends(fmt.Sprintf("server-%d", number), named("culprit"))
	}
	assert.Equal(t, Undecided, s.state(named("culprit")))
	s.settled()
	assert.Equal(t, InQuarantine, s.state(named("culprit")))
}

// A harmless content was under way at each server that the culprit has ended: both run apart, and the
// next end tells which it was.
func TestVictimOfTheSameServersIsNotShutOut(t *testing.T) {
	s := newScript(t, "one")
	culprit, victim := named("culprit"), named("victim")
	for number := range endsForQuarantine {
		s.ends(fmt.Sprintf("server-%d", number), culprit, victim)
		s.wait(time.Second)
	}
	assert.Equal(t, Suspected, s.state(culprit))
	assert.Equal(t, Suspected, s.state(victim))
	s.ends("server-3", culprit)
	s.settled()
	assert.Equal(t, InQuarantine, s.state(culprit))
	assert.Equal(t, Allowed, s.state(victim))
}

// The culprit was sent by another entry, whose words come later than the third end.
func TestVictimIsNotBlamedBeforeTheOthersWordsAreHere(t *testing.T) {
	one, other := newScript(t, "one"), newScript(t, "other")
	culprit, victim := named("culprit"), named("victim")
	for number := range endsForQuarantine {
		one.wait(time.Second)
		other.wait(time.Second)
		one.ends(fmt.Sprintf("server-%d", number), victim)
		other.ends(fmt.Sprintf("server-%d", number), culprit)
	}
	assert.Equal(t, Undecided, one.state(victim))
	other.tells(one, 100*time.Millisecond)
	one.settled()
	assert.Equal(t, Suspected, one.state(victim))
	other.ends("server-3", culprit)
	other.tells(one, 0)
	one.settled()
	assert.Equal(t, InQuarantine, one.state(culprit))
	assert.Equal(t, Allowed, one.state(victim))
}

// Two contents that can't be told apart don't end servers for ever.
func TestContentsThatCanNotBeToldApartAreBothQuarantined(t *testing.T) {
	s := newScript(t, "one")
	for number := range endsAtMost {
		s.ends(fmt.Sprintf("server-%d", number), named("one"), named("two"))
		s.wait(time.Second)
	}
	assert.Equal(t, InQuarantine, s.state(named("one")))
}

// Suspects run one request at a time, and the servers that have one are known.
func TestSuspectRunsOneAtATime(t *testing.T) {
	s := newScript(t, "one")
	for number := range endsForSuspicion {
		s.ends(fmt.Sprintf("server-%d", number), named("suspect"))
		s.wait(time.Second)
	}
	assert.Equal(t, Suspected, s.state(named("suspect")))
	assert.Equal(t, Suspected, s.Admit(named("suspect"), s.now).State)
	s.SetTrialServer(named("suspect"), "server-7")
	assert.Equal(t, Undecided, s.state(named("suspect")))
	assert.Equal(t, []string{"server-7"}, s.TrialServers())
	s.EndTrial(named("suspect"))
	assert.Equal(t, Suspected, s.state(named("suspect")))
	assert.Empty(t, s.TrialServers())
}

func TestAnswerClearsAContent(t *testing.T) {
	s := newScript(t, "one")
	for number := range endsForSuspicion {
		s.ends(fmt.Sprintf("server-%d", number), named("x"))
		s.wait(time.Second)
	}
	s.RecordAnswer(named("x"), s.now)
	assert.Equal(t, Allowed, s.state(named("x")))
	s.wait(time.Second)
	s.ends("server-9", named("x"))
	s.settled()
	assert.Equal(t, Allowed, s.state(named("x")), "one end since the answer")
}

// A request that was under way when its content was quarantined is answered after all.
func TestAnswerEndsAQuarantineEverywhere(t *testing.T) {
	one, other := newScript(t, "one"), newScript(t, "other")
	for number := range endsForQuarantine {
		one.ends(fmt.Sprintf("server-%d", number), named("x"))
		one.wait(time.Second)
		other.wait(time.Second)
	}
	assert.Equal(t, InQuarantine, one.state(named("x")))
	one.tells(other, 0)
	assert.Equal(t, InQuarantine, other.state(named("x")))
	other.RecordAnswer(named("x"), other.now)
	other.tells(one, 0)
	assert.Equal(t, Allowed, one.state(named("x")))
	assert.Equal(t, Allowed, other.state(named("x")))
}

// A connection that breaks while its server lives says nothing, and neither does one that broke long
// before the end.
func TestBrokenConnectionAloneIsNoEnd(t *testing.T) {
	s := newScript(t, "one")
	for number := range 2 * endsForQuarantine {
		s.RecordBrokenConnection(fmt.Sprintf("server-%d", number), named("x"), s.now-time.Second, s.now)
		assert.True(t, s.HasBrokenConnections(fmt.Sprintf("server-%d", number), s.now))
		s.wait(2 * confirmWithin)
		s.RecordCrash(fmt.Sprintf("server-%d", number), s.now)
	}
	s.settled()
	assert.Equal(t, Allowed, s.state(named("x")))
	assert.Empty(t, s.TakeReports())
}

// Connections to a server go on breaking for long before it ends, as at one that resets them: what broke
// long before says nothing of its end, costs bounded memory, and the server is looked after again.
func TestResetsThatGoOnAreBoundedAndDoNotCount(t *testing.T) {
	s := newScript(t, "one")
	looks := 0
	for number := range 2000 {
		s.wait(10 * time.Millisecond)
		if s.RecordBrokenConnection("server", named(fmt.Sprint(number)), s.now-time.Millisecond, s.now) {
			looks++
		}
	}
	assert.InDelta(t, 20*time.Second/checkPause, looks, 1)
	assert.LessOrEqual(t, len(s.broken["server"].requests), MaxSuspects)
	s.RecordCrash("server", s.now)
	assert.Equal(t, 1, len(s.evidence.held[named("1999")]))
	assert.Empty(t, s.evidence.held[named("1900")], "it broke 1 s before")
}

// All servers end at once, as in a loss of power, and a content that many callers ask for was under
// way at most of them.
func TestLossOfAllServersBlamesNoContentThatIsAnswered(t *testing.T) {
	s := newScript(t, "one")
	popular := named("popular")
	s.RecordAnswer(popular, s.now)
	s.wait(time.Second)
	for number := range 20 {
		s.ends(fmt.Sprintf("server-%d", number), popular)
	}
	s.settled()
	assert.Equal(t, Allowed, s.state(popular))
	s.wait(5 * time.Second)
	s.RecordAnswer(popular, s.now)
	assert.Equal(t, Allowed, s.state(popular))
}

// Guards against the quarantine of a content that everybody asks for: servers that are lost together end
// some milliseconds apart, and its requests go from one that has ended to the next.
func TestServersLostOneAfterTheOtherBlameNoContentThatIsAnswered(t *testing.T) {
	s := newScript(t, "one")
	popular := named("popular")
	s.RecordAnswer(popular, s.now)
	s.wait(time.Second)
	for number := range 8 {
		server := fmt.Sprintf("server-%d", number)
		s.wait(6 * time.Millisecond)
		s.RecordBrokenConnection(server, popular, s.now-time.Millisecond, s.now)
		s.RecordCrash(server, s.now)
	}
	s.settled()
	assert.Equal(t, Allowed, s.state(popular))
}

// The same content, once it ends every server: it is quarantined after three that it was sent to one
// after the other.
func TestContentThatWasAnsweredIsQuarantinedToo(t *testing.T) {
	s := newScript(t, "one")
	s.RecordAnswer(named("x"), s.now)
	for number := range endsForQuarantine {
		s.wait(time.Second)
		s.ends(fmt.Sprintf("server-%d", number), named("x"))
	}
	s.settled()
	assert.Equal(t, InQuarantine, s.state(named("x")))
}

func TestTriesAtTheSameMomentInThreeZonesCount(t *testing.T) {
	var entries []*script
	for zone := range 3 {
		entry := newScript(t, fmt.Sprintf("entry-%d", zone))
		entry.ends(fmt.Sprintf("server-%d", zone), named("culprit"), named(fmt.Sprintf("harmless-%d", zone)))
		entries = append(entries, entry)
	}
	for _, word := range entries[1].TakeReports() {
		entries[0].Apply(word, entries[0].now)
	}
	assert.Equal(t, Suspected, entries[0].state(named("culprit")))
	entries[2].tells(entries[0], 0)
	entries[0].settled()
	assert.Equal(t, InQuarantine, entries[0].state(named("culprit")))
	entries[0].tells(entries[1], 0)
	entries[1].wait(settleTime)
	assert.Equal(t, InQuarantine, entries[1].state(named("culprit")))
}

// A server that starts again under its name ends again.
func TestServerThatEndsAgainUnderItsNameCountsAgain(t *testing.T) {
	s := newScript(t, "one")
	for range endsForQuarantine {
		s.ends("server", named("culprit"))
		s.wait(2 * time.Second)
	}
	assert.Equal(t, InQuarantine, s.state(named("culprit")))
}

// Two processes see the same end, at moments that differ a little.
func TestSameEndOfTwoProcessesCountsOnce(t *testing.T) {
	one, other := newScript(t, "one"), newScript(t, "other")
	for number := range endsForSuspicion {
		server := fmt.Sprintf("server-%d", number)
		one.ends(server, named("x"))
		other.wait(150 * time.Millisecond)
		other.ends(server, named("x"))
		other.tells(one, 0)
		one.wait(time.Second)
		other.wait(time.Second - 150*time.Millisecond)
	}
	assert.Equal(t, Suspected, one.state(named("x")))
}

func TestQuarantineEndsByItselfAndLastsLongerEachTime(t *testing.T) {
	s := newScript(t, "one")
	for number := range endsForQuarantine {
		s.ends(fmt.Sprintf("server-%d", number), named("x"))
		s.wait(time.Second)
	}
	first := s.Evaluate(named("x"), s.now)
	assert.InDelta(t, firstQuarantine.Seconds(), first.Remaining.Seconds(), 2)
	s.wait(first.Remaining)
	assert.Equal(t, Suspected, s.state(named("x")), "it is tried at one server")
	s.ends("server-9", named("x"))
	s.settled()
	second := s.Evaluate(named("x"), s.now)
	assert.Equal(t, InQuarantine, second.State)
	assert.InDelta(t, 2*firstQuarantine.Seconds(), second.Remaining.Seconds(), 2)
	s.wait(second.Remaining)
	s.RecordAnswer(named("x"), s.now)
	assert.Equal(t, Allowed, s.state(named("x")))
}

// A word of a quarantine that an operator has ended comes from a zone that was cut off.
func TestReleasedContentIsNotShutByALateWord(t *testing.T) {
	one, other := newScript(t, "one"), newScript(t, "other")
	for number := range endsForQuarantine {
		one.ends(fmt.Sprintf("server-%d", number), named("x"))
		one.wait(time.Second)
		other.wait(time.Second)
	}
	one.settled()
	one.Tick(one.now)
	late := one.TakeReports()
	assert.True(t, one.Release(named("x"), one.now))
	assert.False(t, one.Release(named("y"), one.now), "nothing is held against it")
	one.tells(other, 0)
	for _, word := range late {
		other.Apply(word, other.now)
	}
	other.settled()
	assert.Equal(t, Allowed, one.state(named("x")))
	assert.Equal(t, Allowed, other.state(named("x")))
}

// A caller with many contents of the kind does not push out that of another.
func TestManyContentsOfOneCallerDropNoneOfAnother(t *testing.T) {
	s := newScript(t, "one")
	shut := func(content Fingerprint) {
		s.wait(time.Second)
		s.Apply(Report{Kind: Quarantined, At: s.now, Entry: "other", Fingerprint: content, Duration: firstQuarantine}, s.now)
	}
	shut(named("x"))
	archive := NewArchive()
	archive.Add(Report{Kind: Quarantined, At: s.now, Entry: "other", Fingerprint: named("x"), Duration: firstQuarantine}, s.now)
	for number := range 2 * mostQuarantined {
		attacker := contentOf("attacker", "", fmt.Sprint(number), "")
		shut(attacker)
		archive.Add(Report{Kind: Quarantined, At: s.now, Entry: "other", Number: uint64(number) + 1, Fingerprint: attacker, Duration: firstQuarantine}, s.now)
	}
	assert.Equal(t, InQuarantine, s.state(named("x")))
	assert.LessOrEqual(t, len(s.Describe(s.now)), mostQuarantined)
	words := archive.Since(0)
	assert.LessOrEqual(t, len(words), mostShutWords)
	assert.Equal(t, named("x"), words[0].Fingerprint)
}

func TestEvidenceIsBounded(t *testing.T) {
	s := newScript(t, "one")
	for number := range 4 * mostEnds {
		contents := make([]Fingerprint, 0, 2*MaxSuspects)
		for suspect := range 2 * MaxSuspects {
			contents = append(contents, named(fmt.Sprintf("%d-%d", number, suspect)))
		}
		s.wait(time.Second)
		s.ends(fmt.Sprintf("server-%d", number), contents...)
	}
	assert.LessOrEqual(t, len(s.evidence.ends), mostEnds)
	assert.LessOrEqual(t, len(s.evidence.held), mostEnds*MaxSuspects)
	s.wait(2 * evidenceMemory)
	s.Tick(s.now)
	assert.Empty(t, s.evidence.held)
	assert.Empty(t, s.evidence.ends)
}

// Whoever hears the same words, in whatever order, decides the same; a process that starts learns it
// from what another one holds.
func TestWordsInAnyOrderGiveTheSameVerdicts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		teller := newScript(t, "teller")
		archive := NewArchive()
		contents := rapid.IntRange(1, 6).Draw(r, "contents")
		for number := range rapid.IntRange(1, 12).Draw(r, "ends") {
			teller.wait(time.Second)
			var under []Fingerprint
			for content := range contents {
				if rapid.Bool().Draw(r, "under way") {
					under = append(under, named(fmt.Sprint(content)))
				}
			}
			teller.ends(fmt.Sprintf("server-%d", number), under...)
		}
		teller.settled()
		words := teller.TakeReports()
		order := rapid.Permutation(words).Draw(r, "order")
		hearer := newScript(t, "hearer")
		hearer.now = teller.now
		for _, word := range order {
			archive.Add(word, teller.now)
		}
		for _, word := range archive.Since(0) {
			hearer.Apply(word, hearer.now)
		}
		for content := range contents {
			assert.Equal(t, teller.evidence.leads(named(fmt.Sprint(content))), hearer.evidence.leads(named(fmt.Sprint(content))))
		}
	})
}

func TestArchiveTakesAWordOnce(t *testing.T) {
	archive := NewArchive()
	word := Report{Kind: Crashed, At: time.Minute, Entry: "one", Number: 1, Server: "server"}
	assert.True(t, archive.Add(word, time.Minute))
	assert.False(t, archive.Add(word, time.Minute))
	word.Number = 2
	assert.True(t, archive.Add(word, time.Minute))
	assert.Len(t, archive.Since(0), 2)
	assert.Len(t, archive.Since(1), 1)
	archive.Expire(time.Minute + 2*evidenceMemory)
	assert.Empty(t, archive.Since(0))
}

// BenchmarkJudge is what a request costs beside its hash, while 64 contents are quarantined.
func BenchmarkJudge(b *testing.B) {
	tracker := New("one", 0)
	for number := range 64 {
		tracker.Apply(Report{Kind: Quarantined, Entry: "other", Fingerprint: named(fmt.Sprint(number)), Duration: firstQuarantine}, 0)
	}
	content := named("x")
	b.ReportAllocs()
	for range b.N {
		tracker.Evaluate(content, time.Minute)
		tracker.RecordAnswer(content, time.Minute)
	}
}
