package sitetest

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/admission"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/emulator/site"
	"pinevane.example/pinevane/internal/forward"
)

// noticePropagation is the time until all entries know a server notice that one of them received:
// three hops without delay.
const noticePropagation = time.Second

// serverView returns an entry's view of a server.
func (f *Fleet) serverView(zone, index int, server string) forward.ServerView {
	views, isList := f.Process(ProcessName(catalog.RoleEntry, zone, index)).Dump()["servers"].([]forward.ServerView)
	require.True(f.t, isList)
	for _, view := range views {
		if view.ID == server {
			return view
		}
	}
	return forward.ServerView{}
}

// allEntries reports whether every entry's view of a server meets a condition.
func (f *Fleet) allEntries(server string, condition func(forward.ServerView) bool) bool {
	for zone := range f.Site.Options.Zones {
		for index := range f.Site.Options.Entries {
			if !condition(f.serverView(zone, index, server)) {
				return false
			}
		}
	}
	return true
}

// answerWait is how long an entry may take to get an answer of a certain server: one that has sent its share of a
// limit before sends nothing for the rest of the window.
const answerWait = 2 * admission.LimitWindow

// sendPlainUntilAnswered sends requests for a plain service through one entry until the given server
// has answered.
func (f *Fleet) sendPlainUntilAnswered(zone, index int, server, id string) {
	f.t.Helper()
	number := 0
	f.Eventually("the server has answered", answerWait, func() bool {
		number++
		startedAt := time.Now()
		_, err := f.Call(context.Background(), zone, index, http.MethodGet, site.SafePrefix+"a", fmt.Sprintf("%s-%d", id, number), nil, "")
		return err == nil && len(f.arrivalTimes(server, startedAt)) > 0
	})
}

// DRAIN, LIMIT: a server notice that one entry receives in an answer reaches all entries, and an entry
// that starts later knows it before it receives an answer itself.
func TestServerNoticesReachAllEntries(t *testing.T) {
	options := limitOptions()
	options.PlainServers = 2
	f := Start(t, options)
	leaving, limited := f.Site.Plain[options.PlainIP(0, 0)], f.Site.Plain[options.PlainIP(0, 1)]
	leaving.AnnounceLeaving(true)
	f.sendPlainUntilAnswered(0, 0, leaving.ID(), "leaving")
	f.Eventually("all entries know that the server is leaving", noticePropagation, func() bool {
		return f.allEntries(leaving.ID(), func(view forward.ServerView) bool { return view.AnnouncedLeaving })
	})
	limited.AnnounceLimit("3")
	f.sendPlainUntilAnswered(0, 1, limited.ID(), "limited")
	hasLimit := func(view forward.ServerView) bool { return view.Limit != nil && view.Limit.PerSecond == 3 }
	f.Eventually("all entries know the limit", noticePropagation, func() bool { return f.allEntries(limited.ID(), hasLimit) })

	f.Kill(ProcessName(catalog.RoleEntry, 2, 1))
	f.StartEntry(2, 1)
	f.WaitReady()
	f.Eventually("the new entry knows both notices", noticePropagation, func() bool {
		return f.serverView(2, 1, leaving.ID()).AnnouncedLeaving && hasLimit(f.serverView(2, 1, limited.ID()))
	})

	limited.AnnounceLimit("")
	f.sendPlainUntilAnswered(0, 0, limited.ID(), "over")
	f.Eventually("all entries know that the limit has ended", noticePropagation, func() bool {
		return f.allEntries(limited.ID(), func(view forward.ServerView) bool { return view.Limit == nil })
	})
	assert.Len(t, f.arrivalTimes(leaving.ID(), time.Time{}), 1, "requests to the leaving server")
}
