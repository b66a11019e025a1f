package sitetest

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/emulator/site"
)

// The incident: a server said in its answers that it was about to end. Entries that had passed such answers on
// sent it requests 2 s and more later, and the list of servers named it as leaving 12 s late, since the store did
// not answer.

const (
	// leavingKnownAfter is how long after the first answer that said so every entry has had one.
	leavingKnownAfter = 700 * time.Millisecond
)

// DRAIN: guards against requests to a server that has said in its answers that it leaves, while the store is
// away and its line says that it is ready. What it runs ends in peace.
func TestServerAnnouncingLeaveReceivesNoRequests(t *testing.T) {
	f := Start(t, crashingOptions())
	stop := f.startHarmlessTraffic(5 * time.Millisecond)
	stopPlain := f.startPlainTraffic(10 * time.Millisecond)
	time.Sleep(time.Second)
	f.Site.Store.SetDown(true)
	leaving := f.Site.Models[f.Site.Options.ModelIP(0, 0)]
	plain := f.Site.Plain[f.Site.Options.PlainIP(1, 0)]
	for _, server := range []*site.Server{leaving, plain} {
		server.SayLeaving(true)
	}
	said := time.Now()
	time.Sleep(4 * time.Second)
	outcomes, plains := stop(), stopPlain()
	f.Site.Store.SetDown(false)
	for _, server := range []*site.Server{leaving, plain} {
		assert.Empty(t, f.arrivalsAt(server.ID(), said.Add(leavingKnownAfter)), "requests to %s", server.ID())
	}
	assert.GreaterOrEqual(t, servedRatio(outcomes, said, said.Add(4*time.Second), time.Second), minServedRatio)
	assert.GreaterOrEqual(t, servedRatio(plains, said, said.Add(4*time.Second), time.Second), minServedRatio)
	for _, one := range outcomes {
		assert.True(t, one.answer.Status != http.StatusOK || one.answer.Complete, "a stream that was cut")
	}
}

// DRAIN: the same where the server's line says for seconds after it that it is ready, and comes again.
func TestServerRecordDoesNotRevokeLeaveNotice(t *testing.T) {
	f := Start(t, DefaultOptions())
	stop := f.startHarmlessTraffic(5 * time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	leaving := f.Site.Models[f.Site.Options.ModelIP(0, 0)]
	leaving.SayLeaving(true)
	said := time.Now()
	time.Sleep(leavingKnownAfter)
	leaving.SayLeaving(false)
	time.Sleep(time.Second)
	leaving.Lapse()
	time.Sleep(time.Second)
	leaving.Return()
	time.Sleep(2 * time.Second)
	stop()
	assert.Empty(t, f.arrivalsAt(leaving.ID(), said.Add(leavingKnownAfter)))
}
