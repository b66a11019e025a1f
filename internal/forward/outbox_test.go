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

// blockingNoticeAnnouncer blocks the first announcement until the test lets it proceed; later is
// set once that has begun.
type blockingNoticeAnnouncer struct {
	later     atomic.Bool
	begun     chan struct{}
	proceed   chan struct{}
	mutex     sync.Mutex
	announced []dispatch.ServerNotice
}

// AnnounceNotice implements NoticeAnnouncer.
func (s *blockingNoticeAnnouncer) AnnounceNotice(notice dispatch.ServerNotice, _ time.Time) {
	if !s.later.Swap(true) {
		close(s.begun)
		<-s.proceed
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.announced = append(s.announced, notice)
}

// Guards against a lifted limit being announced after its end: other entries number the notices
// they receive, and pass the last one on to entries that start.
func TestNoticesAreAnnouncedInOrder(t *testing.T) {
	f := testForwarder()
	announcer := &blockingNoticeAnnouncer{begun: make(chan struct{}), proceed: make(chan struct{})}
	f.targets.notices = announcer
	f.targets.core.Update(dispatch.Fleet{Servers: []dispatch.Server{{ID: "i-1", Service: "s", Address: "10.0.0.1:1", Zone: "a"}}}, time.Now())
	listed := &target{Candidate: f.targets.core.Candidates("s")[0]}
	var first sync.WaitGroup
	first.Go(func() {
		f.targets.applyNotice(listed, fleet.AnswerHeader{Limit: fleet.RateLimit{Kind: fleet.RateLimitStated, PerSecond: 2}}, time.Now())
	})
	<-announcer.begun
	f.targets.applyNotice(listed, fleet.AnswerHeader{Signed: true}, time.Now().Add(time.Second))
	close(announcer.proceed)
	first.Wait()
	assert.Equal(t, []dispatch.ServerNotice{{Server: "i-1", Limited: true, PerSecond: 2}, {Server: "i-1"}}, announcer.announced)
}
