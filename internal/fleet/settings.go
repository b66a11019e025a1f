// Package fleet holds the types that describe the fleet in which pinevane runs: the settings of a
// process, the published configuration, the servers, and the interfaces to the platform that
// publishes them. It knows no wire format; package platform converts between the two.
package fleet

import (
	"time"
)

// Settings are what the platform tells a process about itself at its start.
type Settings struct {
	// Name is the machine's name; Zone and Region are its location.
	Name   string
	Zone   string
	Region string
	// Regions maps every zone of the fleet to its region.
	Regions map[string]string
	// IP is the machine's address, without a port.
	IP string
	// Callers, Ready and Control are the addresses to listen on. An empty address is not served by
	// this role.
	Callers string
	Ready   string
	Control string
	// InternalPort is the first of the ports reserved for pinevane's own links. It is the same on
	// all machines.
	InternalPort int
	// Seeds are IP addresses of other machines to contact first; they may be down.
	Seeds []string
	// IsSeed is set if this machine is a seed for others.
	IsSeed bool
	// StoreAddress is the address of the platform's store of published records.
	StoreAddress string
	// ServerAddress and Service are the model server of this machine and its service, if any.
	ServerAddress string
	Service       string
	// LinkBytesPerSecond is the capacity of the machine's link.
	LinkBytesPerSecond float64
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	Bounds      Bounds
}

// Bounds are the times and ratios that the operators require of the system.
type Bounds struct {
	// Drain is how long a leaving server may still be sent requests.
	Drain time.Duration
	// Grace is the time between the stop signal and the kill.
	Grace time.Duration
	// ConfigurationApply is the time until a configuration must be in force everywhere.
	ConfigurationApply time.Duration
	// VersionApply is the time after which no request may begin on an older version.
	VersionApply time.Duration
	// Contact is how long a process must have run undisturbed before the bounds hold for it; 0 if
	// the settings do not state it.
	Contact time.Duration
	// Recover is the time until the service must be restored after a loss of everything.
	Recover time.Duration
	// AddressReuse is the time after which the address of a stopped server may be reused.
	AddressReuse time.Duration
	// RetryRatio and RetrySlack bound the retries that a service receives in a RetryWindow from the
	// whole fleet: ratio x requests + slack.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
	// Evacuate is how long the servers of an evacuated zone may still be sent requests; 0 if the
	// platform sets no bound.
	Evacuate time.Duration
	// ColdOvershoot and ColdSlack bound what a cold server receives in any second from the whole
	// fleet: ColdOvershoot x the service's ColdRate + ColdSlack. ColdOvershoot is 0 if the platform
	// sets no bound.
	ColdOvershoot float64
	ColdSlack     float64
}

// ColdLimit returns how many requests a cold server of a service may receive in any second from the
// whole fleet, or false if there is no bound.
func (b Bounds) ColdLimit(service Service) (float64, bool) {
	if service.ColdRate <= 0 || b.ColdOvershoot <= 0 {
		return 0, false
	}
	return b.ColdOvershoot*service.ColdRate + b.ColdSlack, true
}
