package sitetest

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/internal/emulator/site"
)

const (
	// agentPort is the port at which agents take load queries.
	agentPort = 7700
	// reportPeriod is more than the time between two reports that an agent asks its server for.
	reportPeriod = 100 * time.Millisecond
)

// Once another process finds the network of a fleet free, every port of the fleet is.
//
// Observed: fleets in which an agent could not listen for load queries, so that no entry became ready,
// while two processes ran tests side by side. Cause: the origin, by which a network counts as in use, was
// closed first, and agents that had been killed still held their sockets.
func TestNetworkIsFreeOnlyWithAllItsPorts(t *testing.T) {
	const fleets = 3
	for range fleets {
		started := make(chan site.Options)
		inUse := make(chan []string)
		go func() {
			options := <-started
			for {
				if listener, err := net.Listen("tcp", options.OriginAddress()); err == nil {
					_ = listener.Close()
					inUse <- agentsInUse(options)
					return
				}
			}
		}()
		t.Run("a fleet", func(t *testing.T) {
			f := Start(t, DefaultOptions())
			started <- f.Site.Options
			// Agents that wait for their server's report take a while to end.
			for _, server := range f.Site.Models {
				server.SetFaults(site.Faults{Silent: true})
			}
			time.Sleep(2 * reportPeriod)
		})
		assert.Empty(t, <-inUse)
	}
}

// agentsInUse returns the addresses of a network's agents that can't be listened at.
func agentsInUse(options site.Options) []string {
	var inUse []string
	for zone := range options.Zones {
		for index := range options.ModelServers {
			address := net.JoinHostPort(options.ModelIP(zone, index), strconv.Itoa(agentPort))
			socket, err := net.ListenPacket("udp4", address)
			if err != nil {
				inUse = append(inUse, address)
				continue
			}
			_ = socket.Close()
		}
	}
	return inUse
}
