// Package dispatch decides which server gets a request, or that none is fit for it, from what
// an entry knows: the list of servers, the words of the agents beside them with their ages, the
// entry's own sends, what answers have shown, versions and their bounds. What is known comes in
// as messages with the time; a decision with its reason and figures comes out. It does no I/O,
// reads no clock, takes no lock and starts no goroutine; chance is injected. A Core is not safe
// for use by several goroutines at a time.
package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/balance"
	"pinevane.example/pinevane/coordination/health"
	"pinevane.example/pinevane/coordination/residency"
	"pinevane.example/pinevane/coordination/shedding"
)

// Options are what a core is made with.
type Options struct {
	// Zone is the entry's own; Regions are the regions of the zones.
	Zone    string
	Regions map[string]string
	Policy  Policy
	// Self is this entry's name among the entries.
	Self string
	// Started is when this entry began to hear of the others.
	Started time.Time
	// Random returns a number from 0 to less than 1; Shuffle puts things in a random order.
	Random  func() float64
	Shuffle func(count int, swap func(i, j int))
}

// Policy holds the weights of the mechanisms by which is decided, so that each can be measured
// by switching it off.
type Policy struct {
	// RefusalShare is the weight of the limit within which a request of usual size is to begin, which
	// tells how long requests may wait for others; 0 never refuses.
	RefusalShare float64
	// InTimeShare is the share of the requests that wait for nearly as long as they may that are to
	// begin in time; 0 keeps the limit fixed.
	InTimeShare float64
	// LateShare is the share of what a first attempt may wait that is granted to a request
	// whose answer is late in any case, while first attempts are refused; 1 makes no difference.
	LateShare float64
	// UnseenLoad is the weight of the load that other entries may have brought to a server
	// since its agent's word.
	UnseenLoad float64
	// Lateness is the weight of how much later than predicted a server has begun requests
	// lately.
	Lateness float64
	// SwitchWeight is the weight of the time by which a request would put off its server's
	// change-over.
	SwitchWeight float64
	// Scarcity is the weight of what a request that may be served elsewhere takes from those
	// that only one region may serve.
	Scarcity float64
	// SampleSize is how many servers are compared for a request.
	SampleSize int
}

// Core is the set of servers as an entry knows it.
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
	// words keeps the agents' words by the address of their server.
	words map[string]heardWord
	// leastMissing is how many pieces the best prepared machine lacks of each version
	// that is being fetched, as of the last decision.
	leastMissing map[uint64]int
	// learned is what the answers of each service of model servers have shown.
	learned map[string]*balance.Estimator
	// margins learn the limit of refusals of each service.
	margins map[string]*balance.Margin
	// demands are what is asked of each service in a region by requests that may be served
	// nowhere else, regionServers how many servers each service has in each region that has any.
	demands       map[regionalService]*residency.Demand
	regionServers map[string]map[string]int
	// scarce is, by region, the weight of a place there for the request that is being decided.
	scarce map[string]float64
	// usual learns what time callers of each route have left at first attempts, pressures
	// whether each service is overloaded; both count time since started.
	usual map[string]*shedding.RetryDetector
	// targets learns the typical target of each service.
	targets   map[string]*shedding.TargetEstimator
	pressures map[string]*shedding.OverloadDetector
	started   time.Time

	// health is what answers have shown of the servers' health, in time since started, and
	// healthChanges what has not been told of it.
	health        *health.Tracker
	healthChanges []health.Change

	// bounded are the entries that share what cold servers, and such that name a limit, may receive;
	// boundedTill is until when there is such a server. coldSent and limitedSent count this entry's
	// requests to them.
	bounded     *members
	boundedTill time.Time
	coldSent    uint64
	limitedSent uint64
	// kept is what is held of servers that are not listed any more.
	kept     map[string]keptServer
	emptying emptying
}

// New returns a core that knows no servers yet.
func New(options Options) *Core {
	return &Core{
		zone: options.Zone, regions: options.Regions, policy: options.Policy, random: options.Random, shuffle: options.Shuffle,
		byID: map[string]*Candidate{}, byService: map[string][]*Candidate{}, byAddress: map[string]*Candidate{},
		words: map[string]heardWord{}, leastMissing: map[uint64]int{},
		learned: map[string]*balance.Estimator{}, margins: map[string]*balance.Margin{},
		demands: map[regionalService]*residency.Demand{}, scarce: map[string]float64{},
		usual: map[string]*shedding.RetryDetector{}, targets: map[string]*shedding.TargetEstimator{}, pressures: map[string]*shedding.OverloadDetector{}, started: options.Started, health: health.New(options.Self),
		bounded: newMembers(options.Self, options.Started), kept: map[string]keptServer{}, emptying: newEmptying(),
	}
}

// Regions are the regions of the zones.
func (c *Core) Regions() map[string]string { return c.regions }

// SetRegions replaces the regions of the zones. The map is not changed afterwards.
func (c *Core) SetRegions(regions map[string]string) {
	c.regions = regions
	c.countRegions()
}
