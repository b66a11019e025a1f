package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against large requests being left unserved. With the margin at its limit, because of other requests'
// late starts, an idle server takes the longest prompt, whose own prefill takes longer than the limit on the
// expected start.
func TestIdleServerTakesTheLongestPrompt(t *testing.T) {
	s := newScript(t, "a1")
	for range 200 {
		s.core.marginOf("s").Observe(time.Second, 400*time.Millisecond, 0.7)
	}
	for _, prompt := range []int{100, 1000, 4000, 16000} {
		for _, elapsed := range []time.Duration{0, time.Second} {
			s.report("a1", 0, LoadReport{Version: 1})
			request := s.request()
			request.Prompt, request.Arrival.Elapsed = prompt, elapsed
			decision, refusal := s.core.Choose(request, s.now)
			require.Nil(t, refusal, "%d tokens, %s after the first attempt", prompt, elapsed)
			s.ends(decision)
		}
	}
}

// Guards against large requests being left unserved. A request is admitted at the same load of a server
// whatever the size of its prompt.
func TestLoadAtWhichARequestIsRefusedDoesNotDependOnItsSize(t *testing.T) {
	refusedFrom := func(prompt int) (waiting int) {
		for ; waiting < 100; waiting++ {
			s := newScript(t, "a1")
			s.report("a1", 0, LoadReport{Version: 1, Running: 16, Waiting: waiting})
			request := s.request()
			request.Prompt = prompt
			if _, refusal := s.core.Choose(request, s.now); refusal != nil {
				return waiting
			}
		}
		return waiting
	}
	usual := refusedFrom(1000)
	assert.Positive(t, usual)
	assert.Less(t, usual, 100)
	for _, prompt := range []int{1, 200, 3000, 8000} {
		assert.Equal(t, usual, refusedFrom(prompt), "%d tokens", prompt)
	}
}

// Guards against large requests being left unserved. A margin that leaves no time to wait recovers once
// servers begin requests as predicted, though only idle servers are sent any.
func TestMarginComesBackWhenNobodyMayWait(t *testing.T) {
	s := newScript(t, "a1")
	const target = 100 * time.Millisecond
	for range 200 {
		s.core.marginOf("s").Observe(time.Second, target, 0.7)
	}
	request := func() *Request {
		request := s.request()
		request.Target = target
		return request
	}
	assert.Zero(t, s.core.firstAttemptWait(s.candidate("a1"), request()))
	for step := range 400 {
		s.at(time.Duration(step) * 100 * time.Millisecond)
		s.report("a1", 0, LoadReport{Version: 1})
		decision := s.goesTo(request(), "a1")
		s.at(time.Duration(step)*100*time.Millisecond + decision.Expected)
		s.ends(decision)
	}
	assert.Positive(t, s.core.firstAttemptWait(s.candidate("a1"), request()))
}
