package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/launch"
)

const (
	// previousBuild is the version that ran before this one on the users' machines.
	previousBuild = "6b6d0af"
	// allowedServedDrop is how much smaller the share of served requests may be while two builds run
	// side by side than while one replaces itself.
	allowedServedDrop = 0.02
	// announceDelay is how long after the first process of a replacement a version is named.
	announceDelay = 2 * time.Second
	// replaceInterval is the time between the replacements of agents, and of entries, which end within
	// their grace one zone after the other.
	replaceInterval = 300 * time.Millisecond
	buildTimeout    = 3 * time.Minute
)

// git runs a command of git in this repository.
func git(ctx context.Context, arguments ...string) (string, error) {
	output, err := exec.CommandContext(ctx, "git", arguments...).CombinedOutput()
	return strings.TrimSpace(string(output)), err
}

// buildBinary builds the binary of a commit, or of the tree as it is where none is named.
func buildBinary(t *testing.T, commit string) string {
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	root, err := git(ctx, "rev-parse", "--show-toplevel")
	if err != nil {
		t.Skipf("no history of this project to build the former version from: %s", root)
	}
	if commit != "" {
		if said, err := git(ctx, "cat-file", "-e", commit+"^{commit}"); err != nil {
			t.Skipf("the history here does not reach back to %s, the former version: %s", commit, said)
		}
		tree := filepath.Join(t.TempDir(), "former")
		said, err := git(ctx, "-C", root, "worktree", "add", "--detach", tree, commit)
		require.NoError(t, err, said)
		t.Cleanup(func() {
			if said, err := git(context.Background(), "-C", root, "worktree", "remove", "--force", tree); err != nil {
				t.Log(said)
			}
		})
		root = tree
	}
	binary := filepath.Join(t.TempDir(), "pinevane")
	command := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/pinevane")
	command.Dir = root
	output, err := command.CombinedOutput()
	require.NoError(t, err, string(output))
	return binary
}

// replaceProcesses ends every process of one group as planned, agents first and the entries of one zone at a
// time, and starts it anew in another one.
func (r *run) replaceProcesses(t *testing.T, from, to *launch.Group) {
	r.fleet.Group = to
	options := r.site.Options
	restart := func(role string, zone, index int) {
		name := launch.SiteProcessName(role, zone, index)
		require.NoError(t, from.Signal(name, syscall.SIGTERM))
		require.True(t, from.WaitExit(name, stopTimeout), name)
		require.NoError(t, r.fleet.Restart(role, zone, index))
	}
	for index := range options.ModelServers {
		for zone := range options.Zones {
			restart(site.RoleAgent, zone, index)
			time.Sleep(replaceInterval)
		}
	}
	for index := range options.Entries {
		var stopping sync.WaitGroup
		for zone := range options.Zones {
			now := time.Now()
			r.record.Stops = append(r.record.Stops, Interval{From: now, To: now.Add(r.record.Grace), Name: launch.SiteProcessName(site.RoleEntry, zone, index)})
			stopping.Go(func() { restart(site.RoleEntry, zone, index) })
			time.Sleep(replaceInterval)
		}
		stopping.Wait()
		require.NoError(t, r.fleet.WaitReady(readyTimeout))
	}
}

// sentBetween are the requests sent in a span.
func (r *run) sentBetween(from, to time.Time) []Attempt {
	return slices.DeleteFunc(r.callers.allAttempts(), func(a Attempt) bool { return a.Sent.Before(from) || a.Sent.After(to) })
}

// unservedCounts counts those of some requests that were not answered, by kind and status.
func unservedCounts(attempts []Attempt) map[string]int {
	counts := map[string]int{}
	for _, attempt := range attempts {
		if attempt.Status != 200 || !attempt.Correct {
			counts[fmt.Sprintf("kind %d: %d", attempt.Kind, attempt.Status)]++
		}
	}
	return counts
}

// servedRatio is the share of some requests that were answered.
func servedRatio(attempts []Attempt) float64 {
	lost := 0
	for _, count := range unservedCounts(attempts) {
		lost += count
	}
	return float64(len(attempts)-lost) / max(1, float64(len(attempts)))
}

// The fleet is replaced under load, process by process: the former build by itself, by this one, and this
// one by the former; a version of the weights is named amid each. No promise is broken, and as much is
// served while the builds run side by side as while one replaces itself.
func TestTwoBuildsSideBySide(t *testing.T) {
	former, present := buildBinary(t, previousBuild), buildBinary(t, "")
	fleet, err := launch.NewSiteFleet(former, "", siteOptions())
	require.NoError(t, err)
	groups := []*launch.Group{fleet.Group, launch.NewGroup(former, ""), launch.NewGroup(present, ""), launch.NewGroup(former, "")}
	defer fleet.Close()
	for _, group := range groups {
		defer group.Stop()
	}
	r := newRun(Options{Executable: former, Output: io.Discard, Seed: 1, Kinds: Kinds}, fleet)
	require.NoError(t, fleet.StartAll(readyTimeout))
	ctx, cancel := context.WithCancel(context.Background())
	r.context = ctx
	r.startCallers(ctx, 0)
	var shares []float64
	for step := 1; step < len(groups); step++ {
		began := time.Now()
		time.AfterFunc(announceDelay, func() { r.site.NameVersion(uint64(step) + 1) })
		r.replaceProcesses(t, groups[step-1], groups[step])
		sent := r.sentBetween(began, time.Now())
		shares = append(shares, servedRatio(sent))
		t.Logf("step %d, %s, unserved: %v of %d", step, time.Since(began).Round(time.Millisecond), unservedCounts(sent), len(sent))
	}
	time.Sleep(time.Second)
	cancel()
	r.callerGroup.Wait()
	r.collect()
	for _, one := range Check(r.record) {
		t.Errorf("%s: %s %s", one.Guarantee, one.Request, one.Detail)
	}
	t.Logf("served: %.4f while the former build replaced itself, %.4f while the present one came, %.4f while the former one did; %d requests",
		shares[0], shares[1], shares[2], len(r.record.Attempts))
	assert.GreaterOrEqual(t, shares[1], shares[0]-allowedServedDrop)
	assert.GreaterOrEqual(t, shares[2], shares[0]-allowedServedDrop)
	for zone := range r.site.Options.Zones {
		for index := range r.site.Options.ModelServers {
			assert.EqualValues(t, len(groups), r.site.Models[r.site.Options.ModelIP(zone, index)].Version(), "the newest version")
		}
	}
}

// Without a home folder the go command has no cache.
func TestMain(m *testing.M) {
	if os.Getenv("HOME") == "" && os.Getenv("GOCACHE") == "" {
		_ = os.Setenv("GOCACHE", filepath.Join(os.TempDir(), "go-build"))
	}
	os.Exit(m.Run())
}
