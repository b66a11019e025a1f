package forward

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/coordination/dispatch"
	"pinevane.example/pinevane/internal/catalog"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// fakeAgents answers for servers by their addresses; the agents of other servers are silent.
type fakeAgents struct {
	answers   map[string]fleet.MachineStatus
	queried   []string
	announced map[string]int
}

func (a *fakeAgents) Query(_ context.Context, servers []string) []fleet.MachineStatus {
	a.queried = append(a.queried, servers...)
	var answers []fleet.MachineStatus
	for _, server := range servers {
		if status, answered := a.answers[server]; answered {
			status.Address, status.Reachable, status.Version, status.SwitchMilliseconds = server, true, 1, fleet.NoSwitch
			answers = append(answers, status)
		}
	}
	return answers
}

func (a *fakeAgents) Announce(server string, promptTokens int) {
	if a.announced == nil {
		a.announced = map[string]int{}
	}
	a.announced[server] += promptTokens
}

// newForwarding returns a request at an entry that knows a few servers, all idle according to their
// status reports.
func newForwarding(agents *fakeAgents, servers ...string) *forwarding {
	w := newForwardingWithoutStatus(agents, servers...)
	for _, address := range servers {
		w.ApplyStatus(fleet.MachineStatus{Address: address, Reachable: true, Version: 1, SwitchMilliseconds: fleet.NoSwitch}, time.Now().Add(-50*time.Millisecond), false)
	}
	return w
}

// newForwardingWithoutStatus is newForwarding before any status report has arrived.
func newForwardingWithoutStatus(agents *fakeAgents, servers ...string) *forwarding {
	f := New(Options{
		Zone: "z", Log: logging.Nop(), Registry: prometheus.NewRegistry(), Loads: agents, Peers: func() int { return 0 }, Policy: DefaultPolicy(),
	})
	view := &catalog.View{
		Configuration: &fleet.Configuration{Services: map[string]fleet.Service{"s": {Engine: &fleet.Engine{
			Slots: 16, StepMilliseconds: 7, Stride: 6, ReadPerSecond: 30000, UsualPrompt: 1000, UsualAnswer: 100,
		}}}},
		Servers: map[string][]fleet.Server{},
	}
	for _, address := range servers {
		view.Servers["s"] = append(view.Servers["s"], fleet.Server{
			ID: address, Service: "s", Address: address, Zone: "z", Slots: 16, Models: []fleet.HeldModel{{Name: "m", Version: 1}},
		})
	}
	f.Update(view)
	w := &forwarding{Forwarder: f, request: &Request{}, criteria: dispatch.Request{Service: "s", Prompt: 1000, Target: 400 * time.Millisecond}}
	f.targets.fillEngine(&w.criteria)
	return w
}

var (
	idle = fleet.MachineStatus{}
	full = fleet.MachineStatus{Running: 16, Waiting: 6, UnreadTokens: 6000}
)

// A server that was idle in its last status report, and has filled up since, is not chosen.
func TestAnswersOverrideOlderStatusReports(t *testing.T) {
	agents := &fakeAgents{answers: map[string]fleet.MachineStatus{"10.0.0.1:1": full, "10.0.0.2:1": idle, "10.0.0.3:1": full}}
	w := newForwarding(agents, "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
	w.queryLoads(context.Background())
	chosen, refusal := w.targets.choose(w)
	require.Nil(t, refusal)
	assert.Equal(t, "10.0.0.2:1", chosen.target.Address)
	w.announce(chosen.target)
	assert.Equal(t, map[string]int{"10.0.0.2:1": 1000}, agents.announced)
}

// If none of the first servers would begin the request in time, others are queried; if those would
// not either, the request is refused at once.
func TestOtherServersAreQueriedBeforeARefusal(t *testing.T) {
	agents := &fakeAgents{answers: map[string]fleet.MachineStatus{}}
	addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1", "10.0.0.6:1"}
	for _, address := range addresses {
		agents.answers[address] = full
	}
	w := newForwarding(agents, addresses...)
	w.queryLoads(context.Background())
	assert.ElementsMatch(t, addresses, agents.queried)
	_, refusal := w.targets.choose(w)
	assert.NotNil(t, refusal)
}

// A server whose agent does not answer, as in a partition, gets nothing while others answer, and is
// queried last for a while.
func TestServerOfASilentAgentIsAvoided(t *testing.T) {
	agents := &fakeAgents{answers: map[string]fleet.MachineStatus{"10.0.0.2:1": {Running: 10}}}
	w := newForwarding(agents, "10.0.0.1:1", "10.0.0.2:1")
	for range 3 {
		w.queryLoads(context.Background())
		chosen, refusal := w.targets.choose(w)
		require.Nil(t, refusal)
		assert.Equal(t, "10.0.0.2:1", chosen.target.Address)
	}
	next := w.targets.serversToQuery(&w.criteria, nil)
	assert.Equal(t, "10.0.0.1:1", next[len(next)-1].Address)
}

// Without any answer the choice is based on the last status reports.
func TestWithoutAnswersTheLastStatusReportsDecide(t *testing.T) {
	w := newForwarding(&fakeAgents{}, "10.0.0.1:1", "10.0.0.2:1")
	w.queryLoads(context.Background())
	_, refusal := w.targets.choose(w)
	assert.Nil(t, refusal)
}

// A status report that was made before an answer, and arrives after it through others, changes
// nothing.
func TestOlderStatusReportDoesNotReplaceAnAnswer(t *testing.T) {
	agents := &fakeAgents{answers: map[string]fleet.MachineStatus{"10.0.0.1:1": full}}
	w := newForwarding(agents, "10.0.0.1:1")
	w.queryLoads(context.Background())
	w.targets.applyStatus(fleet.MachineStatus{Address: "10.0.0.1:1", Reachable: true, Version: 1}, time.Now().Add(-time.Second), false)
	assert.Equal(t, full.Running, w.Servers()[0].Status.Running)
	assert.Equal(t, full.Running+full.Waiting, w.Servers()[0].Outstanding)
}

// A server without a status report is not assumed to be idle: its agent is queried.
func TestServerWithoutAStatusReportIsQueried(t *testing.T) {
	agents := &fakeAgents{answers: map[string]fleet.MachineStatus{"10.0.0.1:1": full, "10.0.0.2:1": {Running: 3}}}
	w := newForwardingWithoutStatus(agents, "10.0.0.1:1", "10.0.0.2:1")
	w.ApplyStatus(fleet.MachineStatus{Address: "10.0.0.2:1", Reachable: true, Version: 1, SwitchMilliseconds: fleet.NoSwitch}, time.Now().Add(-50*time.Millisecond), false)
	for range 5 {
		w.queryLoads(context.Background())
		assert.Contains(t, agents.queried, "10.0.0.1:1")
		chosen, refusal := w.targets.choose(w)
		require.Nil(t, refusal)
		assert.Equal(t, "10.0.0.2:1", chosen.target.Address)
	}
}
