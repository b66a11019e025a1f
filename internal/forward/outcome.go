package forward

import (
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/logging"
)

// What attempts show is told to the decisions here.

// fail notes an attempt that the server spoilt.
func (t *targets) fail(k *target, reason string, hard bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if ejected := t.core.Fail(k.Candidate, hard, time.Now()); ejected > 0 {
		t.log.Log(logging.ServerEjected, zap.String("server", k.ID), zap.String("reason", reason), zap.Duration("for", ejected))
	}
}

// succeed notes an attempt that the server carried out.
func (t *targets) succeed(k *target, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.core.Succeed(k.Candidate, took) {
		t.log.Log(logging.ServerReturned, zap.String("server", k.ID))
	}
}

// sawFirst notes how long a stream's first event took.
func (t *targets) sawFirst(k *target, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.SawFirstEvent(k.Candidate, took)
}

// sawVersion notes the version that an answer named.
func (t *targets) sawVersion(k *target, version uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.SawVersion(k.Candidate, version)
}

// release takes a request off its server's count.
func (t *targets) release(send *dispatch.Send) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.Release(send)
	for _, change := range t.core.Emptied(time.Now()) {
		t.follow(change)
	}
}

// readPrompt takes a request's prompt off its server's unread ones.
func (t *targets) readPrompt(send *dispatch.Send, begun bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.core.PromptRead(send, begun, time.Now())
}

// suspect reports whether there is evidence against a server.
func (t *targets) suspect(k *target) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.core.Suspect(k.Candidate, time.Now())
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
	w.targets.core.LearnStream(w.wanted.Service, w.wanted.Prompt, w.events, writing)
}
