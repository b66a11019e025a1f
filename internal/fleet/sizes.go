package fleet

// MaxTokens is the largest size of a prompt or an answer that is accepted as valid. It exceeds
// three times the token cache of the largest known servers, 1.18 million.
const MaxTokens = 1 << 22

// ValidTokens returns a size received from a caller or another process, or 0 (unknown) if it is
// negative or exceeds the limit. Server loads are computed from such sizes, so a false one must not
// count.
func ValidTokens(tokens, limit int) int {
	if tokens < 0 || tokens > limit {
		return 0
	}
	return tokens
}

// answerWeight is the weight of an answer token against a prompt token: each answer token takes a
// step of its own.
const answerWeight = 10

// GenerationSize returns the work of a generation, its prompt and its answer, in prompt tokens.
func GenerationSize(promptTokens, answerTokens float64) float64 {
	return promptTokens + answerWeight*answerTokens
}

// MaxPrompt returns the largest prompt, in tokens, that the service's servers can hold: the size of
// their token cache, or MaxTokens if that is not published or the service has no engine.
func (e *Engine) MaxPrompt() int {
	if e == nil || e.CacheTokens <= 0 {
		return MaxTokens
	}
	return min(e.CacheTokens, MaxTokens)
}
