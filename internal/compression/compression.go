// Package compression encodes large values for transfer between processes: as CBOR,
// compressed with zstd, with a limit on the decoded size.
package compression

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"pinevane.example/pinevane/internal/fault"
)

// maxDecodedBytes bounds the decompressed size of a message.
const maxDecodedBytes = 64 << 20

// windowBytes is the window of the compression, which bounds its memory.
const windowBytes = 128 << 10

// EncodeAll and DecodeAll of these coders are safe for concurrent use.
var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowBytes))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecodedBytes), zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true))
)

// Encode encodes and compresses a value. Errors are *fault.InvalidFrame.
func Encode[T any](value T) ([]byte, error) {
	plain, err := cbor.Marshal(value)
	if err != nil {
		return nil, &fault.InvalidFrame{Field: "compressed value", Reason: err.Error()}
	}
	return encoder.EncodeAll(plain, nil), nil
}

// Decode decompresses and decodes a value written by Encode. Errors are *fault.InvalidFrame.
func Decode[T any](payload []byte) (T, error) {
	var value T
	plain, err := decoder.DecodeAll(payload, nil)
	if err != nil {
		return value, &fault.InvalidFrame{Field: "compressed value", Reason: err.Error()}
	}
	if err := cbor.Unmarshal(plain, &value); err != nil {
		return value, &fault.InvalidFrame{Field: "compressed value", Reason: err.Error()}
	}
	return value, nil
}
