package forward

import (
	"time"

	"pinevane.example/pinevane/coordination/dispatch"
)

// What attempts show is told to the decisions here.

// succeed notes how long a whole answer took.
func (t *targets) succeed(k *target, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.RecordAnswerTime(k.Candidate, took)
}

// sawFirst notes how long a stream's first event took.
func (t *targets) sawFirst(k *target, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.RecordFirstEvent(k.Candidate, took)
}

// sawVersion notes the version that an answer named.
func (t *targets) sawVersion(k *target, version uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.RecordVersion(k.Candidate, version)
}

// release takes a request off its server's count.
func (t *targets) release(send *dispatch.Send) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.Release(send)
	for _, change := range t.core.NewlyIdleZones(time.Now()) {
		t.follow(change)
	}
}

// readPrompt takes a request's prompt off its server's unread ones.
func (t *targets) readPrompt(send *dispatch.Send, begun bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.EndPrefill(send, begun, time.Now())
}

// suspect reports whether there is evidence against a server, for a request sent at a time.
func (t *targets) suspect(k *target, sentAt time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.FailureSuspected(k.Candidate, sentAt, time.Now())
}

// unsent takes an attempt that gave nothing, or a whole answer, off the server's counts.
func (w *work) unsent() {
	w.targets.release(w.placed)
	if w.wanted.Engine != nil {
		w.targets.readPrompt(w.placed, w.attemptBegun)
	}
}

// learnStream notes a stream that one server has written from its first event to its
// last.
func (w *work) learnStream() {
	if w.wanted.Engine == nil || w.sent != 1 {
		return
	}
	writing := w.eventAt.Sub(w.request.Arrived.Add(w.firstAfter))
	w.targets.mutex.Lock()
	defer w.targets.mutex.Unlock()
	w.targets.core.RecordStream(w.wanted.Service, w.wanted.Prompt, w.events, writing)
}
