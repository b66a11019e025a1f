package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// mostMute is how many of 1000 requests the mute server may take in ten seconds, by whether it
// tells its agent of those that it holds: where requests are sent again after a second, and where
// they wait for their deadline. With lateness it takes 30 to 40 and 4 to 12, without it 46 to 66
// and 15 to 47.
var (
	mostMuteRepeated = map[bool]int{true: 42, false: 42}
	mostMuteWaiting  = map[bool]int{true: 10, false: 16}
)

// A server that takes requests and never answers them, while its agent reaches it and calls it
// idle: no failure shows it before the first requests are given up, a second later, and where they
// are not sent again none does at all. Only that they are late does.
func TestMuteServerIsLeft(t *testing.T) {
	for repeat, most := range map[bool]map[bool]int{true: mostMuteRepeated, false: mostMuteWaiting} {
		for _, tells := range []bool{true, false} {
			for seed := range uint64(5) {
				f := newSmallFleet(testPolicy(), seed)
				f.repeat, f.tells = repeat, tells
				f.play()
				t.Logf("repeat %t, tells of requests %t: %d of %d to the mute server, %d late elsewhere", repeat, tells, f.mute, f.sent, f.late)
				assert.LessOrEqual(t, f.mute, most[tells], "repeat %t, tells of requests %t, seed %d", repeat, tells, seed)
				assert.Zero(t, f.late, "the others have room")
				assert.Zero(t, f.refused)
			}
		}
	}
}
