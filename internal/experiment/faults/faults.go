// Package faults runs thousands of seeded fault schedules in virtual time over
// the real coordination code: attempt ledgers, configuration feeds, escrow
// accounts and fences, between modelled entries, agents, engines and a network.
// Each promise is judged from the model's own records and what callers were
// told. A schedule that breaks one is shrunk to few faults.
package faults

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Safeguard names a part of the system that an experiment can disable, to show
// that the checks bite.
type Safeguard string

// The safeguards.
const (
	SafeguardNone       Safeguard = ""
	SafeguardTombstones Safeguard = "tombstones"
	SafeguardFence      Safeguard = "fence"
	SafeguardVerify     Safeguard = "verify"
	SafeguardMonotonic  Safeguard = "monotonic"
	SafeguardEscrow     Safeguard = "escrow"
	SafeguardPinning    Safeguard = "pinning"
	SafeguardDrain      Safeguard = "drain"
)

// Safeguards lists those that can be disabled.
var Safeguards = []Safeguard{
	SafeguardTombstones, SafeguardFence, SafeguardVerify, SafeguardMonotonic, SafeguardEscrow, SafeguardPinning, SafeguardDrain,
}

// Promise names what a violation breaks.
type Promise string

// The promises.
const (
	WholeVersion   Promise = "no-partial-or-mixed-weights"
	OwnAnswer      Promise = "whole-own-answer"
	NotRunIsTrue   Promise = "not-run-is-true"
	AtMostOnce     Promise = "at-most-once"
	LeavingIsQuiet Promise = "leaving-gets-no-new-work"
	StopCutsNone   Promise = "planned-stop-cuts-nothing"
	NeverBack      Promise = "configuration-never-back"
	OrdersForward  Promise = "orders-never-back"
	LimitHeld      Promise = "limit-held-in-sum"
)

// Promises lists every promise.
var Promises = []Promise{
	WholeVersion, OwnAnswer, NotRunIsTrue, AtMostOnce, LeavingIsQuiet, StopCutsNone, NeverBack, OrdersForward, LimitHeld,
}

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	AgentDies      Kind = "agent-dies"
	AgentRestarts  Kind = "agent-restarts"
	EngineRestarts Kind = "engine-restarts"
	EngineSwitches Kind = "engine-switches-version"
	ProcessPauses  Kind = "process-pauses"
	LinkLost       Kind = "link-lost"
	LinkStalls     Kind = "link-stalls"
	Partition      Kind = "partition"
	ServiceDown    Kind = "configuration-down"
	ServiceStale   Kind = "configuration-stale"
	VersionChange  Kind = "version-change"
	ChunkCorrupt   Kind = "chunk-corrupt"
	PlannedStop    Kind = "planned-stop"
)

// Kinds lists every kind.
var Kinds = []Kind{
	AgentDies, AgentRestarts, EngineRestarts, EngineSwitches, ProcessPauses, LinkLost, LinkStalls,
	Partition, ServiceDown, ServiceStale, VersionChange, ChunkCorrupt, PlannedStop,
}

// Fault is one fault of a schedule.
type Fault struct {
	At     time.Duration `json:"at"`
	Kind   Kind          `json:"kind"`
	Target int           `json:"target"`
	Length time.Duration `json:"length"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %s target %d for %.2fs", f.At.Seconds(), f.Kind, f.Target, f.Length.Seconds())
}

// Options sets up an experiment.
type Options struct {
	Schedules int
	Seed      uint64
	Break     Safeguard
	// FaultsPerSchedule is how many faults a schedule has.
	FaultsPerSchedule int
}

// Result is what an experiment came to.
type Result struct {
	Schedules     int             `json:"schedules"`
	Seed          uint64          `json:"seed"`
	Break         Safeguard       `json:"break"`
	Requests      int             `json:"requests"`
	Faults        map[Kind]int    `json:"faults"`
	Violations    map[Promise]int `json:"violations"`
	AnsweredShare float64         `json:"answered_share"`
	NotRunShare   float64         `json:"not_run_share"`
	UnknownShare  float64         `json:"unknown_share"`
	// First is the first schedule that broke a promise, shrunk.
	First *Failure `json:"first_failure,omitempty"`
}

// Failure is a schedule that breaks a promise.
type Failure struct {
	Seed    uint64  `json:"seed"`
	Promise Promise `json:"promise"`
	Detail  string  `json:"detail"`
	Faults  []Fault `json:"faults"`
}

// Shape of a schedule.
const (
	horizon     = 30 * time.Second
	longestTime = 6 * time.Second
)

// Run runs every schedule.
func Run(options Options) Result {
	result := Result{
		Schedules: options.Schedules, Seed: options.Seed, Break: options.Break,
		Faults: map[Kind]int{}, Violations: map[Promise]int{},
	}
	for _, promise := range Promises {
		result.Violations[promise] = 0
	}
	answered, notRun, unknown := 0, 0, 0
	for index := range options.Schedules {
		seed := options.Seed*1_000_003 + uint64(index)
		schedule := draw(seed, options.FaultsPerSchedule)
		for _, fault := range schedule {
			result.Faults[fault.Kind]++
		}
		w := simulate(seed, schedule, options.Break)
		result.Requests += len(w.requests)
		answered, notRun, unknown = answered+w.answered, notRun+w.notRun, unknown+w.unknown
		for _, violation := range w.violations {
			result.Violations[violation.promise]++
		}
		if len(w.violations) > 0 && result.First == nil {
			result.First = shrink(seed, schedule, options.Break, w.violations[0].promise)
		}
	}
	total := max(1, float64(result.Requests))
	result.AnsweredShare = float64(answered) / total
	result.NotRunShare = float64(notRun) / total
	result.UnknownShare = float64(unknown) / total
	return result
}

// draw makes a schedule from a seed; faults may come together and twice.
func draw(seed uint64, count int) []Fault {
	generator := rand.New(rand.NewPCG(seed, 0x666175))
	schedule := make([]Fault, 0, count)
	for range count {
		schedule = append(schedule, Fault{
			At:     time.Duration(generator.Int64N(int64(horizon * 3 / 4))),
			Kind:   Kinds[generator.IntN(len(Kinds))],
			Target: generator.IntN(64),
			Length: time.Duration(generator.Int64N(int64(longestTime))),
		})
	}
	slices.SortFunc(schedule, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return schedule
}

// shrink drops faults one by one while the promise is still broken.
func shrink(seed uint64, schedule []Fault, broken Safeguard, promise Promise) *Failure {
	breaks := func(candidate []Fault) (string, bool) {
		for _, violation := range simulate(seed, candidate, broken).violations {
			if violation.promise == promise {
				return violation.detail, true
			}
		}
		return "", false
	}
	detail, _ := breaks(schedule)
	for i := 0; i < len(schedule); {
		fewer := slices.Delete(slices.Clone(schedule), i, i+1)
		if found, still := breaks(fewer); still {
			schedule, detail = fewer, found
			continue
		}
		i++
	}
	return &Failure{Seed: seed, Promise: promise, Detail: detail, Faults: schedule}
}
