package dispatch

import (
	"time"

	"pinevane.example/pinevane/coordination/balance"
)

// Figures returns the figures for predictions of a service's model servers: the published ones, completed and
// corrected by observed answers.
func (c *Core) Figures(service string, engine *Engine) balance.Server {
	return c.learnedOf(service).Merge(engine.Published)
}

// RecordStream records the time that a server took to write a stream from its first event to its last.
func (c *Core) RecordStream(service string, prompt, events int, writing time.Duration) {
	c.learnedOf(service).RecordStream(prompt, events, writing)
}

// learnedOf returns the learned figures of a service.
func (c *Core) learnedOf(service string) *balance.Estimator {
	return getOrCreate(c.learned, service)
}

// marginOf returns the margin of a service's refusal limit.
func (c *Core) marginOf(service string) *balance.Margin {
	return getOrCreate(c.margins, service)
}

// learnMargin records how much later than expected a request has begun, if its expected wait was near the
// limit.
func (c *Core) learnMargin(send *Send, now time.Time) {
	if ratio := c.policy.InTimeShare; ratio > 0 && send.nearLimit {
		c.marginOf(send.service).Observe(now.Sub(send.expectedAt), send.target, ratio)
	}
}

// learnFirstEvent records the time to a request's first event, if the server was idle.
func (c *Core) learnFirstEvent(send *Send, now time.Time) {
	if send.idle {
		c.learnedOf(send.service).RecordIdleFirstEvent(send.engine.Published, send.prompt, now.Sub(send.sentAt))
	}
}
