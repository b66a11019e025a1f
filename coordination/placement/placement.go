// Package placement ranks machines for a key by rendezvous hashing, so that
// processes with the same list agree without talking, and a change of the list
// moves only what it must.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score is a machine's rank value for a key; higher goes first.
func Score(key, machine string) uint64 {
	hasher := xxhash.New()
	_, _ = hasher.WriteString(key)
	_, _ = hasher.WriteString("\x00")
	_, _ = hasher.WriteString(machine)
	return hasher.Sum64()
}

type scored struct {
	machine string
	score   uint64
}

// Rank returns the machines in order of preference for a key.
func Rank(key string, machines []string) []string {
	ranked := make([]scored, 0, len(machines))
	for _, machine := range machines {
		ranked = append(ranked, scored{machine: machine, score: Score(key, machine)})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		if order := cmp.Compare(b.score, a.score); order != 0 {
			return order
		}
		return cmp.Compare(a.machine, b.machine)
	})
	result := make([]string, 0, len(ranked))
	for _, entry := range ranked {
		result = append(result, entry.machine)
	}
	return result
}

// Top returns the first count machines of Rank.
func Top(key string, machines []string, count int) []string {
	ranked := Rank(key, machines)
	return ranked[:min(count, len(ranked))]
}

// Demand asks for replicas of a model on distinct machines of one zone.
type Demand struct {
	Model    string
	Replicas int
}

// Assign gives each demand its machines, each machine holding at most capacity
// models. Demands are served in the order given. The result maps a machine to
// the models it holds; a demand that does not fit gets fewer replicas.
func Assign(demands []Demand, machines []string, capacity int) map[string][]string {
	held := map[string][]string{}
	for _, demand := range demands {
		remaining := demand.Replicas
		for _, machine := range Rank(demand.Model, machines) {
			if remaining == 0 {
				break
			}
			if len(held[machine]) >= capacity {
				continue
			}
			held[machine] = append(held[machine], demand.Model)
			remaining--
		}
	}
	return held
}
