package sitetest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/emulator/site"
)

// countEvents counts the log lines with an event number that contain the given text.
func countEvents(f *Fleet, number, text string) int {
	count := 0
	for line := range strings.SplitSeq(f.Log.String(), "\n") {
		if strings.Contains(line, `"event":"`+number+`"`) && strings.Contains(line, text) {
			count++
		}
	}
	return count
}

// configurationApplied reports whether every entry has a configuration version or a later one.
func (f *Fleet) configurationApplied(version uint64) bool {
	for zone := range f.Site.Options.Zones {
		for index := range f.Site.Options.Entries {
			view := f.Process(ProcessName(catalog.RoleEntry, zone, index)).Catalog.View()
			if view.Configuration == nil || view.Configuration.Version < version {
				return false
			}
		}
	}
	return true
}

func revoke(configuration map[string]any) {
	configuration["tenants"] = []any{map[string]any{"name": site.Tenant, "apiKeys": []string{"another-key"}}}
}

// CONFIG: a change is applied everywhere in time, even if the store's watches deliver nothing and
// its history is then compacted.
func TestConfigurationAppliedAfterStoreCompaction(t *testing.T) {
	f := Start(t, DefaultOptions())
	f.Site.Store.BlockWatches()
	time.Sleep(200 * time.Millisecond)
	acknowledgedAt := time.Now()
	version := f.Site.Configure(revoke)
	time.AfterFunc(800*time.Millisecond, f.Site.Store.Compact)
	f.Eventually("the change is applied", 2*time.Second, func() bool { return f.configurationApplied(version) })
	t.Logf("applied after %s", time.Since(acknowledgedAt))
	answer, err := f.Call(context.Background(), 0, 1, http.MethodGet, site.SafePrefix, "revoked", nil, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusUnauthorized, answer.Status)
}

// CONFIG: entries that the store refuses receive changes from other entries.
func TestConfigurationReachesEntriesRefusedByStore(t *testing.T) {
	f := Start(t, DefaultOptions())
	options := f.Site.Options
	f.Site.Store.Refuse(options.EntryIP(0, 0), options.EntryIP(0, 1), options.EntryIP(1, 1))
	time.Sleep(200 * time.Millisecond)
	version := f.Site.Configure(revoke)
	f.Eventually("the change is applied", 2*time.Second, func() bool { return f.configurationApplied(version) })
}

// CONFIG: an entry that starts while the store is down gets its state from peers, and answers 503
// until then.
func TestEntryStartsWhileStoreIsDown(t *testing.T) {
	f := Start(t, DefaultOptions())
	f.Kill(ProcessName(catalog.RoleEntry, 1, 1))
	version := f.Site.Configure(nil)
	f.Eventually("the change is applied at another entry", 2*time.Second, func() bool {
		return f.Process(ProcessName(catalog.RoleEntry, 0, 0)).Catalog.View().Configuration.Version >= version
	})
	f.Site.Store.SetDown(true)
	f.StartEntry(1, 1)
	f.Eventually("the entry is ready", 3*time.Second, func() bool { return f.ready(1, 1) })
	answer, err := f.Call(context.Background(), 1, 1, http.MethodGet, site.SafePrefix, "learnt", nil, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.Status)
}

// Only one entry of the fleet reads the store, for as long as it can.
func TestFewProcessesReadTheStore(t *testing.T) {
	f := Start(t, DefaultOptions())
	time.Sleep(time.Second)
	before := f.Site.Store.Calls()
	time.Sleep(2 * time.Second)
	perSecond := float64(f.Site.Store.Calls()-before) / 2
	t.Logf("%.1f calls a second", perSecond)
	assert.LessOrEqual(t, perSecond, 6.0, "one watch at a time, at most five a second")
}

// CONFIG: when the store refuses every entry of a zone, including the one that reads for all
// others, entries of another zone soon read instead.
func TestAnotherZoneReadsForRefusedZone(t *testing.T) {
	for zone := range DefaultOptions().Zones {
		f := Start(t, DefaultOptions())
		options := f.Site.Options
		time.Sleep(500 * time.Millisecond)
		f.Site.Store.Refuse(options.EntryIP(zone, 0), options.EntryIP(zone, 1))
		version := f.Site.Configure(revoke)
		f.Eventually("the change is applied", time.Duration(options.ConfigApplyMs)*time.Millisecond, func() bool { return f.configurationApplied(version) })
	}
}

