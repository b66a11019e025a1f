package fleet

import (
	"time"

	"pinevane.example/pinevane/coordination/incarnation"
)

// TopicMachineStatus is the topic under which an agent tells entries how its
// machine does.
const TopicMachineStatus = "machine.status"

// TopicStatusEcho is the topic under which an entry returns the probe of a status.
const TopicStatusEcho = "machine.echo"

// StatusEcho answers a MachineStatus that carries a probe.
type StatusEcho struct {
	Probe uint64 `cbor:"1,keyasint"`
}

// NoSwitch is the value of SwitchMilliseconds when no switch is planned.
const NoSwitch = -1

// ColdFor is how much longer the server was cold when the word was given.
func (s MachineStatus) ColdFor() time.Duration {
	return time.Duration(s.ColdMilliseconds) * time.Millisecond
}

// MachineStatus is an agent's word on its machine's model server.
type MachineStatus struct {
	// Address is the model server's.
	Address string `cbor:"1,keyasint" json:"address"`
	// Reachable is false while the server does not answer its own machine.
	Reachable bool `cbor:"2,keyasint" json:"reachable"`
	// Model and Version are served whole; Version is 0 when none is.
	Model   string `cbor:"3,keyasint" json:"model"`
	Version uint64 `cbor:"4,keyasint" json:"version"`
	Running int    `cbor:"5,keyasint" json:"running"`
	Waiting int    `cbor:"6,keyasint" json:"waiting"`
	// CacheUsed and CacheTotal count tokens.
	CacheUsed  int     `cbor:"7,keyasint" json:"cache_used"`
	CacheTotal int     `cbor:"8,keyasint" json:"cache_total"`
	Pace       float64 `cbor:"9,keyasint" json:"pace"`
	// SwitchMilliseconds is the time until the server is ordered to another
	// version; 0 means that it is changing now, NoSwitch that none is planned.
	SwitchMilliseconds int64 `cbor:"10,keyasint" json:"switch_milliseconds"`
	// FetchingVersion and Missing tell of the version being fetched, and its pieces to come.
	FetchingVersion uint64 `cbor:"11,keyasint" json:"wanted"`
	MissingPieces   int    `cbor:"12,keyasint" json:"missing"`
	// LinkRTTMilliseconds is how long a message to an entry and back takes over the
	// machine's link, queues included; 0 while that is not known.
	LinkRTTMilliseconds int64 `cbor:"13,keyasint,omitempty" json:"link_milliseconds"`
	// UnreadTokens are the prompts of the requests that wait, where the agent answers an
	// entry's question; 0 when it does not know them.
	UnreadTokens int `cbor:"15,keyasint,omitempty" json:"unread_tokens"`
	// Probe is returned at once by the entry that is told directly; 0 asks for none.
	Probe uint64 `cbor:"14,keyasint,omitempty" json:"-"`
	// Stamp is the machine's stamp of the moment of sending, which the entry that is told
	// directly returns with its updates; 0 for none.
	Stamp int64 `cbor:"16,keyasint,omitempty" json:"-"`
	// ColdMilliseconds is how much longer the server is cold; 0 when it is warm, as far as the
	// agent knows.
	ColdMilliseconds int64 `cbor:"17,keyasint,omitempty" json:"cold_milliseconds"`
	// Received counts the requests that were announced to the server in the last
	// admission.ColdSpan.
	Received int `cbor:"18,keyasint,omitempty" json:"received"`
	// StartTime is that of the server that the word is on; 0 when the server does not tell it.
	StartTime incarnation.StartTime `cbor:"19,keyasint,omitempty" json:"born"`
}
