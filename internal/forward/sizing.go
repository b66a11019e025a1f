package forward

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
)

// SizeFields returns the log fields of a request's size and of its last admission decision, so that
// lost requests can be analyzed by size.
func (r *Request) SizeFields() []zap.Field {
	return []zap.Field{
		zap.Int("prompt_tokens", r.Call.PromptTokens), zap.Int("answer_tokens", r.Call.AnswerTokens), zap.Int("body_bytes", len(r.Body)),
		zap.Inline(admissionFields(r.Admission)),
	}
}

// admissionFields are the log fields of an admission decision.
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

// Outcomes of generations, as label values.
const (
	endingAnswered = "answered"
	endingRefused  = "refused"
	endingFailed   = "failed"
	endingCut      = "cut"
	endingLeft     = "caller left"
)

// Sizes of generations relative to the typical size of their service, as label values.
const (
	sizeUnderHalf    = "under half"
	sizeUnderTypical = "half to usual"
	sizeUnderDouble  = "usual to double"
	sizeOverDouble   = "over double"
)

// sizeLabel is the label of a size that is given as a multiple of the typical one.
func sizeLabel(ofTypical float64) string {
	switch {
	case ofTypical < 0.5:
		return sizeUnderHalf
	case ofTypical < 1:
		return sizeUnderTypical
	case ofTypical < 2:
		return sizeUnderDouble
	}
	return sizeOverDouble
}

// countEnding counts the outcome of a generation by its size.
func (w *forwarding) countEnding(ending string) {
	typical := fleet.GenerationSize(w.criteria.Figures.TypicalPrompt, w.criteria.Figures.TypicalAnswer)
	if w.criteria.Engine == nil || typical <= 0 {
		return
	}
	size := fleet.GenerationSize(float64(w.criteria.Prompt), float64(w.request.Call.AnswerTokens))
	w.metrics.endings.WithLabelValues(sizeLabel(size/typical), ending).Inc()
}

// endingLabel is the outcome label of a refusal.
func endingLabel(refusal *fault.Refusal) string {
	switch {
	case refusal.Reason == fault.ReasonCanceled:
		return endingLeft
	case refusal.Execution == fault.ExecutionNotRun:
		return endingRefused
	}
	return endingFailed
}
