package forward

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/fleet"
)

// slowAsks takes its time with the first thing that it is told; later is set once it was told that.
type slowAsks struct {
	later   atomic.Bool
	begun   chan struct{}
	proceed chan struct{}
	mutex   sync.Mutex
	told    []dispatch.ServerNotice
}

// AnnounceNotice implements AskSource.
func (s *slowAsks) AnnounceNotice(ask dispatch.ServerNotice, _ time.Time) {
	if !s.later.Swap(true) {
		close(s.begun)
		<-s.proceed
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.told = append(s.told, ask)
}

// Guards against a limit that has ended and is told after its end: the others number what they are told, and pass the last
// on to entries that start.
func TestOthersAreToldInTheOrderInWhichAServerHasAsked(t *testing.T) {
	f := testForwarder()
	source := &slowAsks{begun: make(chan struct{}), proceed: make(chan struct{})}
	f.targets.asks = source
	f.targets.core.Update(dispatch.Fleet{Servers: []dispatch.Server{{ID: "i-1", Service: "s", Address: "10.0.0.1:1", Zone: "a"}}}, time.Now())
	listed := &target{Candidate: f.targets.core.Candidates("s")[0]}
	var first sync.WaitGroup
	first.Go(func() {
		f.targets.sawAsked(listed, fleet.AnswerHeader{Limit: fleet.RateLimit{Kind: fleet.RateLimitStated, PerSecond: 2}}, time.Now())
	})
	<-source.begun
	f.targets.sawAsked(listed, fleet.AnswerHeader{Signed: true}, time.Now().Add(time.Second))
	close(source.proceed)
	first.Wait()
	assert.Equal(t, []dispatch.ServerNotice{{Server: "i-1", Limited: true, PerSecond: 2}, {Server: "i-1"}}, source.told)
}
