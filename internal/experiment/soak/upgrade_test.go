package soak

import (
	"context"
	"fmt"
	"io"
	"math"
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
	// previousBuild is the commit of the build that ran before this one on the users' machines.
	previousBuild = "6b6d0af"
	// allowedServedDrop is how much smaller the ratio of served requests may be while two builds run
	// side by side than while the previous build is replaced by itself.
	allowedServedDrop = 0.02
	// replacementRounds is how often the replacements are repeated. The ratios of two replacements differ
	// by chance with a standard deviation of 0.011, more than independent refusals would make: a single
	// difference is below -allowedServedDrop in one of twenty cases. The mean difference of the rounds has a
	// standard deviation of 0.005, a quarter of it.
	replacementRounds = 6
	// announceDelay is the time between the start of a replacement and the announcement of a version.
	announceDelay = 2 * time.Second
	// replaceInterval is the time between the replacements of two agents, and of two entries, which
	// exit within their grace period.
	replaceInterval = 300 * time.Millisecond
	buildTimeout    = 3 * time.Minute
)

// git runs a git command in this repository.
func git(ctx context.Context, arguments ...string) (string, error) {
	output, err := exec.CommandContext(ctx, "git", arguments...).CombinedOutput()
	return strings.TrimSpace(string(output)), err
}

// buildBinary builds the binary of a commit, or of the current tree if commit is empty.
func buildBinary(t *testing.T, commit string) string {
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	root, err := git(ctx, "rev-parse", "--show-toplevel")
	if err != nil {
		t.Skipf("no git history to build the previous version from: %s", root)
	}
	if commit != "" {
		if message, err := git(ctx, "cat-file", "-e", commit+"^{commit}"); err != nil {
			t.Skipf("the git history does not contain %s, the previous version: %s", commit, message)
		}
		tree := filepath.Join(t.TempDir(), "former")
		message, err := git(ctx, "-C", root, "worktree", "add", "--detach", tree, commit)
		require.NoError(t, err, message)
		t.Cleanup(func() {
			if message, err := git(context.Background(), "-C", root, "worktree", "remove", "--force", tree); err != nil {
				t.Log(message)
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

// replaceProcesses stops every process of one group gracefully and restarts it in another group: first
// the agents, one at a time, then the entries, one of each zone at a time.
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

// sentBetween returns the requests sent between two times.
func (r *run) sentBetween(from, to time.Time) []Attempt {
	return slices.DeleteFunc(r.callers.allAttempts(), func(a Attempt) bool { return a.Sent.Before(from) || a.Sent.After(to) })
}

// unservedCounts counts the requests that were not answered, by kind and status.
func unservedCounts(attempts []Attempt) map[string]int {
	counts := map[string]int{}
	for _, attempt := range attempts {
		if attempt.Status != 200 || !attempt.Correct {
			counts[fmt.Sprintf("kind %d: %d", attempt.Kind, attempt.Status)]++
		}
	}
	return counts
}

// servedRatio returns the ratio of requests that were answered.
func servedRatio(attempts []Attempt) float64 {
	lost := 0
	for _, count := range unservedCounts(attempts) {
		lost += count
	}
	return float64(len(attempts)-lost) / max(1, float64(len(attempts)))
}

// meanDifference returns how much larger the ratios of one kind of replacement are than those of another
// of the same rounds, and the standard error that their spread suggests.
func meanDifference(ratios, reference []float64) (mean, standardError float64) {
	for round := range ratios {
		mean += (ratios[round] - reference[round]) / float64(len(ratios))
	}
	squares := 0.0
	for round := range ratios {
		squares += math.Pow(ratios[round]-reference[round]-mean, 2)
	}
	count := float64(len(ratios))
	return mean, math.Sqrt(squares / (count - 1) / count)
}

// The fleet is replaced under load, process by process, in several rounds: the previous build by itself, then by
// this one, and this one by the previous. A version of the weights is announced during each replacement. No
// guarantee may be violated, and the ratio of served requests while two builds run side by side may be at most
// allowedServedDrop below that while one is replaced by itself, in the mean of the rounds. Each round compares
// replacements that follow each other, so that a change of the machine's load affects both.
func TestTwoBuildsSideBySide(t *testing.T) {
	previous, present := buildBinary(t, previousBuild), buildBinary(t, "")
	fleet, err := launch.NewSiteFleet(previous, "", siteOptions())
	require.NoError(t, err)
	defer fleet.Close()
	running := fleet.Group
	t.Cleanup(running.Stop)
	r := newRun(Options{Executable: previous, Output: io.Discard, Seed: 1, Kinds: Kinds}, fleet)
	require.NoError(t, fleet.StartAll(readyTimeout))
	ctx, cancel := context.WithCancel(context.Background())
	r.context = ctx
	r.startCallers(ctx, 0)
	const byItself, byPresent, byPrevious = "previous build by itself", "previous by present", "present by previous"
	ratios := map[string][]float64{}
	version := uint64(1)
	replace := func(name, executable string) {
		next := launch.NewGroup(executable, "")
		t.Cleanup(next.Stop)
		start := time.Now()
		version++
		announced := version
		time.AfterFunc(announceDelay, func() { r.site.AnnounceVersion(announced) })
		r.replaceProcesses(t, running, next)
		running = next
		sent := r.sentBetween(start, time.Now())
		ratios[name] = append(ratios[name], servedRatio(sent))
		t.Logf("%s, %s, unserved: %v of %d", name, time.Since(start).Round(time.Millisecond), unservedCounts(sent), len(sent))
	}
	for range replacementRounds {
		replace(byItself, previous)
		replace(byPresent, present)
		replace(byPrevious, previous)
	}
	time.Sleep(time.Second)
	cancel()
	r.callerGroup.Wait()
	r.collect()
	for _, violation := range Check(r.record) {
		t.Errorf("%s: %s %s", violation.Guarantee, violation.Request, violation.Detail)
	}
	t.Logf("served: %.4f %s, %.4f %s, %.4f %s; %d requests",
		ratios[byItself], byItself, ratios[byPresent], byPresent, ratios[byPrevious], byPrevious, len(r.record.Attempts))
	for _, name := range []string{byPresent, byPrevious} {
		difference, standardError := meanDifference(ratios[name], ratios[byItself])
		t.Logf("%s: %+.4f against %s, standard error %.4f", name, difference, byItself, standardError)
		assert.GreaterOrEqual(t, difference, -allowedServedDrop, name)
	}
	for zone := range r.site.Options.Zones {
		for index := range r.site.Options.ModelServers {
			assert.EqualValues(t, version, r.site.Models[r.site.Options.ModelIP(zone, index)].Version(), "the newest version")
		}
	}
}

// TestMain sets a build cache: without a home directory the go command has none.
func TestMain(m *testing.M) {
	if os.Getenv("HOME") == "" && os.Getenv("GOCACHE") == "" {
		_ = os.Setenv("GOCACHE", filepath.Join(os.TempDir(), "go-build"))
	}
	os.Exit(m.Run())
}
