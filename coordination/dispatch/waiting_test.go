package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinevane.example/pinevane/coordination/turnover"
)

// All servers have had their turn to change over to a version whose pieces do not come, because its
// origin is away, and tell so in words that are 0.1 to 0.4 s old, as those from other zones are.
// They are used as if no version were named.
func TestServersThatWaitForPiecesStayInUse(t *testing.T) {
	for name, one := range map[string]struct {
		load    float64
		wordAge time.Duration
		asks    bool
	}{
		"0.6 of the places, words 0.1 s old": {load: 0.6, wordAge: 100 * time.Millisecond},
		"0.6 of the places, words 0.4 s old": {load: 0.6, wordAge: 400 * time.Millisecond},
		"0.6 of the places, agents asked":    {load: 0.6, wordAge: 400 * time.Millisecond, asks: true},
		"0.8 of the places, agents asked":    {load: 0.8, wordAge: 400 * time.Millisecond, asks: true},
		"0.95 of the places, agents asked":   {load: 0.95, wordAge: 400 * time.Millisecond, asks: true},
	} {
		t.Run(name, func(t *testing.T) {
			day := regionDay{small: 5, large: 5, smallEntries: 4, largeEntries: 4, load: one.load, wordAge: one.wordAge, asks: one.asks, waits: true}
			waiting := playRegions(day, 1)
			day.waits = false
			calm := playRegions(day, 1)
			t.Logf("in time %.3f, without a version %.3f; refusals a request %.3f, %.3f", waiting.inTime(), calm.inTime(),
				waiting.free.share(waiting.free.refusals), calm.free.share(calm.free.refusals))
			assert.Greater(t, waiting.inTime(), calm.inTime()-0.01)
			assert.Greater(t, waiting.inTime(), 0.98)
		})
	}
}

// A server that changes over, or was about to, is left out whatever it lacks of a later version; one
// whose pieces were all there may have begun since.
func TestAnnouncedChangeCountsThoughPiecesAreMissing(t *testing.T) {
	s := newScript(t, "a1", "b1")
	for _, one := range []struct {
		word Word
		want Fitness
	}{
		{Word{Version: 1, Wanted: 3, Missing: 50, SwitchPlanned: true}, unfitChanging},
		{Word{Version: 1, Wanted: 3, Missing: 50, SwitchPlanned: true, SwitchIn: switchMargin - time.Millisecond}, unfitChanging},
		{Word{Version: 1, Wanted: 3, Missing: 1, SwitchPlanned: true, SwitchIn: turnover.LeastNotice}, Fit},
		{Word{Version: 1, Wanted: 3, SwitchPlanned: true, SwitchIn: turnover.LeastNotice}, unfitChanging},
	} {
		s.at(s.now.Sub(epoch) + time.Second)
		s.hear("a1", 400*time.Millisecond, one.word)
		assert.Equal(t, one.want, s.core.fitness(s.candidate("a1"), s.request(), s.now), "%+v", one.word)
	}
}
