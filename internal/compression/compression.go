// Package compression carries large values between processes: CBOR, compressed with
// zstd, bounded in what it unpacks to.
package compression

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"pinevane.example/pinevane/internal/fault"
)

// maximumBytes bounds what a message may unpack to.
const maximumBytes = 64 << 20

// windowBytes is how far back the compression looks, which bounds its memory.
const windowBytes = 128 << 10

// The coders of package zstd are safe for concurrent use by EncodeAll and DecodeAll.
var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowBytes))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maximumBytes), zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true))
)

// Encode encodes and compresses a value. Errors are *fault.InvalidFrame.
func Encode[T any](value T) ([]byte, error) {
	plain, err := cbor.Marshal(value)
	if err != nil {
		return nil, &fault.InvalidFrame{Field: "compressed value", Reason: err.Error()}
	}
	return encoder.EncodeAll(plain, nil), nil
}

// Decode reads what Encode has written. Errors are *fault.InvalidFrame.
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
