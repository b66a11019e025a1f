package agent

import (
	"context"
	"sync/atomic"
	"time"

	"pinevane.example/pinevane/internal/blackboard"
	"pinevane.example/pinevane/internal/node"
	"pinevane.example/pinevane/internal/peering"
	"pinevane.example/pinevane/internal/protocol"
)

// heartbeatPeriod is the period of status reports when nothing changes.
const heartbeatPeriod = 2 * time.Second

// statusController sends status reports to every connected entry: on each
// change, and periodically as a heartbeat.
type statusController struct {
	node      *node.Node
	service   string
	openCount func() int
	sequence  atomic.Uint64
}

func newStatusController(base *node.Node, service string) *statusController {
	controller := &statusController{node: base, service: service}
	base.Hub.OnOpen(controller.send)
	return controller
}

func (c *statusController) run(ctx context.Context) {
	changed := c.node.Board.Watch(ctx, ServedKey.Name())
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		c.sendAll()
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *statusController) current() protocol.StatusReport {
	served, _ := blackboard.Read(c.node.Board, ServedKey)
	return protocol.StatusReport{
		Sequence: c.sequence.Add(1),
		Leaving:  c.node.Leaving(),
		Served:   served,
		Service:  c.service,
		Open:     c.openCount(),
	}
}

func (c *statusController) sendAll() {
	for _, link := range c.node.Hub.Accepted() {
		c.send(link)
	}
}

// send sends a status report to a process if it is an entry; other processes
// route no requests.
func (c *statusController) send(link *peering.Link) {
	if link.Remote().Role != entryRole || c.openCount == nil {
		return
	}
	// A failed send closes the link, which the entry detects.
	_ = peering.Send(link, protocol.TopicStatus, "", c.current())
}
