package fleet

// MaxTokens is the largest size of a prompt or an answer that is believed: over three times the
// memory for tokens of the largest servers known, 1.18 million. A larger one is faulty.
const MaxTokens = 1 << 22

// ValidTokens is a size that a caller or another process has told, or 0, which is unknown, when
// it can't be: it is negative, or over the most. Servers' loads are reckoned with such sizes.
func ValidTokens(told, most int) int {
	if told < 0 || told > most {
		return 0
	}
	return told
}

// answerWeight is what a token of an answer counts against one of a prompt: it takes a step of its own.
const answerWeight = 10

// GenerationSize is how much work a generation is, in tokens of prompts: its prompt and its answer.
func GenerationSize(promptTokens, answerTokens float64) float64 {
	return promptTokens + answerWeight*answerTokens
}

// MaxPrompt is the largest prompt that the service's servers can hold, in tokens: their memory
// for tokens. Where that is not published, or the service has no engine, it is MostTokens.
func (e *Engine) MaxPrompt() int {
	if e == nil || e.CacheTokens <= 0 {
		return MaxTokens
	}
	return min(e.CacheTokens, MaxTokens)
}
