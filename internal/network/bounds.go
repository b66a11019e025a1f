package network

import "fmt"

// MaxHeadBytes bounds the head of an answer, with the interim answers before it.
const MaxHeadBytes = 64 << 10

// AnswerTooLong is an answer that is longer than its reader takes.
type AnswerTooLong struct {
	// MaxBytes is the reader's bound.
	MaxBytes int64
}

// Error implements error.
func (e *AnswerTooLong) Error() string {
	return fmt.Sprintf("the answer is longer than %d bytes", e.MaxBytes)
}
