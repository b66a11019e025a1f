package dispatch

import (
	"testing"
	"time"

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
			s.hear("a1", 0, Word{Version: 1})
			request := s.request()
			request.Prompt, request.Arrival.Elapsed = prompt, elapsed
			decision, refusal := s.core.Choose(request, s.now)
			require.Nil(t, refusal, "%d tokens, %s after the first attempt", prompt, elapsed)
			s.ends(decision)
		}
	}
}
