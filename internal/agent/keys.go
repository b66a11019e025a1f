package agent

import (
	"slices"

	"pinevane.example/pinevane/coordination/attempt"
	"pinevane.example/pinevane/internal/protocol"
)

// keyName is a caller's key within its tenant.
type keyName struct {
	tenant string
	key    string
}

// keyEntry is a non-repeatable call that started; the answer is nil until it
// has ended well.
type keyEntry struct {
	name   keyName
	id     attempt.ID
	answer *protocol.Answer
}

// keyLedger remembers the newest non-repeatable calls, by attempt and by the
// caller's key. It is not safe for concurrent use.
type keyLedger struct {
	limit  int
	byKey  map[keyName]*keyEntry
	byID   map[attempt.ID]*keyEntry
	recent []*keyEntry
}

func newKeyLedger(limit int) *keyLedger {
	return &keyLedger{limit: limit, byKey: map[keyName]*keyEntry{}, byID: map[attempt.ID]*keyEntry{}}
}

func nameOf(submit protocol.Submit) keyName {
	return keyName{tenant: submit.Tenant, key: submit.Key}
}

// claim takes a key for an attempt. When the key is taken, known is true and
// the answer is that of the earlier call, or nil while it has none.
func (l *keyLedger) claim(submit protocol.Submit) (answer *protocol.Answer, known bool) {
	if earlier, taken := l.byKey[nameOf(submit)]; taken {
		return earlier.answer, true
	}
	l.add(&keyEntry{name: nameOf(submit), id: submit.ID})
	return nil, false
}

// release frees a key whose call provably did not run.
func (l *keyLedger) release(submit protocol.Submit) {
	entry, held := l.byID[submit.ID]
	if !held {
		return
	}
	l.drop(entry)
	l.recent = slices.DeleteFunc(l.recent, func(other *keyEntry) bool { return other == entry })
}

// record keeps the answer of a non-repeatable call.
func (l *keyLedger) record(submit protocol.Submit, answer *protocol.Answer) {
	entry, held := l.byID[submit.ID]
	if !held {
		entry = &keyEntry{name: nameOf(submit), id: submit.ID}
		l.add(entry)
	}
	entry.answer = answer
}

// answerOf returns the answer of an attempt, or nil.
func (l *keyLedger) answerOf(id attempt.ID) *protocol.Answer {
	if entry, held := l.byID[id]; held {
		return entry.answer
	}
	return nil
}

func (l *keyLedger) add(entry *keyEntry) {
	if entry.name.key != "" {
		l.byKey[entry.name] = entry
	}
	l.byID[entry.id] = entry
	l.recent = append(l.recent, entry)
	if len(l.recent) > l.limit {
		l.drop(l.recent[0])
		l.recent = slices.Delete(l.recent, 0, 1)
	}
}

func (l *keyLedger) drop(entry *keyEntry) {
	delete(l.byID, entry.id)
	if l.byKey[entry.name] == entry {
		delete(l.byKey, entry.name)
	}
}
