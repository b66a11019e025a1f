package fleettest

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/agent"
	"pinevane.example/pinevane/internal/blackboard"
	"pinevane.example/pinevane/internal/emulator"
	"pinevane.example/pinevane/internal/entry"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/node"
	"pinevane.example/pinevane/internal/workload"
)

// startLoad sends streams and calls until done is closed. The returned group ends with the last request.
func startLoad(f *Fleet, workers int, done <-chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				process := f.Entries[i%len(f.Entries)]
				if i%4 == 3 {
					f.Do(process, Call(fmt.Sprintf("call %d %d", worker, i)))
					continue
				}
				f.Do(process, Stream(fmt.Sprintf("prompt %d %d", worker, i), 12))
			}
		})
	}
	return &group
}

func TestRolloutUnderLoadMixesNoVersions(t *testing.T) {
	t.Parallel()
	f := New(t, 3, 1, 2)
	done := make(chan struct{})
	group := startLoad(f, 8, done)
	before := f.Origin.SentBytes()
	f.PublishVersion("2")
	f.WaitServing("2")
	f.Wait("a request is answered by the new version", func() bool {
		return workload.Summarize(f.Recorder.Results()).Versions["2"] > 0
	})
	close(done)
	group.Wait()
	summary := workload.Summarize(f.Recorder.Results())
	assert.Empty(t, f.Violations())
	assert.Zero(t, summary.Wrong)
	assert.Equal(t, summary.Requests, summary.Answered, "%+v", summary)
	assert.LessOrEqual(t, f.Origin.SentBytes()-before, int64(4<<20), "more than four copies fetched from the origin")
}

func TestRefusedVersionLeavesOldOneServing(t *testing.T) {
	t.Parallel()
	f := New(t, 2, 0, 1)
	for _, machine := range f.Engines {
		machine.Engine.SetFaults(emulator.Faults{RefusedVersion: "2"})
	}
	f.PublishVersion("2")
	f.Wait("every machine refuses the version", func() bool {
		for _, machine := range f.Engines {
			if refused, _ := blackboard.Read(machine.Node.Board, agent.RefusedKey); len(refused) == 0 {
				return false
			}
		}
		return true
	})
	result := f.Do(f.Entries[0], Stream("after the refusal", 8))
	assert.True(t, result.Answered, "%+v", result)
	assert.Equal(t, "1", result.Version)

	for _, machine := range f.Engines {
		machine.Engine.SetFaults(emulator.Faults{})
	}
	f.PublishVersion("3")
	f.WaitServing("3")
}

func TestRollbackFetchesNothingFromOrigin(t *testing.T) {
	t.Parallel()
	f := New(t, 2, 0, 1)
	f.PublishVersion("2")
	f.WaitServing("2")
	sentBefore := f.Origin.SentBytes()
	f.PublishVersion("1")
	f.WaitServing("1")
	assert.Equal(t, sentBefore, f.Origin.SentBytes())
}

func TestPlannedStopOfAgentDropsNoRequest(t *testing.T) {
	t.Parallel()
	f := New(t, 2, 0, 1)
	const streams = 8
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() { f.Do(f.Entries[0], Stream(fmt.Sprint("long ", i), 400)) })
	}
	leaving := f.Engines[0]
	f.Wait("the leaving machine has open work", func() bool { return leaving.Node.Dump().OpenWork > 0 })
	leaving.BeginStop()
	f.WaitStopped(leaving.Process)
	before := len(leaving.Engine.Records())
	for i := range streams {
		assert.True(t, f.Do(f.Entries[0], Stream(fmt.Sprint("after ", i), 8)).Answered)
	}
	group.Wait()
	assert.Len(t, leaving.Engine.Records(), before, "requests received after the stop")
	summary := workload.Summarize(f.Recorder.Results())
	assert.Equal(t, 2*streams, summary.Answered, "%+v", summary)
	assert.Empty(t, f.Violations())
}

func TestPlannedStopOfEntryDropsNoRequest(t *testing.T) {
	t.Parallel()
	f := New(t, 1, 0, 1)
	var group sync.WaitGroup
	group.Go(func() { f.Do(f.Entries[0], Stream("long", 300)) })
	f.Wait("the stream is open", func() bool { return f.Entries[0].Node.Dump().OpenWork > 0 })
	f.Entries[0].BeginStop()
	group.Wait()
	f.WaitStopped(f.Entries[0])
	assert.Equal(t, 1, workload.Summarize(f.Recorder.Results()).Answered)
}

