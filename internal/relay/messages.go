// Package relay spreads the platform's publications (configuration and
// membership) through a fleet with few reads of the platform: a few processes
// of each zone, picked by hash, watch the platform and push changes to the
// rest. What a process holds never goes back to an older version.
package relay

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"pinevane.example/pinevane/coordination/monotonic"
	"pinevane.example/pinevane/internal/fault"
)

// Kind names a publication.
type Kind string

// The publications.
const (
	Configuration Kind = "configuration"
	Membership    Kind = "membership"
)

// Kinds lists every publication.
var Kinds = []Kind{Configuration, Membership}

// Topics of the messages between a follower and the process it follows.
const (
	topicFollow = "relay.follow"
	topicAlive  = "relay.alive"
	// Updates are counted under their publication's own name.
	topicUpdateSuffix = ".update"
)

// follow asks for every update after the versions held.
type follow struct {
	Configuration monotonic.Version `cbor:"1,keyasint"`
	Membership    monotonic.Version `cbor:"2,keyasint"`
}

// alive is the sign of life of a followed process.
type alive struct{}

// maximumUpdateBytes bounds an update after decompression.
const maximumUpdateBytes = 64 << 20

// The coders of package zstd are safe for concurrent use by EncodeAll and DecodeAll.
var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(128<<10))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maximumUpdateBytes), zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true))
)

func encodeUpdate(update monotonic.Update) ([]byte, error) {
	plain, err := cbor.Marshal(update)
	if err != nil {
		return nil, &fault.InvalidFrame{Field: "update", Reason: err.Error()}
	}
	return encoder.EncodeAll(plain, nil), nil
}

func decodeUpdate(payload []byte) (monotonic.Update, error) {
	var update monotonic.Update
	plain, err := decoder.DecodeAll(payload, nil)
	if err != nil {
		return update, &fault.InvalidFrame{Field: "update", Reason: err.Error()}
	}
	if err := cbor.Unmarshal(plain, &update); err != nil {
		return update, &fault.InvalidFrame{Field: "update", Reason: err.Error()}
	}
	return update, nil
}
