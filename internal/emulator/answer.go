package emulator

import (
	"encoding/base32"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pinevane.example/pinevane/internal/weights"
)

// maxAnswerTokens is the length of an answer when the request sets no smaller limit.
const maxAnswerTokens = 4096

var tokenAlphabet = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// Token returns the token at the given position of the answer to a prompt. It depends on the
// weights' identity, the adapter, the prompt and the position, so that an answer mixed from
// several versions, requests or positions is detected from its text.
func Token(identity weights.Digest, adapter, prompt string, index int) string {
	hasher := xxhash.New()
	_, _ = hasher.WriteString(string(identity))
	_, _ = hasher.WriteString("|" + adapter + "|")
	_, _ = hasher.WriteString(prompt)
	var position [8]byte
	binary.LittleEndian.PutUint64(position[:], uint64(index))
	_, _ = hasher.Write(position[:])
	var sum [8]byte
	binary.LittleEndian.PutUint64(sum[:], hasher.Sum64())
	return tokenAlphabet.EncodeToString(sum[:4]) + " "
}

// Answer returns the complete answer to a prompt.
func Answer(identity weights.Digest, adapter, prompt string, maxTokens int) string {
	var text strings.Builder
	for index := range min(maxTokens, maxAnswerTokens) {
		text.WriteString(Token(identity, adapter, prompt, index))
	}
	return text.String()
}
