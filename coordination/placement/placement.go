// Package placement ranks machines for a key by rendezvous hashing, so that
// processes with the same list agree without communication, and a change of the
// list moves as few keys as possible.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns a machine's score for a key; higher scores rank first.
func Score(key, machine string) uint64 {
	hasher := xxhash.New()
	_, _ = hasher.WriteString(key)
	_, _ = hasher.WriteString("\x00")
	_, _ = hasher.WriteString(machine)
	return hasher.Sum64()
}

type scoredMachine struct {
	machine string
	score   uint64
}

// Rank returns the machines sorted by descending score for a key.
func Rank(key string, machines []string) []string {
	ranked := make([]scoredMachine, 0, len(machines))
	for _, machine := range machines {
		ranked = append(ranked, scoredMachine{machine: machine, score: Score(key, machine)})
	}
	slices.SortFunc(ranked, func(a, b scoredMachine) int {
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

// Demand is the number of replicas of a model wanted on distinct machines of one zone.
type Demand struct {
	Model    string
	Replicas int
}

// Assign assigns machines to each demand, with at most capacity models on each
// machine. Demands are served in the order given. The result maps a machine to
// the models assigned to it; a demand that does not fit gets fewer replicas.
func Assign(demands []Demand, machines []string, capacity int) map[string][]string {
	assigned := map[string][]string{}
	for _, demand := range demands {
		remaining := demand.Replicas
		for _, machine := range Rank(demand.Model, machines) {
			if remaining == 0 {
				break
			}
			if len(assigned[machine]) >= capacity {
				continue
			}
			assigned[machine] = append(assigned[machine], demand.Model)
			remaining--
		}
	}
	return assigned
}
