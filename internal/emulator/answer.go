package emulator

import (
	"encoding/base32"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pinevane.example/pinevane/internal/weights"
)

// maxAnswerTokens is the longest answer of the stand-in engine when the request
// sets no smaller bound.
const maxAnswerTokens = 4096

var tokenAlphabet = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// Token returns the token at a position of the answer to a prompt by weights of
// an identity: any mix of versions, requests or positions shows in the text.
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

// Answer returns the whole answer to a prompt.
func Answer(identity weights.Digest, adapter, prompt string, maximumTokens int) string {
	var text strings.Builder
	for index := range min(maximumTokens, maxAnswerTokens) {
		text.WriteString(Token(identity, adapter, prompt, index))
	}
	return text.String()
}
