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
	KillEntry      Kind = "kill-entry"
	KillAgent      Kind = "kill-agent"
	KillMany       Kind = "kill-many"
	FreezeEntry    Kind = "freeze-entry"
	FreezeAgent    Kind = "freeze-agent"
	StopEntry      Kind = "stop-entry"
	StoreDown      Kind = "store-down"
	StoreForgets   Kind = "store-forgets"
	StoreRefuses   Kind = "store-refuses"
	ServersLapse   Kind = "servers-lapse"
	ServerCrash    Kind = "server-crash"
	ServerUnlisted Kind = "server-crash-unnoticed"
	ServerLeaves   Kind = "server-leaves"
	PiecesRot      Kind = "pieces-rot"
	OriginSpoils   Kind = "origin-spoils"
	CutStreams     Kind = "cut-streams"
	LoseAnswers    Kind = "lose-answers"
	Shed           Kind = "shed"
	SurplusAnswers Kind = "surplus-answers"
	NewVersion     Kind = "new-version"
	TwoVersions    Kind = "two-versions"
	Reconfigure    Kind = "reconfigure"
	Evacuate       Kind = "evacuate"
	EvacuateTwice  Kind = "evacuate-twice"
	ServerCold     Kind = "server-turns-cold"
	ServerNewCold  Kind = "server-starts-cold"
	ZoneCold       Kind = "zone-turns-cold"
	RouteNarrows   Kind = "route-narrows"
	TenantNarrows  Kind = "tenant-narrows"
	LieErrors      Kind = "lie-errors"
	LieResets      Kind = "lie-resets"
	LieHangs       Kind = "lie-hangs"
	FalselyIll     Kind = "falsely-ill"
	Flap           Kind = "flap"
	SettingsChange Kind = "settings-change"
	SettingsSpoilt Kind = "settings-spoilt"
	Burst          Kind = "burst"
	QueryOfDeath   Kind = "query-of-death"
	ServerLimits   Kind = "server-names-limit"
	ServerSaysGone Kind = "server-says-it-leaves"
	ServerRests    Kind = "server-asks-for-rest"
)

// Kinds lists every kind.
var Kinds = []Kind{
	KillEntry, KillAgent, KillMany, FreezeEntry, FreezeAgent, StopEntry, StoreDown, StoreForgets, StoreRefuses, ServersLapse,
	ServerCrash, ServerUnlisted, ServerLeaves, PiecesRot, OriginSpoils, CutStreams, LoseAnswers, Shed, SurplusAnswers,
	NewVersion, TwoVersions, Reconfigure, Evacuate, EvacuateTwice, ServerCold, ServerNewCold, ZoneCold, RouteNarrows, TenantNarrows,
	LieErrors, LieResets, LieHangs, FalselyIll, Flap, SettingsChange, SettingsSpoilt, Burst, QueryOfDeath,
	ServerLimits, ServerSaysGone, ServerRests,
}

// Fault is one fault of a schedule.
type Fault struct {
	Kind Kind
	// At is when it strikes, counted from the start of the load; For is how long it
	// lasts, where it lasts.
	At  time.Duration
	For time.Duration
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
	mostInSeries = 4
	shortest     = 300 * time.Millisecond
	longest      = 3 * time.Second
	// seedStream tells the schedule's random numbers from others of the same seed.
	seedStream = 1
)

// Draw makes the schedule of a seed: series of one to four faults that overlap, with calm
// between them, of some kinds, on a fleet of zones with a number of machines.
func Draw(seed uint64, duration time.Duration, zones, machines int, kinds []Kind) []Fault {
	random := rand.New(rand.NewPCG(seed, seedStream))
	var schedule []Fault
	for begin := time.Duration(0); begin+seriesPeriod <= duration; begin += seriesPeriod {
		for range 1 + random.IntN(mostInSeries) {
			schedule = append(schedule, Fault{
				Kind: kinds[random.IntN(len(kinds))],
				At:   begin + time.Duration(random.Int64N(int64(seriesSpread))),
				For:  shortest + time.Duration(random.Int64N(int64(longest-shortest))),
				Zone: random.IntN(zones), Index: random.IntN(machines), Count: 1 + random.IntN(8),
			})
		}
	}
	slices.SortStableFunc(schedule, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return schedule
}
