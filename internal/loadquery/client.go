package loadquery

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"pinevane.example/pinevane/internal/fault"
	"pinevane.example/pinevane/internal/fleet"
	"pinevane.example/pinevane/internal/logging"
)

// Timeouts of a query.
const (
	// answerTimeout is the maximum wait for any answer: a tenth of the typical target for the first
	// event, and many times a round trip to another region.
	answerTimeout = 40 * time.Millisecond
	// minFurtherTimeout is the minimum wait for further answers once one has arrived.
	minFurtherTimeout = 10 * time.Millisecond
)

// Client sends load queries to agents. All agents listen on the same port.
type Client struct {
	port int
	log  *logging.Logger

	mutex sync.Mutex
	// socket is nil until Open.
	socket     *net.UDPConn
	lastNumber uint64
	pending    map[uint64]chan<- fleet.MachineStatus
}

// NewClient returns a client that queries agents on a port. Until Open it sends nothing.
func NewClient(port int, log *logging.Logger) *Client {
	return &Client{port: port, log: log, pending: map[uint64]chan<- fleet.MachineStatus{}}
}

// Open opens a socket on an address of the own machine; Close closes it.
func (c *Client) Open(ip string) error {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip)})
	if err != nil {
		return &fault.Unavailable{Target: ip, Operation: "open a socket for load queries", Cause: err}
	}
	c.mutex.Lock()
	c.socket = socket
	c.mutex.Unlock()
	go receive(socket, c.log, func(data []byte, _ netip.AddrPort) { c.handleAnswer(data) })
	return nil
}

// Close closes the socket.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.socket != nil {
		_ = c.socket.Close()
	}
}

func (c *Client) handleAnswer(data []byte) {
	var received answer
	if err := decode(data, &received); err != nil {
		c.log.Log(logging.FrameRejected, zap.Error(err))
		return
	}
	c.mutex.Lock()
	waiting := c.pending[received.Number]
	delete(c.pending, received.Number)
	c.mutex.Unlock()
	if waiting != nil {
		waiting <- received.Status
	}
}

// Query asks the agents beside some servers, named by their addresses, for the servers' load. It
// returns the answers that arrive in time, in no order.
func (c *Client) Query(ctx context.Context, servers []string) []fleet.MachineStatus {
	// The channel has room for each query's answer, so that the receiver never blocks.
	answers := make(chan fleet.MachineStatus, len(servers))
	numbers := c.register(len(servers), answers)
	defer c.unregister(numbers)
	sent := 0
	for at, server := range servers {
		if c.send(server, query{Number: numbers[at]}) {
			sent++
		}
	}
	return collect(ctx, answers, sent)
}

func collect(ctx context.Context, answers <-chan fleet.MachineStatus, sent int) []fleet.MachineStatus {
	began := time.Now()
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	var collected []fleet.MachineStatus
	for len(collected) < sent {
		select {
		case status := <-answers:
			collected = append(collected, status)
			if len(collected) == 1 {
				timeout.Reset(furtherTimeout(time.Since(began)))
			}
		case <-timeout.C:
			return collected
		case <-ctx.Done():
			return collected
		}
	}
	return collected
}

// Announce notifies the agent beside a server of a request that is being sent there.
func (c *Client) Announce(server string, promptTokens int) {
	c.send(server, query{Prompt: promptTokens})
}

// register assigns numbers to a few queries whose answers go to a channel.
func (c *Client) register(count int, answers chan<- fleet.MachineStatus) []uint64 {
	numbers := make([]uint64, 0, count)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for range count {
		c.lastNumber++
		c.pending[c.lastNumber] = answers
		numbers = append(numbers, c.lastNumber)
	}
	return numbers
}

func (c *Client) unregister(numbers []uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, number := range numbers {
		delete(c.pending, number)
	}
}

// send reports whether a datagram was sent; one that was not counts as lost.
func (c *Client) send(server string, message query) bool {
	host, _, err := net.SplitHostPort(server)
	if err != nil {
		return false
	}
	data, err := encode(message)
	if err != nil {
		c.log.Log(logging.FrameRejected, zap.Error(err))
		return false
	}
	c.mutex.Lock()
	socket := c.socket
	c.mutex.Unlock()
	if socket == nil {
		return false
	}
	_, err = socket.WriteToUDP(data, &net.UDPAddr{IP: net.ParseIP(host), Port: c.port})
	return err == nil
}

// furtherTimeout is how long further answers are waited for after a first one that took the given
// time: as long again, within answerTimeout. On a busy machine all answers take long, and those
// that are not waited for count as missing: their servers are queried last for a second, and the
// others get all requests.
func furtherTimeout(took time.Duration) time.Duration {
	return max(minFurtherTimeout, min(took, answerTimeout-took))
}
