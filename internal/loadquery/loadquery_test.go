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

// loadedServer is a server of a test, with a count of what was announced.
type loadedServer struct {
	address string
	waiting int

	mutex     sync.Mutex
	announced []int
}

func (s *loadedServer) CurrentLoad() fleet.MachineStatus {
	return fleet.MachineStatus{Address: s.address, Reachable: true, Waiting: s.waiting}
}

func (s *loadedServer) Announce(promptTokens int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.announced = append(s.announced, promptTokens)
}

func (s *loadedServer) told() []int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]int(nil), s.announced...)
}

// respond starts agents on one port of several loopback addresses.
func respond(t *testing.T, servers ...*loadedServer) int {
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

func TestEveryAgentAnswersForItsServer(t *testing.T) {
	one, two := &loadedServer{address: "127.0.31.1:8001", waiting: 3}, &loadedServer{address: "127.0.31.2:8001", waiting: 5}
	client := openClient(t, respond(t, one, two))
	answers := client.Query(context.Background(), []string{one.address, two.address})
	require.Len(t, answers, 2)
	waiting := map[string]int{}
	for _, status := range answers {
		waiting[status.Address] = status.Waiting
	}
	assert.Equal(t, map[string]int{one.address: 3, two.address: 5}, waiting)
}

// A machine that says nothing, as behind a cut, costs a short wait and no answer of others.
func TestSilentAgentIsNotWaitedForLong(t *testing.T) {
	one := &loadedServer{address: "127.0.32.1:8001"}
	client := openClient(t, respond(t, one))
	silent, err := net.ListenPacket("udp4", net.JoinHostPort("127.0.32.2", strconv.Itoa(client.port)))
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	began := time.Now()
	assert.Len(t, client.Query(context.Background(), []string{"127.0.32.2:8001", one.address}), 1)
	assert.Empty(t, client.Query(context.Background(), []string{"127.0.32.2:8001"}))
	assert.Less(t, time.Since(began), time.Second)
	assert.Empty(t, client.waiting, "questions without an answer are forgotten")
}

// Seen: on a machine with more busy processes than cores, answers that came 10 ms after the first
// counted as missing, and all entries sent to the few servers whose agents were the first. Cause: the
// further answers were waited for a fixed time, however long the first one took.
//
// Where the first answer takes long, the others are given as long again.
func TestAnswersOfABusyMachineAreWaitedFor(t *testing.T) {
	const first, second = 15 * time.Millisecond, 27 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		answers := make(chan fleet.MachineStatus, 2)
		for _, after := range []time.Duration{first, second} {
			time.AfterFunc(after, func() { answers <- fleet.MachineStatus{} })
		}
		assert.Len(t, collect(context.Background(), answers, 2), 2)
	})
	for took, wait := range map[time.Duration]time.Duration{
		time.Millisecond: lateTimeout, 15 * time.Millisecond: 15 * time.Millisecond, 30 * time.Millisecond: lateTimeout, 39 * time.Millisecond: lateTimeout,
	} {
		assert.Equal(t, wait, lateWait(took), "after a first answer that took %s", took)
	}
}

func TestAnnouncementsReachTheAgent(t *testing.T) {
	one := &loadedServer{address: "127.0.33.1:8001"}
	client := openClient(t, respond(t, one))
	client.Announce(one.address, 800)
	require.Eventually(t, func() bool { return len(one.told()) == 1 }, 5*time.Second, 5*time.Millisecond)
	assert.Equal(t, []int{800}, one.told())
}

// Datagrams that are no questions, or come late, change nothing.
func TestOtherDatagramsAreDropped(t *testing.T) {
	one := &loadedServer{address: "127.0.34.1:8001"}
	client := openClient(t, respond(t, one))
	client.take([]byte("no answer"))
	late, err := encode(answer{Number: 77})
	require.NoError(t, err)
	client.take(late)
	socket, err := net.Dial("udp4", net.JoinHostPort("127.0.34.1", strconv.Itoa(client.port)))
	require.NoError(t, err)
	_, err = socket.Write([]byte("no question"))
	require.NoError(t, err)
	assert.Len(t, client.Query(context.Background(), []string{one.address}), 1)
	assert.Empty(t, one.told())
}

// Before the socket is open, and for what is no address, nobody is asked.
func TestClientWithoutASocketAsksNobody(t *testing.T) {
	client := NewClient(1, logging.Nop())
	assert.Empty(t, client.Query(context.Background(), []string{"127.0.0.1:8001", "no address"}))
	client.Announce("127.0.0.1:8001", 1)
	client.Close()
}

// A datagram can hold anything: a prompt of a size that can't be counts as one of unknown size.
func TestAnnouncedSizesThatCannotBeAreUnknown(t *testing.T) {
	one := &loadedServer{address: "127.0.31.9:8001"}
	client := openClient(t, respond(t, one))
	for _, prompt := range []int{100, -5, math.MaxInt, math.MinInt, 1 << 22, 1<<22 + 1} {
		client.Announce(one.address, prompt)
	}
	assert.Eventually(t, func() bool { return len(one.told()) == 6 }, 2*time.Second, time.Millisecond)
	assert.ElementsMatch(t, []int{100, 0, 0, 0, 1 << 22, 0}, one.told())
}
