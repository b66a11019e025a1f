package fleet

import (
	"time"

	"pinevane.example/pinevane/coordination/incarnation"
)

// TopicMachineStatus is the topic of an agent's status reports to entries.
const TopicMachineStatus = "machine.status"

// TopicStatusEcho is the topic on which an entry returns the probe of a status report.
const TopicStatusEcho = "machine.echo"

// StatusEcho answers a MachineStatus that carries a probe.
type StatusEcho struct {
	Probe uint64 `cbor:"1,keyasint"`
}

// NoSwitch is the value of SwitchMilliseconds if no switch is planned.
const NoSwitch = -1

// ColdFor returns how much longer the server was cold when the report was made.
func (s MachineStatus) ColdFor() time.Duration {
	return time.Duration(s.ColdMilliseconds) * time.Millisecond
}

// MachineStatus is an agent's status report on its machine's model server.
type MachineStatus struct {
	// Address is the model server's address.
	Address string `cbor:"1,keyasint" json:"address"`
	// Reachable is false while the server does not answer its own machine.
	Reachable bool `cbor:"2,keyasint" json:"reachable"`
	// Model and Version are what the server holds completely; Version is 0 if there is none.
	Model   string `cbor:"3,keyasint" json:"model"`
	Version uint64 `cbor:"4,keyasint" json:"version"`
	Running int    `cbor:"5,keyasint" json:"running"`
	Waiting int    `cbor:"6,keyasint" json:"waiting"`
	// CacheUsed and CacheTotal count tokens.
	CacheUsed  int     `cbor:"7,keyasint" json:"cache_used"`
	CacheTotal int     `cbor:"8,keyasint" json:"cache_total"`
	Pace       float64 `cbor:"9,keyasint" json:"pace"`
	// SwitchMilliseconds is the time until the server is ordered to another version; 0 means that
	// it is switching now, NoSwitch that no switch is planned.
	SwitchMilliseconds int64 `cbor:"10,keyasint" json:"switch_milliseconds"`
	// FetchingVersion is the version being fetched, MissingPieces the number of its pieces still
	// missing.
	FetchingVersion uint64 `cbor:"11,keyasint" json:"wanted"`
	MissingPieces   int    `cbor:"12,keyasint" json:"missing"`
	// LinkRTTMilliseconds is the round-trip time to an entry over the machine's link, including
	// queueing; 0 while it is unknown.
	LinkRTTMilliseconds int64 `cbor:"13,keyasint,omitempty" json:"link_milliseconds"`
	// UnreadTokens counts the prompt tokens still to be read, in an agent's answer to a load query;
	// 0 if unknown.
	UnreadTokens int `cbor:"15,keyasint,omitempty" json:"unread_tokens"`
	// Probe is returned at once by an entry that received the report directly; 0 requests no echo.
	Probe uint64 `cbor:"14,keyasint,omitempty" json:"-"`
	// Stamp is the machine's timestamp at sending, which an entry that received the report directly
	// returns with its updates; 0 for none.
	Stamp int64 `cbor:"16,keyasint,omitempty" json:"-"`
	// ColdMilliseconds is how much longer the server is cold; 0 if it is warm, as far as the agent
	// knows.
	ColdMilliseconds int64 `cbor:"17,keyasint,omitempty" json:"cold_milliseconds"`
	// Received counts the requests announced to the server in the last admission.ColdWindow.
	Received int `cbor:"18,keyasint,omitempty" json:"received"`
	// StartTime is the start time of the server reported on; 0 if the server does not state it.
	StartTime incarnation.StartTime `cbor:"19,keyasint,omitempty" json:"born"`
}
