package forward

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// coldFleet is what an entry knows of one service with a server in each of two zones.
func coldFleet(evacuations map[string]time.Time, coldUntil time.Time) *catalog.View {
	return &catalog.View{
		Configuration: &fleet.Configuration{Services: map[string]fleet.Service{"s": {ColdRate: 26, ColdTime: 3 * time.Second}}},
		Servers: map[string][]fleet.Server{"s": {
			{ID: "a", Service: "s", Address: "10.0.0.1:1", Zone: "za", Slots: 4, ColdUntil: coldUntil},
			{ID: "b", Service: "s", Address: "10.0.0.2:1", Zone: "zb", Slots: 4},
		}},
		Evacuations: evacuations,
	}
}

// coldTargets is the set of an entry among a number of entries.
func coldTargets(self string, members int) *targets {
	set := newTargets("za", nil, logging.Nop())
	set.bounds = fleet.Bounds{ColdOvershoot: 1.5, ColdSlack: 5}
	var names []string
	for index := range members {
		if name := fmt.Sprintf("entry-%d", index); name != self {
			names = append(names, name)
		}
	}
	set.cold = newColdMembers(self, func() []string { return names })
	set.cold.started = time.Now().Add(-2 * settleTime)
	return set
}

func chosenServers(set *targets, count int) map[string]int {
	servers := map[string]int{}
	wanted := need{service: "s", route: &fleet.Route{Target: time.Second}, work: &work{request: &Request{}}}
	for range count {
		if chosen, refusal := set.choose(wanted); refusal == nil {
			servers[chosen.target.id]++
			set.release(chosen.target)
		}
	}
	return servers
}

// EVAC: nothing is sent into an evacuated zone, and the zone's servers count as cold when
// that is taken back.
func TestEvacuatedZoneIsNotChosen(t *testing.T) {
	set := coldTargets("entry-0", 40)
	set.update(coldFleet(nil, time.Time{}))
	assert.Positive(t, chosenServers(set, 50)["a"])
	set.update(coldFleet(map[string]time.Time{"za": time.Now()}, time.Time{}))
	assert.Equal(t, map[string]int{"b": 50}, chosenServers(set, 50))
	assert.True(t, set.evacuatedNow(set.byID["a"]))
	set.update(coldFleet(nil, time.Time{}))
	assert.True(t, set.byID["a"].cold(time.Now()))
	assert.False(t, set.byID["a"].cold(time.Now().Add(3*time.Second)))
	assert.False(t, set.byID["b"].cold(time.Now()))
}

// FAILBACK: over all entries, a cold server is sent no more in a second than it bears, also
// when there are more entries than it bears requests, and nearly that if all have some.
func TestEntriesShareAColdServer(t *testing.T) {
	for _, entries := range []int{1, 3, 44, 300} {
		total := 0
		for index := range entries {
			set := coldTargets(fmt.Sprintf("entry-%d", index), entries)
			set.update(coldFleet(map[string]time.Time{"zb": time.Now()}, time.Now().Add(time.Minute)))
			total += chosenServers(set, 60)["a"]
		}
		assert.LessOrEqual(t, total, 44, "%d entries", entries)
		assert.Equal(t, 39, total, "%d entries use nine tenths of the bound", entries)
	}
}

// FAILBACK: what a server was sent just before it became cold counts.
func TestRequestsBeforeAServerBecameColdCount(t *testing.T) {
	set := coldTargets("entry-0", 1)
	evacuated := map[string]time.Time{"zb": time.Now()}
	set.update(coldFleet(evacuated, time.Time{}))
	assert.Equal(t, 60, chosenServers(set, 60)["a"])
	set.update(coldFleet(evacuated, time.Now().Add(time.Minute)))
	assert.Empty(t, chosenServers(set, 10))
}

// An entry that does not know the others yet takes a cautious share; one that is heard of no
// more keeps its share for a while.
func TestSharesOfUnknownAndSilentEntries(t *testing.T) {
	set := coldTargets("entry-0", 1)
	set.cold.started = time.Now()
	set.update(coldFleet(map[string]time.Time{"zb": time.Now()}, time.Now().Add(time.Minute)))
	assert.LessOrEqual(t, chosenServers(set, 60)["a"], 39/cautiousMembers+1)

	members := []string{"entry-1", "entry-2"}
	cold := newColdMembers("entry-0", func() []string { return members })
	now := time.Now()
	cold.started = now.Add(-time.Minute)
	assert.Equal(t, 13, cold.share("a", 39, now))
	members = nil
	assert.Equal(t, 13, cold.share("a", 39, now.Add(memberMemory/2)))
	assert.Equal(t, 39, cold.share("a", 39, now.Add(2*memberMemory)))
}

// Without a bound, cold servers are servers like others.
func TestColdServersWithoutABound(t *testing.T) {
	set := coldTargets("entry-0", 10)
	set.bounds = fleet.Bounds{}
	set.update(coldFleet(map[string]time.Time{"zb": time.Now()}, time.Now().Add(time.Minute)))
	assert.Equal(t, 60, chosenServers(set, 60)["a"])
}

// FAILBACK: an entry that has not heard of a server's line hears from the server's agent that
// it is cold, and what all entries have sent it.
func TestAgentTellsThatAServerIsCold(t *testing.T) {
	for _, tc := range []struct {
		name     string
		received int
		most     int
	}{
		{name: "nothing received", received: 0, most: 10},
		{name: "some received", received: 33, most: 6},
		{name: "all received", received: 39, most: 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			set := coldTargets("entry-0", 4)
			set.update(coldFleet(map[string]time.Time{"zb": time.Now()}, time.Time{}))
			word := fleet.MachineStatus{Address: "10.0.0.1:1", Reachable: true, ColdMilliseconds: 1000, Received: tc.received}
			set.takeStatus(word, time.Now(), false)
			assert.True(t, set.byID["a"].cold(time.Now()))
			sent := chosenServers(set, 60)["a"]
			assert.LessOrEqual(t, sent, tc.most)
			assert.GreaterOrEqual(t, sent, tc.most-1)
			assert.False(t, set.byID["a"].cold(time.Now().Add(time.Second)), "for as long as the agent says")
		})
	}
}

// A server's own answer says that it is cold, before its line is heard; a faulty one makes it
// cold for no longer than a start does.
func TestAnswersTellThatAServerIsCold(t *testing.T) {
	f := testForwarder()
	server := scripted(t, func(connection net.Conn, request *http.Request, _ int) {
		left := request.Header.Get("Request-Id")
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nCold-Ms: %s\r\nContent-Length: 0\r\n\r\n", left, left)
	})
	f.targets.view, server.server = coldFleet(nil, time.Time{}), fleet.Server{Service: "s"}
	for _, tc := range []struct {
		said string
		cold time.Duration
	}{{"0", 0}, {"soon", 0}, {"800.5", 800 * time.Millisecond}, {"50000000", 3 * time.Second}, {"1e300", 0}} {
		server.answeredColdUntil = time.Time{}
		_, failed := exchangeOnce(t, f, server, testRequest(tc.said, ""))
		require.Nil(t, failed)
		now := time.Now()
		assert.Equal(t, tc.cold > 0, server.cold(now), tc.said)
		assert.False(t, server.cold(now.Add(tc.cold+time.Millisecond)), tc.said)
	}
}
