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

// Times of a question.
const (
	// answerTimeout is how long any answer is waited for: a tenth of the usual target to
	// the first event, and a way to another region and back many times.
	answerTimeout = 40 * time.Millisecond
	// lateTimeout is how long further answers are waited for at the least once one is there.
	lateTimeout = 10 * time.Millisecond
)

// Client asks agents. All machines of agents listen on the same port.
type Client struct {
	port int
	log  *logging.Logger

	mutex sync.Mutex
	// socket is nil until Open.
	socket  *net.UDPConn
	number  uint64
	waiting map[uint64]chan<- fleet.MachineStatus
}

// NewClient returns a client that asks agents on a port. Until Open it asks nobody.
func NewClient(port int, log *logging.Logger) *Client {
	return &Client{port: port, log: log, waiting: map[uint64]chan<- fleet.MachineStatus{}}
}

// Open begins to send from an address of the own machine; Close ends it.
func (c *Client) Open(ip string) error {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip)})
	if err != nil {
		return &fault.Unavailable{Target: ip, Operation: "open a socket for load queries", Cause: err}
	}
	c.mutex.Lock()
	c.socket = socket
	c.mutex.Unlock()
	go receive(socket, c.log, func(data []byte, _ netip.AddrPort) { c.take(data) })
	return nil
}

// Close ends what Open began.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.socket != nil {
		_ = c.socket.Close()
	}
}

func (c *Client) take(data []byte) {
	var received answer
	if err := decode(data, &received); err != nil {
		c.log.Log(logging.FrameRejected, zap.Error(err))
		return
	}
	c.mutex.Lock()
	waiting := c.waiting[received.Number]
	delete(c.waiting, received.Number)
	c.mutex.Unlock()
	if waiting != nil {
		waiting <- received.Status
	}
}

// Query asks the agents beside some servers, named by their addresses, how the servers do.
// It returns the answers that come in time, in no order.
func (c *Client) Query(ctx context.Context, servers []string) []fleet.MachineStatus {
	// Each question has room for its answer, so that the reader never waits.
	answers := make(chan fleet.MachineStatus, len(servers))
	numbers := c.expect(len(servers), answers)
	defer c.forget(numbers)
	sent := 0
	for at, server := range servers {
		if c.send(server, question{Number: numbers[at]}) {
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
				timeout.Reset(lateWait(time.Since(began)))
			}
		case <-timeout.C:
			return collected
		case <-ctx.Done():
			return collected
		}
	}
	return collected
}

// Announce tells the agent beside a server of a request that is being sent there.
func (c *Client) Announce(server string, promptTokens int) {
	c.send(server, question{Prompt: promptTokens})
}

// expect numbers a few questions whose answers go to a channel.
func (c *Client) expect(count int, answers chan<- fleet.MachineStatus) []uint64 {
	numbers := make([]uint64, 0, count)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for range count {
		c.number++
		c.waiting[c.number] = answers
		numbers = append(numbers, c.number)
	}
	return numbers
}

func (c *Client) forget(numbers []uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, number := range numbers {
		delete(c.waiting, number)
	}
}

// send reports whether a datagram has left; one that has not is as good as lost.
func (c *Client) send(server string, message question) bool {
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

// lateWait is how long further answers are waited for after a first one that took some time: as
// long again, within answerTimeout. On a busy machine all answers take long, and those that are not
// waited for count as missing: their servers are asked last for a second, and the others get all
// requests.
func lateWait(took time.Duration) time.Duration {
	return max(lateTimeout, min(took, answerTimeout-took))
}
