package sitetest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/emulator/site"
)

// deafFor is how long the store's watches hear nothing before it forgets its history.
const deafFor = 800 * time.Millisecond

// VERSION: no process takes a version to be named later than it was, also when the store's
// watches heard nothing of it. Seen: all eight processes took six of six versions to be named
// 0.39 to 0.68 s later, because empty watches had moved on up to when copies were complete, and
// peers kept that after the store had said that its history was gone.
func TestNamedWhileTheStoreIsDeaf(t *testing.T) {
	f := Start(t, DefaultOptions())
	f.Site.Origin.SetAway(true)
	time.Sleep(1500 * time.Millisecond)
	for version := uint64(2); version <= 7; version++ {
		f.Site.Store.SetDeaf()
		time.Sleep(10 * time.Millisecond)
		named := time.Now()
		f.Site.NameVersion(version)
		time.AfterFunc(deafFor, f.Site.Store.Compact)
		time.Sleep(3500 * time.Millisecond)
		for zone := range 2 {
			for index := range 2 {
				for _, role := range []string{catalog.RoleEntry, catalog.RoleAgent} {
					name := Name(role, zone, index)
					notice, _ := f.Process(name).Catalog.View().Newest("m")
					assert.Equal(t, version, notice.Version, name)
					late := notice.Since.Sub(named)
					assert.LessOrEqual(t, late, time.Duration(0), "%s, version %d", name, version)
					t.Logf("%s, version %d: believed named %s early", name, version, -late.Round(time.Millisecond))
				}
			}
		}
	}
}

// VERSION: nothing begins on an old version past its bound, with requests that wait at the
// servers, whether or not the store's watches hear of the new one. Seen: beginnings 10 to 184 ms
// past the bound where they did not.
func TestNoLateBeginningsAfterADeafStore(t *testing.T) {
	for _, deaf := range []bool{false, true} {
		t.Run(fmt.Sprintf("deaf %v", deaf), func(t *testing.T) {
			f := Start(t, lateCancelOptions())
			f.Site.Origin.SetAway(true)
			stop := traffic(120*time.Millisecond, func(ctx context.Context, number int) outcome {
				one := outcome{id: fmt.Sprintf("stream-%d", number), begun: time.Now()}
				one.answer, one.err = f.Stream(ctx, number%2, number/2%2, one.id, heldEvents)
				return one
			})
			time.Sleep(1500 * time.Millisecond)
			if deaf {
				f.Site.Store.SetDeaf()
			}
			named := time.Now()
			f.Site.NameVersion(2)
			if deaf {
				time.AfterFunc(deafFor, f.Site.Store.Compact)
			}
			bound := named.Add(time.Duration(f.Site.Options.VersionMs) * time.Millisecond)
			time.Sleep(time.Until(bound.Add(2 * time.Second)))
			stop()
			var late []time.Duration
			for _, run := range f.Site.Ledger.Runs() {
				if run.Service == site.ModelService && run.Version == 1 && run.At.After(bound) {
					late = append(late, run.At.Sub(bound).Round(time.Millisecond))
				}
			}
			assert.Empty(t, late)
		})
	}
}

// calmAge is the most by which a version may be believed older than it is while all goes well: a
// watch of the store with its pause, and some way from process to process.
const calmAge = time.Second

// In calm, the doubt of a store that may be about to forget its history costs nothing.
func TestVersionsAreHardlyBelievedOlderInCalmAnywhere(t *testing.T) {
	f := Start(t, DefaultOptions())
	f.Site.Origin.SetAway(true)
	time.Sleep(1500 * time.Millisecond)
	sum, count := time.Duration(0), 0
	for version := uint64(2); version <= 7; version++ {
		named := time.Now()
		f.Site.NameVersion(version)
		time.Sleep(1370 * time.Millisecond)
		for zone := range 2 {
			for index := range 2 {
				for _, role := range []string{catalog.RoleEntry, catalog.RoleAgent} {
					name := Name(role, zone, index)
					notice, _ := f.Process(name).Catalog.View().Newest("m")
					assert.Equal(t, version, notice.Version, name)
					early := named.Sub(notice.Since)
					assert.GreaterOrEqual(t, early, time.Duration(0), "%s, version %d", name, version)
					assert.LessOrEqual(t, early, calmAge, "%s, version %d", name, version)
					sum, count = sum+early, count+1
				}
			}
		}
	}
	t.Logf("believed older by %s in the mean", (sum / time.Duration(count)).Round(time.Millisecond))
}
