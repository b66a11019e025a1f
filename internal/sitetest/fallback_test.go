package sitetest

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
)

// awayOptions leave time for an older version while the origin is away.
func startWithoutOrigin(t *testing.T) *Fleet {
	options := DefaultOptions()
	options.VersionMs = 12000
	f := Start(t, options)
	f.Eventually("version 1 is verified", 3*time.Second, func() bool { return countEvents(f, "PV3005", "") >= 4 })
	f.Site.Origin.SetAway(true)
	f.Site.NameVersion(2)
	f.Eventually("version 2 is noticed", 3*time.Second, func() bool { return countEvents(f, "PV3001", `"version":2`) >= 4 })
	return f
}

// An empty server that comes while the newest version can't be had serves the one that is in
// force still, from its peers' copies, and the newest once the origin is back.
func TestEmptyServerLoadsCurrentVersion(t *testing.T) {
	f := startWithoutOrigin(t)
	fresh, err := f.Site.StartModel(1, 5, 0)
	require.NoError(t, err)
	f.StartAgent(1, 5)
	f.Eventually("the new server serves version 1", 5*time.Second, func() bool { return fresh.Version() == 1 })
	f.Site.Origin.SetAway(false)
	f.Eventually("every server serves version 2", 11*time.Second, func() bool { return f.allServe(2) })
	_, err = f.Stream(context.Background(), 0, 0, "after", 3)
	assert.NoError(t, err)
	for _, run := range f.Site.Ledger.Runs() {
		assert.False(t, run.Spoilt)
	}
}

// A server that crashes while the next version is on its way serves again from what lies at
// it: pieces of the next one have not taken its place.
func TestCrashedServerReloadsCurrentVersion(t *testing.T) {
	options := DefaultOptions()
	options.VersionMs = 12000
	f := Start(t, options)
	f.Eventually("version 1 is verified", 3*time.Second, func() bool { return countEvents(f, "PV3005", "") >= 4 })
	f.Site.NameVersion(2)
	f.Eventually("version 2 is here", 4*time.Second, func() bool { return countEvents(f, "PV3005", `"version":2`) >= 4 })
	f.Site.Origin.SetAway(true)
	f.Site.NameVersion(3)
	f.Eventually("version 3 is noticed", 3*time.Second, func() bool { return countEvents(f, "PV3001", `"version":3`) >= 4 })
	require.NoError(t, f.Site.RestartModel(0, 0))
	f.Eventually("the restarted server serves", 3*time.Second, func() bool { return f.Site.Models[f.Site.Options.ModelIP(0, 0)].Version() == 2 })
	f.Eventually("the others change over to version 2 before the bound of version 1", 12*time.Second, func() bool { return f.allServe(2) })
	f.Site.Origin.SetAway(false)
	f.Eventually("every server serves version 3", 12*time.Second, func() bool { return f.allServe(3) })
}

// Seen: of two versions named three seconds apart the first had left the origin when the origin
// stopped, a second after the second one. Every machine still waited for an eighth of it, which its
// peers had, and dropped it for the second version, which nobody had. So all servers were without a
// version from the bound of the first one on, 4.5 s of a day, until the origin was back.
//
// A version that is on its way when a newer one is named is completed from peers, and serves until
// the newer one can be had.
func TestVersionInTransferIsCompletedWhenNewerOneIsAnnounced(t *testing.T) {
	f := Start(t, slowLinkOptions(8000))
	f.Eventually("version 1 is verified", 6*time.Second, func() bool { return countEvents(f, "PV3005", "") >= 4 })
	f.Site.NameVersion(2)
	f.Eventually("version 2 has left the origin", 3*time.Second, func() bool { return f.Site.Origin.Copies() >= 1 })
	f.Site.Origin.SetAway(true)
	require.Zero(t, countEvents(f, "PV3005", `"version":2`), "it is not here whole anywhere")
	f.Site.NameVersion(3)
	f.Eventually("version 3 is noticed", 3*time.Second, func() bool { return countEvents(f, "PV3001", `"version":3`) >= 4 })
	f.Eventually("every server changes over to version 2", 9*time.Second, func() bool { return f.allServe(2) })
	_, err := f.Stream(context.Background(), 0, 0, "between", 3)
	assert.NoError(t, err)
	f.Site.Origin.SetAway(false)
	f.Eventually("every server serves version 3", 12*time.Second, func() bool { return f.allServe(3) })
	for _, run := range f.Site.Ledger.Runs() {
		assert.False(t, run.Spoilt)
	}
}

// slowLinkOptions are options of a fleet in which a copy takes a machine 1.6 s over its link, and leaves
// the origin in a fraction of it.
func slowLinkOptions(versionMs int) site.Options {
	options := DefaultOptions()
	options.VersionMs = versionMs
	options.Weights.Pieces, options.Weights.PieceBytes, options.LinkMbps = 64, 25<<10, 8
	return options
}

// A version that is whole and waits for its turn is not given up for a part of a later one that
// nobody can complete.
func TestCompleteFallbackIsNotDroppedForPartialVersion(t *testing.T) {
	f := Start(t, slowLinkOptions(8000))
	f.Eventually("version 1 is verified", 6*time.Second, func() bool { return countEvents(f, "PV3005", "") >= 4 })
	f.Site.NameVersion(2)
	f.Eventually("version 2 is here", 6*time.Second, func() bool { return countEvents(f, "PV3005", `"version":2`) >= 4 })
	f.Site.NameVersion(3)
	f.Eventually("version 3 has begun", 3*time.Second, func() bool { return countEvents(f, "PV3101", `"version":3`) >= 4 })
	f.Site.Origin.SetAway(true)
	require.Zero(t, countEvents(f, "PV3005", `"version":3`))
	f.Site.NameVersion(4)
	f.Eventually("version 4 is noticed", 3*time.Second, func() bool { return countEvents(f, "PV3001", `"version":4`) >= 4 })
	f.Eventually("every server changes over to version 2", 9*time.Second, func() bool { return f.allServe(2) })
}

// A server that crashes while two versions are on their way serves the one in force again.
func TestCrashedServerRecoversDuringTwoTransfers(t *testing.T) {
	f := Start(t, slowLinkOptions(12000))
	f.Eventually("version 1 is verified", 6*time.Second, func() bool { return countEvents(f, "PV3005", "") >= 4 })
	f.Eventually("version 1 is served", 6*time.Second, func() bool { return f.allServe(1) })
	f.Site.NameVersion(2)
	f.Eventually("version 2 has begun", 3*time.Second, func() bool { return countEvents(f, "PV3101", `"version":2`) >= 4 })
	f.Site.Origin.SetAway(true)
	f.Site.NameVersion(3)
	f.Eventually("version 3 is noticed", 3*time.Second, func() bool { return countEvents(f, "PV3001", `"version":3`) >= 4 })
	require.Zero(t, countEvents(f, "PV3005", `"version":2`))
	require.NoError(t, f.Site.RestartModel(0, 0))
	f.Eventually("the restarted server serves", 3*time.Second, func() bool { return f.Site.Models[f.Site.Options.ModelIP(0, 0)].Version() != 0 })
}
