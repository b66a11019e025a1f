package entry

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"pinevane.example/pinevane/coordination/placement"
)

// Policy is the name of a load balancing policy.
type Policy string

// The load balancing policies. PolicyTwoChoices is the default. PolicyAffinity suits engines that
// cache prompt prefixes; the others are for comparison.
const (
	PolicyTwoChoices  Policy = "two-choices"
	PolicyRandom      Policy = "random"
	PolicyRoundRobin  Policy = "round-robin"
	PolicyLeastLoaded Policy = "least-loaded"
	// PolicyAffinity sends prompts with the same prefix to the same replica while its load is near
	// the average.
	PolicyAffinity Policy = "affinity"
)

// Policies lists every policy.
var Policies = []Policy{PolicyTwoChoices, PolicyRandom, PolicyRoundRobin, PolicyLeastLoaded, PolicyAffinity}

// A replica keeps a prefix until its load exceeds affinityFactor times the average plus
// affinitySlack.
const (
	affinityFactor = 1.25
	affinitySlack  = 2
	// affinityPrefix is the length of a prompt's prefix in bytes.
	affinityPrefix = 64
)

// chooser picks one of several replicas by a policy. The replica set's mutex must be held.
type chooser struct {
	policy  Policy
	counter atomic.Uint64
}

func (c *chooser) pick(choices []choice, prefix string) choice {
	switch c.policy {
	case PolicyRandom:
		return choices[rand.IntN(len(choices))]
	case PolicyRoundRobin:
		sortByID(choices)
		return choices[int(c.counter.Add(1)%uint64(len(choices)))]
	case PolicyLeastLoaded:
		return slices.MinFunc(choices, func(a, b choice) int { return load(a.target) - load(b.target) })
	case PolicyAffinity:
		if prefix != "" {
			return pickByAffinity(choices, prefix)
		}
	}
	return betterOfTwo(choices)
}

func sortByID(choices []choice) {
	slices.SortFunc(choices, func(a, b choice) int {
		if a.target.member.ID < b.target.member.ID {
			return -1
		}
		return 1
	})
}

// pickByAffinity returns the first replica, in the prefix's rendezvous order, whose load is within
// the bound.
func pickByAffinity(choices []choice, prefix string) choice {
	byID := make(map[string]choice, len(choices))
	ids := make([]string, 0, len(choices))
	total := 0
	for _, candidate := range choices {
		byID[candidate.target.member.ID] = candidate
		ids = append(ids, candidate.target.member.ID)
		total += load(candidate.target)
	}
	bound := affinityFactor*float64(total)/float64(len(choices)) + affinitySlack
	for _, id := range placement.Rank("prefix/"+prefix, ids) {
		if float64(load(byID[id].target)) <= bound {
			return byID[id]
		}
	}
	return betterOfTwo(choices)
}

func promptPrefix(prompt string) string { return prompt[:min(len(prompt), affinityPrefix)] }
