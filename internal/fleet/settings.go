// Package fleet holds the types that describe the fleet which pinevane runs in:
// a process's settings, the published configuration, the servers behind it, and
// the interfaces to the platform that publishes them. It knows no wire format;
// package platform translates.
package fleet

import (
	"time"
)

// Settings are what the platform tells a process about itself at start.
type Settings struct {
	// Name is the machine's name; Zone and Region are where it stands.
	Name   string
	Zone   string
	Region string
	// Regions maps every zone of the fleet to its region.
	Regions map[string]string
	// IP is the machine's address, without a port.
	IP string
	// Callers, Ready and Control are the addresses to listen on; an empty one is
	// not served by this role.
	Callers string
	Ready   string
	Control string
	// InternalPort is the first of the ports kept free for pinevane's own links;
	// it is the same on all machines.
	InternalPort int
	// Seeds are IP addresses of other machines to learn from at start; they may be down.
	Seeds []string
	// IsSeed is set when this machine is one that others learn from at start.
	IsSeed bool
	// StoreAddress is the platform's store of published records.
	StoreAddress string
	// ServerAddress and Service name the model server of this machine, if any.
	ServerAddress string
	Service       string
	// LinkBytesPerSecond is the capacity of the machine's link.
	LinkBytesPerSecond float64
	// MemoryBytes is what the process may use.
	MemoryBytes int64
	Bounds      Bounds
}

// Bounds are the times and shares that the users hold the system to.
type Bounds struct {
	// Drain is how long a leaving server may still be sent requests.
	Drain time.Duration
	// Grace is the time between the stop signal and the kill.
	Grace time.Duration
	// ConfigurationApply is the time until a configuration is in force everywhere.
	ConfigurationApply time.Duration
	// VersionApply is the time until no request begins on an older version.
	VersionApply time.Duration
	// Contact is how long a process must have run without a disturbance until the bounds
	// hold for it; 0 when the settings do not say.
	Contact time.Duration
	// Recover is the time until service after a loss of everything.
	Recover time.Duration
	// AddressReuse is the time after which an ended server's address is given anew.
	AddressReuse time.Duration
	// RetryRatio and RetrySlack bound the repeats that a service receives in a
	// RetryWindow, over the whole fleet: ratio x requests + slack.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
	// Evacuate is how long the servers of a zone that is evacuated may still be sent
	// requests; 0 when the platform sets no bound.
	Evacuate time.Duration
	// ColdOvershoot and ColdSlack bound what a cold server receives in any second, over the
	// whole fleet: ColdOvershoot x the rate that it is made for + ColdSlack. ColdOvershoot is
	// 0 when the platform sets no bound.
	ColdOvershoot float64
	ColdSlack     float64
}

// ColdLimit is how many requests a cold server of a service may receive in any second, over
// the whole fleet; false when there is no bound.
func (b Bounds) ColdLimit(service Service) (float64, bool) {
	if service.ColdRate <= 0 || b.ColdOvershoot <= 0 {
		return 0, false
	}
	return b.ColdOvershoot*service.ColdRate + b.ColdSlack, true
}
