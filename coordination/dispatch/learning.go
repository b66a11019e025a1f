package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/balance"
)

// Figures returns the figures to predict a service's model servers with: the
// published ones, completed and corrected by what its answers have shown.
func (c *Core) Figures(service string, engine *Engine) balance.Server {
	return c.learnedOf(service).Merge(engine.Published)
}

// LearnStream notes a stream that one server of a service has written from its first event to
// its last.
func (c *Core) LearnStream(service string, prompt, events int, writing time.Duration) {
	c.learnedOf(service).RecordStream(prompt, events, writing)
}

// learnedOf returns what is learned of a service.
func (c *Core) learnedOf(service string) *balance.Estimator {
	return held(c.learned, service)
}

// marginOf returns the margin of a service's refusals.
func (c *Core) marginOf(service string) *balance.Margin {
	return held(c.margins, service)
}

// learnMargin notes how much later than expected a request has begun, if it was expected
// near the limit.
func (c *Core) learnMargin(send *Send, now time.Time) {
	if share := c.policy.InTimeShare; share > 0 && send.nearLimit {
		c.marginOf(send.service).Observe(now.Sub(send.due), send.target, share)
	}
}

// learnFirstEvent notes when a request's first event came, if the server had nothing
// else to do.
func (c *Core) learnFirstEvent(send *Send, now time.Time) {
	if send.idle {
		c.learnedOf(send.service).RecordIdleFirstEvent(send.engine.Published, send.prompt, now.Sub(send.sentAt))
	}
}
