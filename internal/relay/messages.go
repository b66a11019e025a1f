// Package relay spreads the platform's publications (configuration and
// membership) through a fleet with few reads of the platform: a few processes
// of each zone, picked by hash, watch the platform and push changes to the
// rest. What a process holds never goes back to an older version.
package relay

import (
	"pinevane.example/pinevane/coordination/monotonic"
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
	topicFollow    = "relay.follow"
	topicHeartbeat = "relay.alive"
	// Updates are counted under their publication's own name.
	topicUpdateSuffix = ".update"
)

// follow asks for every update after the versions held.
type follow struct {
	Configuration monotonic.Version `cbor:"1,keyasint"`
	Membership    monotonic.Version `cbor:"2,keyasint"`
}

// heartbeat is the sign of life of a followed process.
type heartbeat struct{}
