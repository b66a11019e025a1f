package forward

import (
	"time"

	"pinevane.example/pinevane/coordination/dispatch"
)

// The functions below pass the outcomes of attempts to dispatch.

// recordAnswerTime records how long a complete answer took.
func (t *targets) recordAnswerTime(k *target, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.RecordAnswerTime(k.Candidate, took)
}

// recordFirstEvent records how long a stream's first event took.
func (t *targets) recordFirstEvent(k *target, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.RecordFirstEvent(k.Candidate, took)
}

// recordVersion records the version that an answer named.
func (t *targets) recordVersion(k *target, version uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.RecordVersion(k.Candidate, version)
}

// release removes a request from its server's in-flight count.
func (t *targets) release(send *dispatch.Send) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.Release(send)
	for _, change := range t.core.NewlyIdleZones(time.Now()) {
		t.applyChange(change)
	}
}

// recordPromptRead removes a request's prompt from its server's unread tokens.
func (t *targets) recordPromptRead(send *dispatch.Send, begun bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.EndPrefill(send, begun, time.Now())
}

// isSuspect reports whether there is evidence against a server for a request sent at the given
// time.
func (t *targets) isSuspect(k *target, sentAt time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.FailureSuspected(k.Candidate, sentAt, time.Now())
}

// releaseAttempt removes an attempt that failed, or whose answer is complete, from the server's
// counts.
func (w *forwarding) releaseAttempt() {
	w.targets.release(w.currentSend)
	if w.criteria.Engine != nil {
		w.targets.recordPromptRead(w.currentSend, w.attemptBegun)
	}
}

// recordStream records the size and duration of a stream that one server has written from its first
// event to its last.
func (w *forwarding) recordStream() {
	if w.criteria.Engine == nil || w.attempts != 1 {
		return
	}
	writing := w.lastEventAt.Sub(w.request.Arrived.Add(w.firstEventAfter))
	w.targets.mutex.Lock()
	defer w.targets.mutex.Unlock()
	w.targets.core.RecordStream(w.criteria.Service, w.criteria.Prompt, w.events, writing)
}
