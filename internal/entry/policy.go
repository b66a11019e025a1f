package entry

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"pinevane.example/pinevane/coordination/placement"
)

// Policy names a way to choose among replicas that can take an attempt.
type Policy string

// The policies. TwoChoices is the default; the others are for comparison, but
// for Affinity, which suits engines that cache prompt prefixes.
const (
	PolicyTwoChoices  Policy = "two-choices"
	PolicyRandom      Policy = "random"
	PolicyRoundRobin  Policy = "round-robin"
	PolicyLeastLoaded Policy = "least-loaded"
	// PolicyAffinity sends prompts with the same prefix to the same replica while
	// its load is near the average.
	PolicyAffinity Policy = "affinity"
)

// Policies lists every policy.
var Policies = []Policy{PolicyTwoChoices, PolicyRandom, PolicyRoundRobin, PolicyLeastLoaded, PolicyAffinity}

// Bounds of affinity: a replica keeps a prefix until its load is this much over
// the average.
const (
	affinityFactor = 1.25
	affinitySpare  = 2
	// affinityPrefix is how many bytes of a prompt are its prefix.
	affinityPrefix = 64
)

// chooser picks one of several replicas. The replica set's mutex is held.
type chooser struct {
	policy Policy
	turn   atomic.Uint64
}

func (c *chooser) pick(choices []choice, prefix string) choice {
	switch c.policy {
	case PolicyRandom:
		return choices[rand.IntN(len(choices))]
	case PolicyRoundRobin:
		sortByID(choices)
		return choices[int(c.turn.Add(1)%uint64(len(choices)))]
	case PolicyLeastLoaded:
		return slices.MinFunc(choices, func(a, b choice) int { return load(a.target) - load(b.target) })
	case PolicyAffinity:
		if prefix != "" {
			return byAffinity(choices, prefix)
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

// byAffinity returns the first replica in the prefix's order whose load is not
// far over the average.
func byAffinity(choices []choice, prefix string) choice {
	byID := make(map[string]choice, len(choices))
	ids := make([]string, 0, len(choices))
	total := 0
	for _, candidate := range choices {
		byID[candidate.target.member.ID] = candidate
		ids = append(ids, candidate.target.member.ID)
		total += load(candidate.target)
	}
	bound := affinityFactor*float64(total)/float64(len(choices)) + affinitySpare
	for _, id := range placement.Rank("prefix/"+prefix, ids) {
		if float64(load(byID[id].target)) <= bound {
			return byID[id]
		}
	}
	return betterOfTwo(choices)
}

func prefixOf(prompt string) string { return prompt[:min(len(prompt), affinityPrefix)] }
