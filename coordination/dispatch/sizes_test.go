package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against large requests being left unserved: with the margin at its end, which others' late beginnings have
// brought about, an idle server takes the longest prompt, whose own reading takes longer than the limit of what is
// expected to begin.
func TestIdleServerTakesTheLongestPrompt(t *testing.T) {
	s := newScript(t, "a1")
	for range 200 {
		s.core.marginOf("s").Observe(time.Second, 400*time.Millisecond, 0.7)
	}
	for _, prompt := range []int{100, 1000, 4000, 16000} {
		for _, elapsed := range []time.Duration{0, time.Second} {
			s.hear("a1", 0, LoadReport{Version: 1})
			request := s.request()
			request.Prompt, request.Arrival.Elapsed = prompt, elapsed
			decision, refusal := s.core.Choose(request, s.now)
			require.Nil(t, refusal, "%d tokens, %s after the first attempt", prompt, elapsed)
			s.ends(decision)
		}
	}
}

// Guards against large requests being left unserved: whatever the size of its prompt, a request is admitted at the
// same load of a server.
func TestLoadAtWhichARequestIsRefusedDoesNotDependOnItsSize(t *testing.T) {
	refusedFrom := func(prompt int) (waiting int) {
		for ; waiting < 100; waiting++ {
			s := newScript(t, "a1")
			s.hear("a1", 0, LoadReport{Version: 1, Running: 16, Waiting: waiting})
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

// Guards against large requests being left unserved: a margin that leaves no time to wait comes back once servers begin
// requests as predicted, though only idle ones are sent any.
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
		s.hear("a1", 0, LoadReport{Version: 1})
		decision := s.goesTo(request(), "a1")
		s.at(time.Duration(step)*100*time.Millisecond + decision.Expected)
		s.ends(decision)
	}
	assert.Positive(t, s.core.firstAttemptWait(s.candidate("a1"), request()))
}
