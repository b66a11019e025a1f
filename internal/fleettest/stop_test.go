package fleettest

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/entry"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/workload"
)

// Guards against requests that end without an answer or a refusal when the platform kills an entry that
// still waits for them: what is open at the end of the grace period is refused before.
func TestEndOfGracePeriodRefusesWhatIsOpen(t *testing.T) {
	t.Parallel()
	const (
		grace  = 3 * time.Second
		tokens = 400
	)
	f := New(t, 1, 1, 0)
	options := f.NodeOptions("entry-grace", external.RoleEntry)
	options.Grace = grace
	process := entry.New(entry.Options{Node: options}, logging.Nop())
	started := f.start(process.Node(), process.Run, "")
	f.Entries = append(f.Entries, started)
	f.waitConnected()
	unary := workload.Request{Kind: workload.KindUnary, Model: Model, Prompt: "unary", MaximumTokens: tokens}
	f.Services[0].Service.Pause(WaitTimeout)
	probes := len(f.Engines[0].Engine.Records())
	var group sync.WaitGroup
	for _, request := range []workload.Request{Stream("stream", tokens), unary, Call("call")} {
		group.Go(func() { f.Do(started, request) })
	}
	f.Wait("the requests run", func() bool {
		return len(f.Engines[0].Engine.Records()) == 2+probes && f.Services[0].Node.Dump().OpenWork == 1
	})
	f.Engines[0].Engine.Pause(WaitTimeout)
	began := time.Now()
	started.BeginStop()
	group.Wait()
	f.WaitStopped(started)
	assert.LessOrEqual(t, time.Since(began), grace)
	for _, result := range f.Recorder.Results() {
		assert.Equal(t, fault.ReasonLeaving, result.Reason, "%+v", result)
		assert.Equal(t, fault.ExecutionUnknown, result.Execution)
	}
	assert.Empty(t, f.Violations())
}
