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

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	KillEntry            FaultKind = "kill-entry"
	KillAgent            FaultKind = "kill-agent"
	KillMany             FaultKind = "kill-many"
	FreezeEntry          FaultKind = "freeze-entry"
	FreezeAgent          FaultKind = "freeze-agent"
	StopEntry            FaultKind = "stop-entry"
	StoreDown            FaultKind = "store-down"
	StoreLosesHistory    FaultKind = "store-forgets"
	StoreRefuses         FaultKind = "store-refuses"
	ServersExpire        FaultKind = "servers-lapse"
	ServerCrash          FaultKind = "server-crash"
	ServerCrashUnnoticed FaultKind = "server-crash-unnoticed"
	ServerLeaves         FaultKind = "server-leaves"
	PiecesCorrupted      FaultKind = "pieces-rot"
	OriginCorrupts       FaultKind = "origin-spoils"
	CutStreams           FaultKind = "cut-streams"
	LoseAnswers          FaultKind = "lose-answers"
	Shed                 FaultKind = "shed"
	SurplusAnswers       FaultKind = "surplus-answers"
	NewVersion           FaultKind = "new-version"
	TwoVersions          FaultKind = "two-versions"
	Reconfigure          FaultKind = "reconfigure"
	Evacuate             FaultKind = "evacuate"
	EvacuateTwice        FaultKind = "evacuate-twice"
	ServerTurnsCold      FaultKind = "server-turns-cold"
	ServerStartsCold     FaultKind = "server-starts-cold"
	ZoneTurnsCold        FaultKind = "zone-turns-cold"
	RouteNarrows         FaultKind = "route-narrows"
	TenantNarrows        FaultKind = "tenant-narrows"
	FalselyHealthyErrors FaultKind = "lie-errors"
	FalselyHealthyResets FaultKind = "lie-resets"
	FalselyHealthyHangs  FaultKind = "lie-hangs"
	FalselyUnhealthy     FaultKind = "falsely-ill"
	Flap                 FaultKind = "flap"
	SettingsChange       FaultKind = "settings-change"
	SettingsInvalid      FaultKind = "settings-spoilt"
	Burst                FaultKind = "burst"
	QueryOfDeath         FaultKind = "query-of-death"
	ServerNoticeLimit    FaultKind = "server-names-limit"
	ServerNoticeLeaving  FaultKind = "server-says-it-leaves"
	ServerNoticeBackoff  FaultKind = "server-asks-for-rest"
)

// FaultKinds lists every kind.
var FaultKinds = []FaultKind{
	KillEntry, KillAgent, KillMany, FreezeEntry, FreezeAgent, StopEntry, StoreDown, StoreLosesHistory, StoreRefuses, ServersExpire,
	ServerCrash, ServerCrashUnnoticed, ServerLeaves, PiecesCorrupted, OriginCorrupts, CutStreams, LoseAnswers, Shed, SurplusAnswers,
	NewVersion, TwoVersions, Reconfigure, Evacuate, EvacuateTwice, ServerTurnsCold, ServerStartsCold, ZoneTurnsCold, RouteNarrows, TenantNarrows,
	FalselyHealthyErrors, FalselyHealthyResets, FalselyHealthyHangs, FalselyUnhealthy, Flap, SettingsChange, SettingsInvalid, Burst, QueryOfDeath,
	ServerNoticeLimit, ServerNoticeLeaving, ServerNoticeBackoff,
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind FaultKind
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
	seriesPeriod = 9 * time.Second
	seriesSpread = 4 * time.Second
	maxInSeries = 4
	minFaultDuration     = 300 * time.Millisecond
	maxFaultDuration      = 3 * time.Second
	// scheduleSeedStream tells the schedule's random numbers from others of the same seed.
	scheduleSeedStream = 1
)

// GenerateSchedule makes the schedule of a seed: series of one to four faults that overlap, with calm
// between them, of some kinds, on a fleet of zones with a number of machines.
func GenerateSchedule(seed uint64, duration time.Duration, zones, machines int, kinds []FaultKind) []Fault {
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
