package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"pinevane.example/pinevane/coordination/placement"
	"pinevane.example/pinevane/internal/protocol"
)

// router chooses a back end for an attempt.
type router struct {
	set     *replicaSet
	zone    string
	chooser chooser
}

func newRouter(set *replicaSet, zone string, policy Policy) *router {
	return &router{set: set, zone: zone, chooser: chooser{policy: policy}}
}

// choice is a back end and the version that the attempt is pinned to.
type choice struct {
	target  *replica
	version string
}

// need is what an attempt asks of a back end.
type need struct {
	model   string
	adapter string
	// version pins the attempt; empty means any version that takes new requests.
	version string
	service string
	// prefix is the beginning of the prompt, for engines that cache it.
	prefix string
	// excluded back ends have been tried.
	excluded []*replica
	// homeKey, when set, allows one back end only: the key's home.
	homeKey string
}

// spillLoad is the work in flight at every back end of a zone, per back end,
// from which the next zone is used too.
const spillLoad = 48

// choose picks a back end of the nearest zone that has room.
func (r *router) choose(wanted need) (choice, bool) {
	r.set.mutex.Lock()
	defer r.set.mutex.Unlock()
	if wanted.homeKey != "" {
		return r.home(wanted)
	}
	usable := r.usable(wanted, false)
	if len(usable) == 0 {
		// Absence of evidence never empties the set: rather a suspected back end
		// than none.
		usable = r.usable(wanted, true)
	}
	if len(usable) == 0 {
		return choice{}, false
	}
	near := slices.DeleteFunc(slices.Clone(usable), func(c choice) bool { return c.target.member.Zone != r.zone })
	if len(near) > 0 && leastLoaded(near) < spillLoad {
		return r.chooser.pick(near, wanted.prefix), true
	}
	return r.chooser.pick(usable, wanted.prefix), true
}

func leastLoaded(choices []choice) int {
	least := load(choices[0].target)
	for _, candidate := range choices {
		least = min(least, load(candidate.target))
	}
	return least
}

// load is the entry's own count plus what the back end reported of others.
func load(target *replica) int { return max(target.inFlight, target.status.Open) }

func betterOfTwo(choices []choice) choice {
	first := choices[rand.IntN(len(choices))]
	second := choices[rand.IntN(len(choices))]
	if load(second.target) < load(first.target) {
		return second
	}
	return first
}

// usable lists the back ends that can take the work; the set's mutex is held.
// The desperate view includes ejected and silent ones, but never one that said
// it is leaving.
func (r *router) usable(wanted need, desperate bool) []choice {
	now := time.Now()
	var result []choice
	for _, candidate := range r.set.replicas {
		if candidate.link == nil || candidate.session.Session == 0 || candidate.status.Leaving || candidate.member.Leaving {
			continue
		}
		if slices.Contains(wanted.excluded, candidate) {
			continue
		}
		doubtful := now.Before(candidate.ejectedTill) || now.Sub(candidate.statusAt) > statusSilence
		if doubtful && !desperate {
			continue
		}
		if version, serves := servedVersion(candidate.status, wanted); serves {
			result = append(result, choice{target: candidate, version: version})
		}
	}
	return result
}

// servedVersion returns the version with which a back end would answer.
func servedVersion(status protocol.StatusReport, wanted need) (string, bool) {
	if wanted.service != "" {
		return "", status.Service == wanted.service
	}
	for _, served := range status.Served {
		if served.Model != wanted.model {
			continue
		}
		if wanted.adapter != "" && !slices.Contains(served.Adapters, wanted.adapter) {
			continue
		}
		if wanted.version == served.Version || wanted.version == "" && !served.Retiring {
			return served.Version, true
		}
	}
	return "", false
}

// home returns the one back end that a caller's key belongs to: the first by
// rendezvous hashing over all that serve the service, whether or not it can be
// reached. Entries with the same membership list agree on it.
func (r *router) home(wanted need) (choice, bool) {
	var ids []string
	for id, candidate := range r.set.replicas {
		if candidate.member.Service == wanted.service {
			ids = append(ids, id)
		}
	}
	ranked := placement.Rank("key/"+wanted.homeKey, ids)
	if len(ranked) == 0 {
		return choice{}, false
	}
	target := r.set.replicas[ranked[0]]
	if target.link == nil || target.session.Session == 0 || slices.Contains(wanted.excluded, target) {
		return choice{}, false
	}
	return choice{target: target}, true
}