func TestStreamResumesWhenItsEngineRestarts(t *testing.T) {
	t.Parallel()
	f := New(t, 2, 0, 1)
	results := make(chan workload.Result, 1)
	go func() { results <- f.Do(f.Entries[0], Stream("resumed", 500)) }()
	var broken *Machine
	f.Wait("the stream is running", func() bool {
		for _, machine := range f.Engines {
			if machine.Engine.Status().Running > 0 && machine.Node.Dump().OpenWork > 0 {
				broken = machine
			}
		}
		return broken != nil
	})
	broken.Engine.Restart()
	result := <-results
	assert.True(t, result.Answered, "%+v", result)
	assert.Empty(t, f.Violations())
}

func TestNonRepeatableGenerationIsNotRetried(t *testing.T) {
	t.Parallel()
	f := New(t, 2, 0, 1)
	request := Stream("once", 500)
	request.NotRepeatable = true
	results := make(chan workload.Result, 1)
	go func() { results <- f.Do(f.Entries[0], request) }()
	f.Wait("the stream is running", func() bool {
		for _, machine := range f.Engines {
			if machine.Engine.Status().Running > 0 {
				machine.Engine.Restart()
				return true
			}
		}
		return false
	})
	result := <-results
	assert.False(t, result.Answered)
	assert.Equal(t, fault.ExecutionUnknown, result.Execution)
	assert.Empty(t, f.Violations())
}

func TestCallWithLostLinkIsAnsweredAndRunsOnce(t *testing.T) {
	t.Parallel()
	f := New(t, 1, 2, 1)
	results := make(chan workload.Result, 1)
	go func() { results <- f.Do(f.Entries[0], Call("lost link")) }()
	f.Wait("the call runs", func() bool {
		for _, machine := range f.Services {
			if len(machine.Service.Runs()) > 0 {
				for _, link := range machine.Node.Hub.Accepted() {
					_ = link.Close()
				}
				return true
			}
		}
		return false
	})
	result := <-results
	assert.True(t, result.Answered, "%+v", result)
	assert.Empty(t, f.Violations())
}

func TestOneKeyThroughTwoEntriesRunsOnce(t *testing.T) {
	t.Parallel()
	f := New(t, 1, 3, 2)
	request := Call("save")
	request.IdempotencyKey = "candidate-1-answer-7"
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() { f.Do(f.Entries[i%2], request) })
	}
	group.Wait()
	total := 0
	for _, machine := range f.Services {
		for _, runs := range machine.Service.Runs() {
			total += runs
		}
	}
	assert.Equal(t, 1, total)
	again := f.Do(f.Entries[1], request)
	assert.True(t, again.Answered, "the stored answer is replayed: %+v", again)
	assert.Empty(t, f.Violations())
}

func TestRefusedCallDidNotRun(t *testing.T) {
	t.Parallel()
	f := New(t, 1, 1, 1)
	f.Services[0].Service.SetFaults(emulator.Faults{})
	f.Services[0].BeginStop()
	f.WaitStopped(f.Services[0].Process)
	// Before the entry detects the lost link it may have sent the call, and the outcome is then
	// correctly reported as unknown.
	f.Wait("the entry detects the lost link", func() bool {
		views, _ := blackboard.Read(f.Entries[0].Node.Board, entry.ReplicasKey)
		return len(views) > 0 && !slices.ContainsFunc(views, func(view entry.ReplicaView) bool {
			return view.ID == f.Services[0].Node.ID() && view.Linked
		})
	})
	result := f.Do(f.Entries[0], Call("nobody is there"))
	assert.Equal(t, fault.ExecutionNotRun, result.Execution, "%+v", result)
	assert.NotEmpty(t, result.Reason)
	assert.Empty(t, f.Services[0].Service.Runs())
}

func TestConfigurationOutageInterruptsNothing(t *testing.T) {
	t.Parallel()
	f := New(t, 2, 0, 1)
	f.Configuration.SetFaults(emulator.Faults{Down: true})
	f.Membership.SetFaults(emulator.Faults{Down: true})
	assert.True(t, f.Do(f.Entries[0], Stream("during the outage", 8)).Answered)

	late := f.StartEntry("entry-late", f.Engines[0].Address)
	f.Entries = append(f.Entries, late)
	f.Wait("an entry that starts during the outage gets the configuration from a peer", func() bool { return f.Ready(late) })
	assert.True(t, f.Do(late, Stream("through the late entry", 8)).Answered)
}

