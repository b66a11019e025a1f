package peering

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/logging"
)

func newTestHub(id string) *Hub {
	return NewHub(Hello{ID: id, Incarnation: 1, Role: "test"}, logging.Nop(), NewCounters(prometheus.NewRegistry()))
}

// connect returns a hub that accepts links, and a link to it from another hub.
func connect(t *testing.T, prepare func(accepting *Hub)) (*Hub, *Link) {
	t.Helper()
	accepting, dialling := newTestHub("accepting"), newTestHub("dialling")
	prepare(accepting)
	server := httptest.NewServer(accepting)
	t.Cleanup(server.Close)
	t.Cleanup(accepting.Close)
	t.Cleanup(dialling.Close)
	link, err := dialling.Link(context.Background(), strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	return accepting, link
}

func TestMessagesArriveInOrder(t *testing.T) {
	const count = 500
	received := make(chan string, count)
	_, link := connect(t, func(accepting *Hub) {
		accepting.Handle("test.topic", func(_ *Link, m *message.Message) { received <- m.UUID })
	})
	assert.Equal(t, "accepting", link.Remote().ID)
	for i := range count {
		require.NoError(t, link.Publish("test.topic", message.NewMessage(strings.Repeat("x", i), []byte{1})))
	}
	for i := range count {
		assert.Len(t, <-received, i)
	}
}

func TestLinkIsSharedByAllCallers(t *testing.T) {
	_, link := connect(t, func(*Hub) {})
	again, err := link.hub.Link(context.Background(), link.Address())
	require.NoError(t, err)
	assert.Same(t, link, again)
}

func TestLostLinkIsReportedOnBothSides(t *testing.T) {
	lost := make(chan *Link, 1)
	accepting, link := connect(t, func(accepting *Hub) {
		accepting.OnLost(func(link *Link) { lost <- link })
	})
	subscription, err := link.Subscribe(context.Background(), "anything")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(accepting.Accepted()) == 1 }, 10*time.Second, time.Millisecond)
	require.NoError(t, accepting.Accepted()[0].Close())
	<-lost
	<-link.Done()
	_, open := <-subscription
	assert.False(t, open)
	assert.Error(t, link.Publish("test.topic", message.NewMessage("", nil)))
}

func TestInvalidFrameIsDroppedAndLinkKept(t *testing.T) {
	received := make(chan struct{}, 1)
	_, link := connect(t, func(accepting *Hub) {
		accepting.Handle("test.topic", func(*Link, *message.Message) { received <- struct{}{} })
	})
	require.NoError(t, link.connection.Write(context.Background(), websocket.MessageBinary, []byte{0xff, 0x00}))
	require.NoError(t, link.connection.Write(context.Background(), websocket.MessageText, []byte("text")))
	require.NoError(t, link.Publish("test.topic", message.NewMessage("", nil)))
	<-received
}

func TestTrafficIsCountedByKind(t *testing.T) {
	_, link := connect(t, func(*Hub) {})
	require.NoError(t, link.Publish("liveness.status", message.NewMessage("", make([]byte, 100))))
	require.NoError(t, link.Publish("liveness.other", message.NewMessage("", make([]byte, 100))))
	counted := link.hub.counters.Snapshot()["liveness"]
	assert.Equal(t, uint64(2), counted.MessagesOut)
	assert.Greater(t, counted.BytesOut, uint64(200))
}

func FuzzFrame(f *testing.F) {
	valid, err := cbor.Marshal(frame{Topic: "a.b", ID: "1", Payload: []byte{1, 2}})
	require.NoError(f, err)
	f.Add(valid)
	f.Fuzz(func(t *testing.T, data []byte) {
		var decoded frame
		if cbor.Unmarshal(data, &decoded) != nil {
			return
		}
		again, err := cbor.Marshal(decoded)
		if err != nil {
			t.Fatal(err)
		}
		var twice frame
		if err := cbor.Unmarshal(again, &twice); err != nil || twice.Topic != decoded.Topic {
			t.Fatal("a decoded frame does not survive its encoding")
		}
	})
}

// A process that accepted a link while shutting down would still look alive to the other one.
func TestClosedHubAcceptsNoLink(t *testing.T) {
	accepting, dialling := newTestHub("accepting"), newTestHub("dialling")
	server := httptest.NewServer(accepting)
	defer server.Close()
	defer dialling.Close()
	accepting.Close()
	link, err := dialling.Link(context.Background(), strings.TrimPrefix(server.URL, "http://"))
	if err == nil {
		select {
		case <-link.Done():
		case <-time.After(2 * time.Second):
			t.Fatal("the link stays up")
		}
	}
	assert.Empty(t, accepting.Accepted())
}

