// Package soak runs entries and agents as real processes against the emulated platform, under
// faults generated from a seed, and checks the guarantees against the records of callers and
// servers.
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

// Kinds that are drawn only where they are named, so that the schedules of seeds that draw from Kinds
// stay as they are.
const (
	CrashBesideFrozenEntry   Kind = "crash-beside-frozen-entry"
	OrderTakenLate           Kind = "order-taken-late"
	CrashingPart             Kind = "crashing-part"
	EntryKillsBesideFailures Kind = "entry-kills-beside-failures"
	StoreRestored            Kind = "store-restored"
	StoreRestoredAfterOutage Kind = "store-restored-after-outage"
	ServerPause              Kind = "server-pause"
	ZonePause                Kind = "zone-pause"
	AllServersPause          Kind = "all-servers-pause"
	AgentsPause              Kind = "agents-pause"
	EntryPause               Kind = "entry-pause"
	PauseBesideChanges       Kind = "pause-beside-changes"
	PauseBesideStops         Kind = "pause-beside-stops"
	PauseBesideVersion       Kind = "pause-beside-version"
	PauseToEndOfStop         Kind = "pause-to-end-of-stop"
)

// PauseKinds lists the kinds in which servers or processes pause and go on where they stopped.
var PauseKinds = []Kind{
	ServerPause, ZonePause, AllServersPause, AgentsPause, EntryPause, PauseBesideChanges, PauseBesideStops, PauseBesideVersion,
	PauseToEndOfStop,
}

// NamedKinds lists every kind, with those that are drawn only where they are named.
var NamedKinds = slices.Concat(Kinds, []Kind{CrashingPart, StoreRestored, StoreRestoredAfterOutage}, PauseKinds, []Kind{EntryKillsBesideFailures, CrashBesideFrozenEntry, OrderTakenLate})

// Fault is one fault of a schedule.
type Fault struct {
	Kind Kind
	// At is when the fault begins, counted from the start of the load; Duration is how long
	// it lasts, if its kind has a duration.
	At       time.Duration
	Duration time.Duration
	// Zone and Index select the machine, Count the extent of the fault.
	Zone  int
	Index int
	Count int
}

// Parameters of schedules.
const (
	// seriesPeriod is the time between the starts of two series of faults, seriesSpread the time
	// within which the faults of a series begin. None begins in the rest of the period.
	seriesPeriod     = 9 * time.Second
	seriesSpread     = 4 * time.Second
	maxInSeries      = 4
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// scheduleSeedStream separates the schedule's random numbers from others of the same seed.
	scheduleSeedStream = 1
)

// GenerateSchedule generates the schedule of a seed: series of one to four overlapping faults of
// the given kinds, with pauses between the series, on a fleet of zones with a number of machines
// in each.
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
