package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// These are the limits of how many of 1000 requests the unresponsive server may take in ten seconds, by
// whether it reports the requests that it holds to its agent: where requests are retried after a second, and
// where they wait for their deadline. With lateness it takes 30 to 40 and 4 to 12, without it 46 to 66 and 15
// to 47.
var (
	maxUnresponsiveRetried = map[bool]int{true: 42, false: 42}
	maxUnresponsiveWaiting = map[bool]int{true: 10, false: 16}
)

// Guards against a server that accepts requests and never answers, while its agent reaches it and reports it
// idle. No failure shows before the first requests are abandoned, a second later, and without retries none
// shows at all; only lateness does.
func TestUnresponsiveServerIsAvoided(t *testing.T) {
	for retry, limits := range map[bool]map[bool]int{true: maxUnresponsiveRetried, false: maxUnresponsiveWaiting} {
		for _, reportsHeld := range []bool{true, false} {
			for seed := range uint64(5) {
				f := newSmallFleet(testPolicy(), seed)
				f.retry, f.reportsHeld = retry, reportsHeld
				f.play()
				t.Logf("retry %t, requests reported %t: %d of %d to the unresponsive server, %d late elsewhere", retry, reportsHeld, f.toUnresponsive, f.sent, f.late)
				assert.LessOrEqual(t, f.toUnresponsive, limits[reportsHeld], "retry %t, requests reported %t, seed %d", retry, reportsHeld, seed)
				assert.Zero(t, f.late, "the others have room")
				assert.Zero(t, f.refused)
			}
		}
	}
}
