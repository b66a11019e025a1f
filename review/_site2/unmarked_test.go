package site2

import "time"

const unmarkedLength = 30 * time.Second

func init() { scenarios["unmarked"] = scenario{options: smallSite, play: playUnmarked} }

// playUnmarked has the servers of the later service answer with neither a length nor chunks.
func playUnmarked(c *play) (bool, error) {
	servers, err := c.startLaterService()
	if err != nil {
		return false, err
	}
	for _, server := range servers {
		server.setWithoutEnds(c.trouble)
	}
	c.addLaterRoutes(laterConnections)
	return c.judgeLaterRoutes(c.sendToAllRoutes(unmarkedLength), asLater(servers)), nil
}
