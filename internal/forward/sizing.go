package forward

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
)

// SizeFields tell in the line of a request's ending how large it is and what it was last admitted or refused by, so
// that what is lost can be split by size.
func (r *Request) SizeFields() []zap.Field {
	return []zap.Field{
		zap.Int("prompt_tokens", r.Call.PromptTokens), zap.Int("answer_tokens", r.Call.AnswerTokens), zap.Int("body_bytes", len(r.Body)),
		zap.Inline(admissionFields(r.Admission)),
	}
}

// admissionFields are the fields of what a request was admitted or refused by.
type admissionFields dispatch.Admission

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (a admissionFields) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddDuration("alone", a.IdleTimeToFirstEvent)
	encoder.AddDuration("wait", a.Wait)
	encoder.AddDuration("late", a.Lateness)
	encoder.AddDuration("most_wait", a.MaxWait)
	encoder.AddFloat64("margin", a.Margin)
	return nil
}

// Endings of generations, as labels.
const (
	endingAnswered = "answered"
	endingRefused  = "refused"
	endingFailed   = "failed"
	endingCut      = "cut"
	endingLeft     = "caller left"
)

// Sizes of generations against the usual one of their service, as labels.
const (
	sizeUnderHalf   = "under half"
	sizeUnderUsual  = "half to usual"
	sizeUnderDouble = "usual to double"
	sizeOverDouble  = "over double"
)

// sizeLabel is the label of a size that is a multiple of the usual one.
func sizeLabel(ofUsual float64) string {
	switch {
	case ofUsual < 0.5:
		return sizeUnderHalf
	case ofUsual < 1:
		return sizeUnderUsual
	case ofUsual < 2:
		return sizeUnderDouble
	}
	return sizeOverDouble
}

// countEnding counts how a generation has ended, by its size.
func (w *work) countEnding(ending string) {
	usual := fleet.GenerationSize(w.wanted.Figures.TypicalPrompt, w.wanted.Figures.TypicalAnswer)
	if w.wanted.Engine == nil || usual <= 0 {
		return
	}
	size := fleet.GenerationSize(float64(w.wanted.Prompt), float64(w.request.Call.AnswerTokens))
	w.metrics.endings.WithLabelValues(sizeLabel(size/usual), ending).Inc()
}

// endingOf is the label of a refusal.
func endingOf(refusal *fault.Refusal) string {
	switch {
	case refusal.Reason == fault.ReasonCanceled:
		return endingLeft
	case refusal.Execution == fault.ExecutionNotRun:
		return endingRefused
	}
	return endingFailed
}
