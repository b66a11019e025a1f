package agent

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"pinevane.example/pinevane/coordination/attempt"
	"pinevane.example/pinevane/internal/external"
	"pinevane.example/pinevane/internal/logging"
	"pinevane.example/pinevane/internal/node"
	"pinevane.example/pinevane/internal/peering"
	"pinevane.example/pinevane/internal/protocol"
)

// panickingService panics in each call.
type panickingService struct{}

func (panickingService) Call(context.Context, external.ServiceCall) (external.ServiceAnswer, error) {
	panic("broken client")
}

// receive returns a channel of a topic's messages, up to a few.
func receive[T any](hub *peering.Hub, topic string) <-chan T {
	received := make(chan T, 8)
	hub.Handle(topic, func(_ *peering.Link, raw *message.Message) {
		if value, err := peering.Decode[T](raw); err == nil {
			received <- value
		}
	})
	return received
}

func next[T any](t *testing.T, messages <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-messages:
	case <-time.After(10 * time.Second):
		t.Fatal("no message arrives")
	}
	return value
}

// Guards against an agent that ends, and all its open attempts with it, because one attempt panics: only
// that attempt fails, and may have run.
func TestPanicInAttemptFailsOnlyThatAttempt(t *testing.T) {
	output := &bytes.Buffer{}
	log := logging.NewBounded(zap.ErrorLevel, "agent", output)
	base := node.New(node.Options{ID: "agent", Role: external.RoleAgent, Zone: "zone"}, log)
	g := newGate(base, Options{Service: "service", MaximumOpen: 8}, nil, panickingService{})
	server := httptest.NewServer(base.Hub)
	defer server.Close()
	defer base.Hub.Close()
	entry := peering.NewHub(peering.Hello{ID: "entry", Role: entryRole}, logging.Nop(), peering.NewCounters(prometheus.NewRegistry()))
	defer entry.Close()
	sessions, events := receive[protocol.Session](entry, protocol.TopicSession), receive[protocol.Event](entry, protocol.TopicEvent)
	link, err := entry.Link(context.Background(), strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	session := next(t, sessions)
	id := attempt.ID{Incarnation: session.Incarnation, Session: session.Session, Sequence: 1}
	require.NoError(t, peering.Send(link, protocol.TopicSubmit, "", protocol.Submit{
		ID: id, RequestID: "request", RemainingMilliseconds: time.Minute.Milliseconds(), Call: &protocol.Call{Service: "service"},
	}))
	failed := next(t, events)
	assert.Equal(t, id, failed.ID)
	assert.Equal(t, protocol.Failed, failed.Kind)
	assert.Eventually(t, func() bool { return g.openCount() == 0 }, time.Second, time.Millisecond)
	log.Sync()
	assert.Contains(t, output.String(), logging.HandlerPanicked.Number)
	assert.Contains(t, output.String(), "broken client")
}
