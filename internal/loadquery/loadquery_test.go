package loadquery

import (
	"context"
	"math"
	"net"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// fakeServer is a Server that records announcements.
type fakeServer struct {
	address string
	waiting int

	mutex     sync.Mutex
	announced []int
}

func (s *fakeServer) CurrentLoad() fleet.MachineStatus {
	return fleet.MachineStatus{Address: s.address, Reachable: true, Waiting: s.waiting}
}

func (s *fakeServer) Announce(promptTokens int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.announced = append(s.announced, promptTokens)
}

func (s *fakeServer) announcements() []int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]int(nil), s.announced...)
}

// startResponders starts agents on the same port of several loopback addresses.
func startResponders(t *testing.T, servers ...*fakeServer) int {
	t.Helper()
	port := 0
	for _, server := range servers {
		host, _, err := net.SplitHostPort(server.address)
		require.NoError(t, err)
		responder, err := NewResponder(net.JoinHostPort(host, strconv.Itoa(port)), server, logging.Nop())
		require.NoError(t, err)
		t.Cleanup(responder.Close)
		go responder.Run()
		_, text, err := net.SplitHostPort(responder.Address())
		require.NoError(t, err)
		port, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	return port
}

func openClient(t *testing.T, port int) *Client {
	t.Helper()
	client := NewClient(port, logging.Nop())
	require.NoError(t, client.Open("127.0.0.1"))
	t.Cleanup(client.Close)
	return client
}

func TestEachAgentAnswersForItsServer(t *testing.T) {
	one, two := &fakeServer{address: "127.0.31.1:8001", waiting: 3}, &fakeServer{address: "127.0.31.2:8001", waiting: 5}
	client := openClient(t, startResponders(t, one, two))
	answers := client.Query(context.Background(), []string{one.address, two.address})
	require.Len(t, answers, 2)
	waiting := map[string]int{}
	for _, status := range answers {
		waiting[status.Address] = status.Waiting
	}
	assert.Equal(t, map[string]int{one.address: 3, two.address: 5}, waiting)
}

// A machine that does not answer, as in a partition, costs a short wait and none of the others'
// answers.
func TestSilentAgentTimesOut(t *testing.T) {
	one := &fakeServer{address: "127.0.32.1:8001"}
	client := openClient(t, startResponders(t, one))
	silent, err := net.ListenPacket("udp4", net.JoinHostPort("127.0.32.2", strconv.Itoa(client.port)))
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	began := time.Now()
	assert.Len(t, client.Query(context.Background(), []string{"127.0.32.2:8001", one.address}), 1)
	assert.Empty(t, client.Query(context.Background(), []string{"127.0.32.2:8001"}))
	assert.Less(t, time.Since(began), time.Second)
	assert.Empty(t, client.pending, "unanswered queries are removed")
}

// If the first answer takes long, the others are given as long again. With a fixed wait for further
// answers, those that come 10 ms after the first count as missing on a machine with more busy
// processes than cores, and all entries send to the few servers whose agents answered first.
func TestFurtherTimeoutGrowsWithTheFirstAnswer(t *testing.T) {
	const first, second = 15 * time.Millisecond, 27 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		answers := make(chan fleet.MachineStatus, 2)
		for _, after := range []time.Duration{first, second} {
			time.AfterFunc(after, func() { answers <- fleet.MachineStatus{} })
		}
		assert.Len(t, collect(context.Background(), answers, 2), 2)
	})
	for took, wait := range map[time.Duration]time.Duration{
		time.Millisecond: minFurtherTimeout, 15 * time.Millisecond: 15 * time.Millisecond, 30 * time.Millisecond: minFurtherTimeout, 39 * time.Millisecond: minFurtherTimeout,
	} {
		assert.Equal(t, wait, furtherTimeout(took), "after a first answer that took %s", took)
	}
}

func TestAnnouncementsReachTheAgent(t *testing.T) {
	one := &fakeServer{address: "127.0.33.1:8001"}
	client := openClient(t, startResponders(t, one))
	client.Announce(one.address, 800)
	require.Eventually(t, func() bool { return len(one.announcements()) == 1 }, 5*time.Second, 5*time.Millisecond)
	assert.Equal(t, []int{800}, one.announcements())
}

// Datagrams that are invalid or late change nothing.
func TestInvalidDatagramsAreDropped(t *testing.T) {
	one := &fakeServer{address: "127.0.34.1:8001"}
	client := openClient(t, startResponders(t, one))
	client.handleAnswer([]byte("no answer"))
	late, err := encode(answer{Number: 77})
	require.NoError(t, err)
	client.handleAnswer(late)
	socket, err := net.Dial("udp4", net.JoinHostPort("127.0.34.1", strconv.Itoa(client.port)))
	require.NoError(t, err)
	_, err = socket.Write([]byte("no question"))
	require.NoError(t, err)
	assert.Len(t, client.Query(context.Background(), []string{one.address}), 1)
	assert.Empty(t, one.announcements())
}

// Nothing is sent before the socket is open, or to an invalid address.
func TestClientWithoutASocketSendsNothing(t *testing.T) {
	client := NewClient(1, logging.Nop())
	assert.Empty(t, client.Query(context.Background(), []string{"127.0.0.1:8001", "no address"}))
	client.Announce("127.0.0.1:8001", 1)
	client.Close()
}

// A datagram can hold anything: an impossible prompt size counts as unknown.
func TestImpossibleAnnouncedSizesAreUnknown(t *testing.T) {
	one := &fakeServer{address: "127.0.31.9:8001"}
	client := openClient(t, startResponders(t, one))
	for _, prompt := range []int{100, -5, math.MaxInt, math.MinInt, 1 << 22, 1<<22 + 1} {
		client.Announce(one.address, prompt)
	}
	assert.Eventually(t, func() bool { return len(one.announcements()) == 6 }, 2*time.Second, time.Millisecond)
	assert.ElementsMatch(t, []int{100, 0, 0, 0, 1 << 22, 0}, one.announcements())
}
