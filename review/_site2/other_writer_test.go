package site2

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	otherWriterLength = 20 * time.Second
	// unnamedService is a service that no configuration names.
	unnamedService = "inventory"
)

func init() { scenarios["other-writer"] = scenario{options: smallSite, play: playOtherWriter} }

// playOtherWriter has another writer leave one entry for each server of the later service in the store, of a
// service that no configuration names and without most fields.
func playOtherWriter(c *play) (bool, error) {
	servers, err := c.startLaterService()
	if err != nil {
		return false, err
	}
	c.addLaterRoutes(laterConnections)
	if c.trouble {
		for zone, server := range servers {
			value, err := json.Marshal(map[string]any{"service": unnamedService, "address": server.address, "zone": server.zone, "state": "ready"})
			if err != nil {
				return false, err
			}
			key := fmt.Sprintf("servers/%s-%d", unnamedService, zone)
			c.site.Store.PutRaw(key, value)
			c.record.line("another writer has written %s: %s", key, value)
		}
	}
	time.Sleep(settleTime)
	return c.judgeLaterRoutes(c.sendToAllRoutes(otherWriterLength), asLater(servers)), nil
}
