package sitetest

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/emulator/site"
)

// Incident: a server announced in its answers that it was about to stop. Entries that had forwarded
// such answers sent it requests 2 s and more later, and the list of servers marked it as leaving only
// 12 s later, because the store did not respond.

const (
	// leavingKnownAfter is how long after the first such answer every entry has received one.
	leavingKnownAfter = 700 * time.Millisecond
)

// DRAIN: guards against new requests to a server that has announced in its answers that it is
// leaving, while the store is down and the server's record says that it is ready. Its open requests
// run to their end.
func TestServerAnnouncingLeaveReceivesNoRequests(t *testing.T) {
	f := Start(t, crashingOptions())
	stop := f.startHarmlessTraffic(5 * time.Millisecond)
	stopPlain := f.startPlainTraffic(10 * time.Millisecond)
	time.Sleep(time.Second)
	f.Site.Store.SetDown(true)
	leaving := f.Site.Models[f.Site.Options.ModelIP(0, 0)]
	plain := f.Site.Plain[f.Site.Options.PlainIP(1, 0)]
	for _, server := range []*site.Server{leaving, plain} {
		server.AnnounceLeaving(true)
	}
	announcedAt := time.Now()
	time.Sleep(4 * time.Second)
	outcomes, plains := stop(), stopPlain()
	f.Site.Store.SetDown(false)
	for _, server := range []*site.Server{leaving, plain} {
		assert.Empty(t, f.arrivalTimes(server.ID(), announcedAt.Add(leavingKnownAfter)), "requests to %s", server.ID())
	}
	assert.GreaterOrEqual(t, servedRatio(outcomes, announcedAt, announcedAt.Add(4*time.Second), time.Second), minServedRatio)
	assert.GreaterOrEqual(t, servedRatio(plains, announcedAt, announcedAt.Add(4*time.Second), time.Second), minServedRatio)
	for _, result := range outcomes {
		assert.True(t, result.answer.Status != http.StatusOK || result.answer.Complete, "a stream was cut")
	}
}

// DRAIN: the same when the server's record still says for seconds that it is ready, and is written
// again.
func TestServerRecordDoesNotRevokeLeaveNotice(t *testing.T) {
	f := Start(t, DefaultOptions())
	stop := f.startHarmlessTraffic(5 * time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	leaving := f.Site.Models[f.Site.Options.ModelIP(0, 0)]
	leaving.AnnounceLeaving(true)
	announcedAt := time.Now()
	time.Sleep(leavingKnownAfter)
	leaving.AnnounceLeaving(false)
	time.Sleep(time.Second)
	leaving.StopHeartbeats()
	time.Sleep(time.Second)
	leaving.ResumeHeartbeats()
	time.Sleep(2 * time.Second)
	stop()
	assert.Empty(t, f.arrivalTimes(leaving.ID(), announcedAt.Add(leavingKnownAfter)))
}
