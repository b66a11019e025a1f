// Package soak runs entries and agents as real processes against the stand-in of the
// users' platform, under faults drawn from a seed, and checks the promises from what
// callers and servers have seen.
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	KillEntry            Kind = "kill-entry"
	KillAgent            Kind = "kill-agent"
	KillZone             Kind = "kill-many"
	FreezeEntry          Kind = "freeze-entry"
	FreezeAgent          Kind = "freeze-agent"
	StopEntry            Kind = "stop-entry"
	StoreDown            Kind = "store-down"
	StoreLosesHistory    Kind = "store-forgets"
	StoreRefuses         Kind = "store-refuses"
	ServersExpire        Kind = "servers-lapse"
	ServerCrash          Kind = "server-crash"
	ServerCrashUnnoticed Kind = "server-crash-unnoticed"
	ServerLeaves         Kind = "server-leaves"
	PiecesCorrupted      Kind = "pieces-rot"
	OriginCorrupts       Kind = "origin-spoils"
	CutStreams           Kind = "cut-streams"
	LoseAnswers          Kind = "lose-answers"
	Shed                 Kind = "shed"
	SurplusAnswers       Kind = "surplus-answers"
	NewVersion           Kind = "new-version"
	TwoVersions          Kind = "two-versions"
	Reconfigure          Kind = "reconfigure"
	Evacuate             Kind = "evacuate"
	EvacuateTwice        Kind = "evacuate-twice"
	ServerTurnsCold      Kind = "server-turns-cold"
	ServerStartsCold     Kind = "server-starts-cold"
	ZoneTurnsCold        Kind = "zone-turns-cold"
	RouteNarrows         Kind = "route-narrows"
	TenantNarrows        Kind = "tenant-narrows"
	FalselyHealthyErrors Kind = "lie-errors"
	FalselyHealthyResets Kind = "lie-resets"
	FalselyHealthyHangs  Kind = "lie-hangs"
	FalselyUnhealthy     Kind = "falsely-ill"
	Flap                 Kind = "flap"
	SettingsChange       Kind = "settings-change"
	SettingsInvalid      Kind = "settings-spoilt"
	Burst                Kind = "burst"
	QueryOfDeath         Kind = "query-of-death"
	ServerNoticeLimit    Kind = "server-names-limit"
	ServerNoticeLeaving  Kind = "server-says-it-leaves"
	ServerNoticeBackoff  Kind = "server-asks-for-rest"
)

// Kinds lists every kind.
var Kinds = []Kind{
	KillEntry, KillAgent, KillZone, FreezeEntry, FreezeAgent, StopEntry, StoreDown, StoreLosesHistory, StoreRefuses, ServersExpire,
	ServerCrash, ServerCrashUnnoticed, ServerLeaves, PiecesCorrupted, OriginCorrupts, CutStreams, LoseAnswers, Shed, SurplusAnswers,
	NewVersion, TwoVersions, Reconfigure, Evacuate, EvacuateTwice, ServerTurnsCold, ServerStartsCold, ZoneTurnsCold, RouteNarrows, TenantNarrows,
	FalselyHealthyErrors, FalselyHealthyResets, FalselyHealthyHangs, FalselyUnhealthy, Flap, SettingsChange, SettingsInvalid, Burst, QueryOfDeath,
	ServerNoticeLimit, ServerNoticeLeaving, ServerNoticeBackoff,
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind Kind
	// At is when it strikes, counted from the start of the load; For is how long it
	// lasts, where it lasts.
	At       time.Duration
	Duration time.Duration
	// Zone and Index choose the machine, Count how much is struck.
	Zone  int
	Index int
	Count int
}

// Shape of schedules.
const (
	// seriesPeriod is how often a series of faults begins, seriesSpread the time in which
	// its faults strike; after that it is calm.
	seriesPeriod     = 9 * time.Second
	seriesSpread     = 4 * time.Second
	maxInSeries      = 4
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// scheduleSeedStream tells the schedule's random numbers from others of the same seed.
	scheduleSeedStream = 1
)

// GenerateSchedule makes the schedule of a seed: series of one to four faults that overlap, with calm
// between them, of some kinds, on a fleet of zones with a number of machines.
func GenerateSchedule(seed uint64, duration time.Duration, zones, machines int, kinds []Kind) []Fault {
	random := rand.New(rand.NewPCG(seed, scheduleSeedStream))
	var schedule []Fault
	for begin := time.Duration(0); begin+seriesPeriod <= duration; begin += seriesPeriod {
		for range 1 + random.IntN(maxInSeries) {
			schedule = append(schedule, Fault{
				Kind:     kinds[random.IntN(len(kinds))],
				At:       begin + time.Duration(random.Int64N(int64(seriesSpread))),
				Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
				Zone:     random.IntN(zones), Index: random.IntN(machines), Count: 1 + random.IntN(8),
			})
		}
	}
	slices.SortStableFunc(schedule, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return schedule
}
