package entry

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/peering"
	"pinevane.example/pinevane/internal/protocol"
)

// fastAgent is an agent whose engine answers with all tokens of a generation at once.
type fastAgent struct {
	hub       *peering.Hub
	address   string
	submitted atomic.Int64
	answered  atomic.Int64
}

const (
	fastModel, fastVersion = "model", "1"
	// readTime is how long the entry has to read what the agent has sent.
	readTime = 500 * time.Millisecond
)

func startFastAgent(t *testing.T) *fastAgent {
	t.Helper()
	a := &fastAgent{hub: peering.NewHub(peering.Hello{ID: "agent", Role: string(external.RoleAgent)}, logging.Nop(), peering.NewCounters(prometheus.NewRegistry()))}
	a.hub.OnOpen(func(link *peering.Link) {
		_ = peering.Send(link, protocol.TopicSession, "", protocol.Session{Incarnation: 1, Session: 1})
		_ = peering.Send(link, protocol.TopicStatus, "", protocol.StatusReport{
			Sequence: 1, Served: []protocol.ServedVersion{{Model: fastModel, Version: fastVersion}},
		})
	})
	a.hub.Handle(protocol.TopicSubmit, func(link *peering.Link, received *message.Message) {
		submit, err := peering.Decode[protocol.Submit](received)
		if assert.NoError(t, err) {
			a.submitted.Add(1)
			go a.answer(link, submit)
		}
	})
	a.hub.Handle(protocol.TopicCancel, func(*peering.Link, *message.Message) {})
	server := httptest.NewServer(a.hub)
	t.Cleanup(server.Close)
	t.Cleanup(a.hub.Close)
	a.address = strings.TrimPrefix(server.URL, "http://")
	return a
}

func (a *fastAgent) answer(link *peering.Link, submit protocol.Submit) {
	defer a.answered.Add(1)
	last := submit.Generate.MaximumTokens
	for index := submit.Generate.ResumeFrom; index < last; index++ {
		_ = peering.Send(link, protocol.TopicEvent, "", protocol.Event{ID: submit.ID, Kind: protocol.Token, Index: index, Token: "t", Version: fastVersion})
	}
	_ = peering.Send(link, protocol.TopicEvent, "", protocol.Event{
		ID: submit.ID, Kind: protocol.Finished, Index: last, Finish: external.FinishLength, Version: fastVersion,
	})
}

// slowCaller takes the first token of an answer only when the whole answer has been sent.
type slowCaller struct {
	agent    *fastAgent
	tokens   int
	finished bool
}

func (s *slowCaller) token(string, string) error {
	if s.tokens == 0 {
		for s.agent.answered.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(readTime)
	}
	s.tokens++
	return nil
}

func (s *slowCaller) finish(external.FinishReason, string) error {
	s.finished = true
	return nil
}

func (s *slowCaller) reset() bool { return s.tokens == 0 }

// Guards against a stream that waits for its deadline, and a sound engine that counts as failed, because
// the caller reads more slowly than the engine generates: what does not fit into the buffer is
// requested again.
func TestSlowCallerGetsWholeAnswer(t *testing.T) {
	const tokens = 2 * maxBufferedEvents
	entry, _, _ := newTestEntry(t)
	// What a slow caller costs is no attempt.
	entry.options.MaximumAttempts = 1
	agent := startFastAgent(t)
	target := &replica{member: external.Member{ID: "agent", Role: external.RoleAgent, Zone: "zone", Address: agent.address}}
	entry.replicas.replicas["agent"] = target
	entry.replicas.dial(context.Background(), target)
	t.Cleanup(entry.node.Hub.Close)
	require.Eventually(t, func() bool {
		_, found := entry.router.choose(requirements{model: fastModel})
		return found
	}, 10*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	caller := &slowCaller{agent: agent}
	refusal := entry.generate(ctx, &call{id: "request", repeatable: true}, generationRequest{model: fastModel, prompt: "p", maxTokens: tokens}, caller)
	assert.Nil(t, refusal)
	assert.Equal(t, tokens, caller.tokens)
	assert.True(t, caller.finished)
	assert.Equal(t, int64(2), agent.submitted.Load())
	entry.replicas.mutex.Lock()
	defer entry.replicas.mutex.Unlock()
	assert.Zero(t, target.failures, "the engine has not failed")
	assert.Zero(t, target.inFlight)
}
