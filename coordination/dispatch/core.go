// Package dispatch selects the server for a request, or refuses the request, from what an entry knows: the
// list of servers, the load reports of their agents with their ages, the entry's own requests in flight, the
// results of answers, versions and their deadlines. Input arrives as messages with a timestamp; the output is
// a decision with its reason and figures. The package does no I/O, reads no clock, takes no locks and starts
// no goroutines; randomness is injected. A Core is not safe for concurrent use.
package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/coordination/residency"
	"pinevane.example/pinevane/coordination/sharing"
	"pinevane.example/pinevane/coordination/shedding"
)

// Options configures a Core.
type Options struct {
	// Zone is the entry's own zone. Regions maps zones to regions.
	Zone    string
	Regions map[string]string
	Policy  Policy
	// Self is the name of this entry among the entries.
	Self string
	// Started is when this entry began to receive messages from the others.
	Started time.Time
	// Random returns a number in [0, 1). Shuffle permutes elements randomly.
	Random  func() float64
	Shuffle func(count int, swap func(i, j int))
}

// Policy holds the weights of the decision's mechanisms. A weight that switches a mechanism off allows its
// effect to be measured.
type Policy struct {
	// RefusalShare is the weight of the limit within which a request of typical size is to begin, from which
	// the maximum wait follows; 0 never refuses.
	RefusalShare float64
	// InTimeShare is the ratio of requests with nearly the maximum wait that are to begin in time; 0 keeps
	// the limit fixed.
	InTimeShare float64
	// LateShare is the fraction of a first attempt's maximum wait that is granted to a request whose answer
	// is late in any case, while first attempts are refused; 1 makes no difference.
	LateShare float64
	// UnseenLoad is the weight of the load that other entries may have added since the agent's report.
	UnseenLoad float64
	// Lateness is the weight of how much later than predicted a server has recently begun requests.
	Lateness float64
	// SwitchWeight is the weight of the time by which a request would delay its server's version switch.
	SwitchWeight float64
	// Scarcity is the weight of the capacity that a request which other regions may serve takes from requests
	// that only one region may serve.
	Scarcity float64
	// SampleSize is the number of servers compared for a request.
	SampleSize int
}

// Core holds the state of all servers as this entry knows it.
type Core struct {
	zone    string
	regions map[string]string
	policy  Policy
	random  func() float64
	shuffle func(count int, swap func(i, j int))

	fleet     Fleet
	evacuated map[string]bool
	byID      map[string]*Candidate
	byService map[string][]*Candidate
	byAddress map[string]*Candidate
	// reports holds the agents' latest reports by server address.
	reports map[string]timedReport
	// minMissing is, for each version being fetched, the number of pieces that the most advanced machine is
	// missing, as of the last decision.
	minMissing map[uint64]int
	// learned holds the engine figures learned from the answers of each service of model servers.
	learned map[string]*balance.Estimator
	// margins holds the learned margin of each service's refusal limit.
	margins map[string]*balance.Margin
	// demands estimates, by service and region, the load of requests that no other region may serve.
	// regionServers counts the servers of each service by region.
	demands       map[regionalService]*residency.Demand
	regionServers map[string]map[string]int
	// scarce is, by region, the weight of a slot there for the request being decided.
	scarce map[string]float64
	// retryDetectors learns, by route, the remaining time of callers at first attempts. overloadDetectors
	// learns whether each service is overloaded. Both count time since started.
	retryDetectors map[string]*shedding.RetryDetector
	// targets learns the typical target of each service.
	targets           map[string]*shedding.TargetEstimator
	overloadDetectors map[string]*shedding.OverloadDetector
	started           time.Time

	// health tracks the health of the servers by their answers, in time since started. healthChanges holds
	// the changes that have not been taken yet.
	health        *health.Tracker
	healthChanges []health.Change

	// members are the entries that share the rates of cold and rate-limited servers, and limitsUntil is how
	// long there is such a server. coldSent and limitedSent count this entry's requests to them.
	members     *memberSet
	limitsUntil time.Time
	coldSent    uint64
	limitedSent uint64
	// retained holds the state of servers that are no longer listed.
	retained map[string]retainedServer
	draining zoneDrain
}

// New returns a Core without any servers.
func New(options Options) *Core {
	c := &Core{
		zone: options.Zone, regions: options.Regions, policy: options.Policy, random: options.Random, shuffle: options.Shuffle,
		byID: map[string]*Candidate{}, byService: map[string][]*Candidate{}, byAddress: map[string]*Candidate{},
		reports: map[string]timedReport{}, minMissing: map[uint64]int{},
		learned: map[string]*balance.Estimator{}, margins: map[string]*balance.Margin{},
		demands: map[regionalService]*residency.Demand{}, scarce: map[string]float64{},
		retryDetectors: map[string]*shedding.RetryDetector{}, targets: map[string]*shedding.TargetEstimator{}, overloadDetectors: map[string]*shedding.OverloadDetector{}, started: options.Started, health: health.New(options.Self),
		members: newMemberSet(sharing.Member{ID: options.Self, Zone: options.Zone}, options.Started), retained: map[string]retainedServer{}, draining: newZoneDrain(),
	}
	c.members.setZones(options.Regions)
	return c
}

// Regions returns the regions by zone.
func (c *Core) Regions() map[string]string { return c.regions }

// SetRegions replaces the regions by zone. The map must not be changed afterwards.
func (c *Core) SetRegions(regions map[string]string) {
	c.regions = regions
	c.members.setZones(regions)
	c.countRegions()
}