func TestInvalidRevisionKeepsLastValidOne(t *testing.T) {
	t.Parallel()
	f := New(t, 1, 0, 1)
	f.Configuration.Change(map[string][]byte{"tenant": []byte("instance: tenant\nfrom: nowhere\n")})
	f.Wait("the revision is rejected", func() bool {
		rejected, found := blackboard.Read(f.Entries[0].Node.Board, node.RejectedKey)
		return found && rejected.Version.Revision == 2
	})
	snapshot, _ := f.Entries[0].Node.Snapshot()
	assert.Equal(t, uint64(1), snapshot.Version.Revision)
	assert.True(t, f.Do(f.Entries[0], Stream("still served", 4)).Answered)
}

func TestOlderRevisionsOfSameEpochAreIgnored(t *testing.T) {
	t.Parallel()
	f := New(t, 1, 0, 1)
	f.PublishVersion("2")
	f.WaitServing("2")
	// The service restarts with an older revision of the same epoch.
	f.Configuration.Reset(1, Documents("1", string(manifestDigest(t, "1"))))
	time.Sleep(300 * time.Millisecond)
	snapshot, _ := f.Entries[0].Node.Snapshot()
	assert.Equal(t, "2", snapshot.Models[Model].Version)
	// A higher epoch supersedes the known revision.
	f.Configuration.Reset(2, Documents("1", string(manifestDigest(t, "1"))))
	f.WaitServing("1")
}

func manifestDigest(t *testing.T, version string) string {
	t.Helper()
	_, digest, err := Synthetic(version).Manifest().Encode()
	require.NoError(t, err)
	return string(digest)
}

func TestCorruptChunksAreNeverServed(t *testing.T) {
	t.Parallel()
	f := New(t, 2, 0, 1)
	f.Origin.SetFaults(emulator.Faults{CorruptShare: 0.3})
	f.PublishVersion("2")
	f.WaitServing("2")
	f.WaitOnlyOffered(f.Entries[0], "2")
	result := f.Do(f.Entries[0], Stream("clean", 16))
	assert.True(t, result.Answered, "%+v", result)
	assert.Equal(t, "2", result.Version)
}

func TestOldVersionServesWhileOriginStalls(t *testing.T) {
	t.Parallel()
	f := New(t, 2, 0, 1)
	f.Origin.SetFaults(emulator.Faults{Stalled: true})
	f.PublishVersion("2")
	for i := range 5 {
		result := f.Do(f.Entries[0], Stream(fmt.Sprint("meanwhile ", i), 8))
		assert.Equal(t, "1", result.Version)
	}
	f.Origin.SetFaults(emulator.Faults{})
	f.WaitServing("2")
}

func TestVersionReplacedDuringTransferIsAbandoned(t *testing.T) {
	t.Parallel()
	f := New(t, 2, 0, 1)
	f.Origin.SetFaults(emulator.Faults{Stalled: true})
	f.PublishVersion("2")
	f.Origin.SetFaults(emulator.Faults{})
	f.PublishVersion("3")
	f.WaitServing("3")
	for _, machine := range f.Engines {
		for _, loaded := range machine.Engine.Status().Loaded {
			assert.NotEqual(t, "2", loaded.Version)
		}
	}
}

func TestSimultaneousFaultsCauseNoViolation(t *testing.T) {
	t.Parallel()
	f := New(t, 3, 2, 2)
	done := make(chan struct{})
	group := startLoad(f, 6, done)
	// A version change, a configuration outage, an engine crash, lost links and a planned stop happen
	// at the same time.
	f.PublishVersion("2")
	f.Configuration.SetFaults(emulator.Faults{Down: true})
	f.Engines[0].Engine.Restart()
	for _, link := range f.Services[0].Node.Hub.Accepted() {
		_ = link.Close()
	}
	f.Engines[2].BeginStop()
	f.WaitStopped(f.Engines[2].Process)
	f.Configuration.SetFaults(emulator.Faults{})
	for _, machine := range f.Engines[:2] {
		f.Wait("the remaining machines serve version 2", func() bool { return machine.Serves("2") })
	}
	close(done)
	group.Wait()
	assert.Empty(t, f.Violations())
	assert.Zero(t, workload.Summarize(f.Recorder.Results()).Wrong)
}
