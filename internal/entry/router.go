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

// choice is a back end, and the version to which the attempt is pinned.
type choice struct {
	target  *replica
	version string
}

// requirements is what a back end must offer to get an attempt.
type requirements struct {
	model   string
	adapter string
	// version pins the attempt. Empty means any version that accepts new requests.
	version string
	service string
	// prefix is the prefix of the prompt, which engines may have cached.
	prefix string
	// excluded lists back ends that have been tried already.
	excluded []*replica
	// idempotencyKey is a key with its tenant. If set, it allows only the back end that owns it.
	idempotencyKey string
}

// spillThreshold is the load of the least loaded back end in the own zone from which other zones
// are used too.
const spillThreshold = 48

// choose picks a back end, in the entry's own zone unless all of those are loaded.
func (r *router) choose(required requirements) (choice, bool) {
	r.set.mutex.Lock()
	defer r.set.mutex.Unlock()
	if required.idempotencyKey != "" {
		return r.ownerOfKey(required)
	}
	usable := r.candidates(required, false)
	if len(usable) == 0 {
		// A suspected back end is better than none: missing status reports and ejections must not
		// leave the entry without back ends.
		usable = r.candidates(required, true)
	}
	if len(usable) == 0 {
		return choice{}, false
	}
	sameZone := slices.DeleteFunc(slices.Clone(usable), func(c choice) bool { return c.target.member.Zone != r.zone })
	if len(sameZone) > 0 && lowestLoad(sameZone) < spillThreshold {
		return r.chooser.pick(sameZone, required.prefix), true
	}
	return r.chooser.pick(usable, required.prefix), true
}

func lowestLoad(choices []choice) int {
	lowest := load(choices[0].target)
	for _, candidate := range choices {
		lowest = min(lowest, load(candidate.target))
	}
	return lowest
}

// load returns the larger of the attempts that this entry has in flight at a back end and those of
// all entries that the back end has reported.
func load(target *replica) int { return max(target.inFlight, target.status.Open) }

func betterOfTwo(choices []choice) choice {
	first := choices[rand.IntN(len(choices))]
	second := choices[rand.IntN(len(choices))]
	if load(second.target) < load(first.target) {
		return second
	}
	return first
}

// candidates lists the back ends that meet the requirements. With includeSuspected it includes
// ejected and silent ones, but never one that is leaving. The set's mutex must be held.
func (r *router) candidates(required requirements, includeSuspected bool) []choice {
	now := time.Now()
	var result []choice
	for _, candidate := range r.set.replicas {
		if candidate.link == nil || candidate.session.Session == 0 || candidate.status.Leaving || candidate.member.Leaving {
			continue
		}
		if slices.Contains(required.excluded, candidate) {
			continue
		}
		suspected := now.Before(candidate.ejectedUntil) || now.Sub(candidate.statusAt) > statusTimeout
		if suspected && !includeSuspected {
			continue
		}
		if version, serves := servedVersion(candidate.status, required); serves {
			result = append(result, choice{target: candidate, version: version})
		}
	}
	return result
}

// servedVersion returns the version with which a back end would answer, if it meets the requirements.
func servedVersion(status protocol.StatusReport, required requirements) (string, bool) {
	if required.service != "" {
		return "", status.Service == required.service
	}
	for _, served := range status.Served {
		if served.Model != required.model {
			continue
		}
		if required.adapter != "" && !slices.Contains(served.Adapters, required.adapter) {
			continue
		}
		if required.version == served.Version || required.version == "" && !served.Retiring {
			return served.Version, true
		}
	}
	return "", false
}

// ownerOfKey returns the back end that owns an idempotency key: the first by rendezvous hashing over
// all that serve the service, reachable or not. Entries with the same membership list agree on it.
func (r *router) ownerOfKey(required requirements) (choice, bool) {
	var ids []string
	for id, candidate := range r.set.replicas {
		if candidate.member.Service == required.service {
			ids = append(ids, id)
		}
	}
	ranked := placement.Rank("key/"+required.idempotencyKey, ids)
	if len(ranked) == 0 {
		return choice{}, false
	}
	target := r.set.replicas[ranked[0]]
	if target.link == nil || target.session.Session == 0 || slices.Contains(required.excluded, target) {
		return choice{}, false
	}
	return choice{target: target}, true
}
