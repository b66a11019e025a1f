package fleet

// TopicMachineStatus is the topic under which an agent tells entries how its
// machine does.
const TopicMachineStatus = "machine.status"

// NoSwitch is the value of SwitchMilliseconds when no switch is planned.
const NoSwitch = -1

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
	// Wanted and Missing tell of the version being fetched, and its pieces to come.
	Wanted  uint64 `cbor:"11,keyasint" json:"wanted"`
	Missing int    `cbor:"12,keyasint" json:"missing"`
}
