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

// agentsOfTest answer for servers by their addresses; the others are silent.
type agentsOfTest struct {
	answers   map[string]fleet.MachineStatus
	asked     []string
	announced map[string]int
}

func (a *agentsOfTest) Query(_ context.Context, servers []string) []fleet.MachineStatus {
	a.asked = append(a.asked, servers...)
	var answers []fleet.MachineStatus
	for _, server := range servers {
		if status, answered := a.answers[server]; answered {
			status.Address, status.Reachable, status.Version, status.SwitchMilliseconds = server, true, 1, fleet.NoSwitch
			answers = append(answers, status)
		}
	}
	return answers
}

func (a *agentsOfTest) Announce(server string, promptTokens int) {
	if a.announced == nil {
		a.announced = map[string]int{}
	}
	a.announced[server] += promptTokens
}

// asking is a request at an entry that knows a few servers, all idle by their agents' words.
func asking(agents *agentsOfTest, servers ...string) *work {
	w := askingUnheard(agents, servers...)
	for _, address := range servers {
		w.ApplyStatus(fleet.MachineStatus{Address: address, Reachable: true, Version: 1, SwitchMilliseconds: fleet.NoSwitch}, time.Now().Add(-50*time.Millisecond), false)
	}
	return w
}

// askingUnheard is the same before any agent has told of its server.
func askingUnheard(agents *agentsOfTest, servers ...string) *work {
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
	w := &work{Forwarder: f, request: &Request{}, wanted: dispatch.Request{Service: "s", Prompt: 1000, Target: 400 * time.Millisecond}}
	f.targets.describe(&w.wanted)
	return w
}

var (
	idle = fleet.MachineStatus{}
	full = fleet.MachineStatus{Running: 16, Waiting: 6, UnreadTokens: 6000}
)

// A server that was idle by its agent's last word, and has filled up since, is not chosen.
func TestAnswersOvertakeOlderWords(t *testing.T) {
	agents := &agentsOfTest{answers: map[string]fleet.MachineStatus{"10.0.0.1:1": full, "10.0.0.2:1": idle, "10.0.0.3:1": full}}
	w := asking(agents, "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
	w.askLoads(context.Background())
	chosen, refusal := w.targets.choose(w)
	require.Nil(t, refusal)
	assert.Equal(t, "10.0.0.2:1", chosen.target.Address)
	w.announce(chosen.target)
	assert.Equal(t, map[string]int{"10.0.0.2:1": 1000}, agents.announced)
}

// When none of the first would begin the request in time others are asked, and when those
// would not either the request is refused at once.
func TestOthersAreAskedBeforeARefusal(t *testing.T) {
	agents := &agentsOfTest{answers: map[string]fleet.MachineStatus{}}
	addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1", "10.0.0.6:1"}
	for _, address := range addresses {
		agents.answers[address] = full
	}
	w := asking(agents, addresses...)
	w.askLoads(context.Background())
	assert.ElementsMatch(t, addresses, agents.asked)
	_, refusal := w.targets.choose(w)
	assert.NotNil(t, refusal)
}

// A server whose agent does not answer, as behind a cut, gets nothing while others answer,
// and is asked last for a while.
func TestServerOfASilentAgentIsLeftOut(t *testing.T) {
	agents := &agentsOfTest{answers: map[string]fleet.MachineStatus{"10.0.0.2:1": {Running: 10}}}
	w := asking(agents, "10.0.0.1:1", "10.0.0.2:1")
	for range 3 {
		w.askLoads(context.Background())
		chosen, refusal := w.targets.choose(w)
		require.Nil(t, refusal)
		assert.Equal(t, "10.0.0.2:1", chosen.target.Address)
	}
	next := w.targets.toAsk(&w.wanted, nil)
	assert.Equal(t, "10.0.0.1:1", next[len(next)-1].Address)
}

// Without any answer the choice goes by what agents have told before.
func TestWithoutAnswersTheLastWordsDecide(t *testing.T) {
	w := asking(&agentsOfTest{}, "10.0.0.1:1", "10.0.0.2:1")
	w.askLoads(context.Background())
	_, refusal := w.targets.choose(w)
	assert.Nil(t, refusal)
}

// A word that was said before an answer, and comes after it by way of others, changes nothing.
func TestOlderWordDoesNotReplaceAnAnswer(t *testing.T) {
	agents := &agentsOfTest{answers: map[string]fleet.MachineStatus{"10.0.0.1:1": full}}
	w := asking(agents, "10.0.0.1:1")
	w.askLoads(context.Background())
	w.targets.takeStatus(fleet.MachineStatus{Address: "10.0.0.1:1", Reachable: true, Version: 1}, time.Now().Add(-time.Second), false)
	assert.Equal(t, full.Running, w.Servers()[0].Status.Running)
	assert.Equal(t, full.Running+full.Waiting, w.Servers()[0].Outstanding)
}

// A server of which no agent has told yet is not taken for idle: its agent is asked.
func TestServerThatNobodyTellsOfIsAsked(t *testing.T) {
	agents := &agentsOfTest{answers: map[string]fleet.MachineStatus{"10.0.0.1:1": full, "10.0.0.2:1": {Running: 3}}}
	w := askingUnheard(agents, "10.0.0.1:1", "10.0.0.2:1")
	w.ApplyStatus(fleet.MachineStatus{Address: "10.0.0.2:1", Reachable: true, Version: 1, SwitchMilliseconds: fleet.NoSwitch}, time.Now().Add(-50*time.Millisecond), false)
	for range 5 {
		w.askLoads(context.Background())
		assert.Contains(t, agents.asked, "10.0.0.1:1")
		chosen, refusal := w.targets.choose(w)
		require.Nil(t, refusal)
		assert.Equal(t, "10.0.0.2:1", chosen.target.Address)
	}
}