// DRAIN: shortly after a server announces that it is leaving, it receives no new requests.
func TestLeavingServerReceivesNoNewRequests(t *testing.T) {
	f := Start(t, DefaultOptions())
	leaving := f.Site.Models[f.Site.Options.ModelIP(0, 0)]
	stop := startStreams(f, t)
	time.Sleep(300 * time.Millisecond)
	leaving.Leave()
	announcedAt := time.Now()
	time.Sleep(1500 * time.Millisecond)
	_, failed := stop()
	assert.Zero(t, failed)
	for _, run := range f.Site.Requests.Runs() {
		if run.At.After(announcedAt.Add(time.Second)) {
			assert.NotEqual(t, leaving.ID(), run.Server)
		}
	}
}

// LOST, DRAIN: an entry that is stopped as planned reports not ready at once, cuts no stream, and
// answers requests that still arrive.
func TestPlannedStopDropsNoRequest(t *testing.T) {
	options := DefaultOptions()
	options.EventTime = 100 * time.Millisecond
	f := Start(t, options)
	var streams sync.WaitGroup
	for number := range 6 {
		streams.Go(func() {
			answer, err := f.Stream(context.Background(), 0, 0, fmt.Sprintf("long-%d", number), 25)
			assert.NoError(t, err)
			assert.True(t, answer.Complete)
			assert.Len(t, answer.Events, 25)
		})
	}
	time.Sleep(300 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		f.Stop(ProcessName(catalog.RoleEntry, 0, 0))
		close(stopped)
	}()
	f.Eventually("the entry is not ready", time.Second, func() bool { return !f.ready(0, 0) })
	answer, err := f.Call(context.Background(), 0, 0, http.MethodGet, site.SafePrefix, "late", nil, "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.Status)
	assert.True(t, answer.ClosesConnection, "a stopping entry tells its callers to reconnect")
	streams.Wait()
	select {
	case <-stopped:
	case <-time.After(time.Duration(options.GraceS * float64(time.Second))):
		t.Fatal("the entry did not stop within its grace period")
	}
}

// LOST: a stopping entry closes idle caller connections while it still listens, so that the
// caller's next request is not refused by a process that is about to exit.
func TestPlannedStopClosesIdleConnections(t *testing.T) {
	f := Start(t, DefaultOptions())
	connection, err := net.Dial("tcp", strings.TrimPrefix(f.Site.EntryURL(0, 0), "http://"))
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	_, err = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: resting\r\nAuthorization: Token %s\r\n\r\n", site.SafePrefix, site.Host, site.Key)
	require.NoError(t, err)
	reader := bufio.NewReader(connection)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	go f.Stop(ProcessName(catalog.RoleEntry, 0, 0))
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(2800*time.Millisecond)))
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// expireServersInOutage makes the store lose the record of every model server during an outage,
// and waits until it is back and an entry has detected that.
func expireServersInOutage(f *Fleet) {
	f.Site.Store.SetDown(true)
	time.Sleep(2500 * time.Millisecond)
	for _, server := range f.Site.Models {
		server.StopHeartbeats()
	}
	f.Site.Store.SetDown(false)
	f.Eventually("an entry has detected the expiry", 2*time.Second, func() bool { return countEvents(f, "PV4207", "") > 0 })
}

// Servers whose records are lost in an outage of the store are used after it; one that has not
// written its record again within two seconds is treated as removed.
func TestServersExpiredInOutageKeepServing(t *testing.T) {
	options := DefaultOptions()
	options.DrainMs = 3000
	f := Start(t, options)
	expireServersInOutage(f)
	for number := range 12 {
		answer, err := f.Stream(context.Background(), number%2, number/2%2, fmt.Sprintf("lapsed-%d", number), 2)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, answer.Status)
	}
	f.Eventually("the servers are removed", 4*time.Second, func() bool {
		return len(f.Process(ProcessName(catalog.RoleEntry, 0, 0)).Catalog.View().Servers[site.ModelService]) == 0
	})
}

// A server that expired in an outage and wrote the same record again is used by every entry,
// including those that learn of it from other entries.
func TestServersReregisteredAfterOutageAreUsedEverywhere(t *testing.T) {
	options := DefaultOptions()
	options.DrainMs = 3000
	f := Start(t, options)
	expireServersInOutage(f)
	time.Sleep(time.Second)
	for _, server := range f.Site.Models {
		server.ResumeHeartbeats()
	}
	time.Sleep(2500 * time.Millisecond)
	for zone := range options.Zones {
		for index := range options.Entries {
			known := f.Process(ProcessName(catalog.RoleEntry, zone, index)).Catalog.View().Servers[site.ModelService]
			assert.Len(t, known, options.Zones*options.ModelServers, "entry %d of zone %d", index, zone)
		}
	}
}
