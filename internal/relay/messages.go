// Package relay distributes the platform's publications (configuration and membership) through a
// fleet with few reads of the platform: a few processes of each zone, picked by hash, watch the
// platform and push changes to the rest. A process never replaces what it holds by an older
// version.
package relay

import (
	"pinevane.example/pinevane/coordination/monotonic"
)

// Kind is the name of a publication.
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
	// topicUpdateSuffix ends the update topic of a publication. Each publication has its own topic,
	// so that traffic is counted by publication.
	topicUpdateSuffix = ".update"
)

// follow requests every update that is newer than the given versions, which the follower holds.
type follow struct {
	Configuration monotonic.Version `cbor:"1,keyasint"`
	Membership    monotonic.Version `cbor:"2,keyasint"`
}

// heartbeat shows followers that the process they follow is alive.
type heartbeat struct{}