// A second link to the same process replaces the first on both sides. The first is still read, and
// closed after replacedLinkTTL.
func TestRenewedLinkReplacesFormerOne(t *testing.T) {
	received := make(chan string, 2)
	accepting, former := connect(t, func(accepting *Hub) {
		accepting.Handle("test.topic", func(_ *Link, m *message.Message) { received <- m.UUID })
	})
	require.Eventually(t, func() bool { return len(accepting.Accepted()) == 1 }, time.Second, time.Millisecond)
	first := accepting.Accepted()[0]
	renewed, err := former.hub.Renew(context.Background(), former)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		accepted := accepting.Accepted()
		return len(accepted) == 1 && accepted[0] != first
	}, time.Second, time.Millisecond)
	established, up := former.hub.Established(former.Address())
	assert.True(t, up)
	assert.Same(t, renewed, established)
	require.NoError(t, former.Publish("test.topic", message.NewMessage("by the former", nil)))
	require.NoError(t, renewed.Publish("test.topic", message.NewMessage("by the renewed", nil)))
	assert.ElementsMatch(t, []string{"by the former", "by the renewed"}, []string{<-received, <-received})
	select {
	case <-former.Done():
	case <-time.After(2 * replacedLinkTTL):
		t.Fatal("the former link stays open")
	}
	select {
	case <-renewed.Done():
		t.Fatal("the renewed link was closed")
	default:
	}
}

// Guards against replacing links that work: a process got 1 ms of CPU time every 0.29 s, and links
// to it were renewed within 0.6 s though they had received something 0.7 ms before. The former link
// was only checked after it had been replaced.
//
// A link that receives something before its replacement is up, or shortly after, is kept.
func TestLinkThatReceivesAgainIsNotReplaced(t *testing.T) {
	const pause = 60 * time.Millisecond
	for name, after := range map[string]time.Duration{"meanwhile": -pause / 2, "shortly after": pause / 2} {
		accepting, dialling := newTestHub("accepting"), newTestHub("dialling")
		defer accepting.Close()
		defer dialling.Close()
		second := false
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if second {
				link := accepting.Accepted()[0]
				time.AfterFunc(pause+after, func() { _ = link.Publish("test.topic", message.NewMessage("", nil)) })
				time.Sleep(pause)
			}
			second = true
			accepting.ServeHTTP(writer, request)
		}))
		defer server.Close()
		link, err := dialling.Link(context.Background(), strings.TrimPrefix(server.URL, "http://"))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return len(accepting.Accepted()) == 1 }, time.Second, time.Millisecond)
		first := accepting.Accepted()[0]
		_, err = dialling.Renew(context.Background(), link)
		require.ErrorIs(t, err, ErrLinkAlive, name)
		established, up := dialling.Established(link.Address())
		assert.True(t, up, name)
		assert.Same(t, link, established, name)
		time.Sleep(pause)
		assert.Equal(t, []*Link{first}, accepting.Accepted(), "the other process keeps the link too, %s", name)
	}
}

// If a renewal fails the present link is kept.
func TestFailedRenewalKeepsLink(t *testing.T) {
	_, link := connect(t, func(*Hub) {})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := link.hub.Renew(ctx, link)
	require.Error(t, err)
	established, up := link.hub.Established(link.Address())
	assert.True(t, up)
	assert.Same(t, link, established)
	assert.NoError(t, link.Publish("test.topic", message.NewMessage("", nil)))
}

// Renewals over a connection with a long round trip are not delayed further: they wait for the
// silent link only if the new connection took longer than that link's had.
func TestRenewalsOverLongRoundTripsAreNotDelayed(t *testing.T) {
	// connectTime is how long a new connection takes, margin how long the rest may take.
	const (
		connectTime = 300 * time.Millisecond
		margin      = 80 * time.Millisecond
	)
	accepting, dialling := newTestHub("accepting"), newTestHub("dialling")
	defer accepting.Close()
	defer dialling.Close()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(connectTime)
		accepting.ServeHTTP(writer, request)
	}))
	defer server.Close()
	link, err := dialling.Link(context.Background(), strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	_, err = dialling.Renew(context.Background(), link)
	require.NoError(t, err)
	assert.Less(t, time.Since(began), connectTime+margin)
}
