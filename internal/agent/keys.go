package agent

import (
	"slices"

	"pinevane.example/pinevane/coordination/attempt"
	"pinevane.example/pinevane/internal/protocol"
)

// scopedKey identifies a caller's idempotency key within its tenant.
type scopedKey struct {
	tenant string
	key    string
}

// keyEntry records a non-repeatable call that has started; its answer is nil
// until the call has succeeded.
type keyEntry struct {
	idempotencyKey scopedKey
	id             attempt.ID
	answer         *protocol.Answer
}

// keyLedger records the most recent non-repeatable calls, by attempt and by the
// caller's key. It is not safe for concurrent use.
type keyLedger struct {
	limit  int
	byKey  map[scopedKey]*keyEntry
	byID   map[attempt.ID]*keyEntry
	recent []*keyEntry
}

func newKeyLedger(limit int) *keyLedger {
	return &keyLedger{limit: limit, byKey: map[scopedKey]*keyEntry{}, byID: map[attempt.ID]*keyEntry{}}
}

func scopedKeyOf(submit protocol.Submit) scopedKey {
	return scopedKey{tenant: submit.Tenant, key: submit.Key}
}

// claim reserves a key for an attempt. If the key is already in use, known is
// true and answer is that of the earlier call, or nil while there is none.
func (l *keyLedger) claim(submit protocol.Submit) (answer *protocol.Answer, known bool) {
	if earlier, taken := l.byKey[scopedKeyOf(submit)]; taken {
		return earlier.answer, true
	}
	l.add(&keyEntry{idempotencyKey: scopedKeyOf(submit), id: submit.ID})
	return nil, false
}

// release removes a key whose call certainly did not run.
func (l *keyLedger) release(submit protocol.Submit) {
	entry, found := l.byID[submit.ID]
	if !found {
		return
	}
	l.drop(entry)
	l.recent = slices.DeleteFunc(l.recent, func(other *keyEntry) bool { return other == entry })
}

// record stores the answer of a non-repeatable call.
func (l *keyLedger) record(submit protocol.Submit, answer *protocol.Answer) {
	entry, found := l.byID[submit.ID]
	if !found {
		entry = &keyEntry{idempotencyKey: scopedKeyOf(submit), id: submit.ID}
		l.add(entry)
	}
	entry.answer = answer
}

// answerOf returns the answer of an attempt, or nil.
func (l *keyLedger) answerOf(id attempt.ID) *protocol.Answer {
	if entry, found := l.byID[id]; found {
		return entry.answer
	}
	return nil
}

func (l *keyLedger) add(entry *keyEntry) {
	if entry.idempotencyKey.key != "" {
		l.byKey[entry.idempotencyKey] = entry
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
	if l.byKey[entry.idempotencyKey] == entry {
		delete(l.byKey, entry.idempotencyKey)
	}
}
