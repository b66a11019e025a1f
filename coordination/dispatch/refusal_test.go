package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A plain server whose answers were delayed for a while is not refused for that as long as it has a free
// slot: without requests nothing would show that the delay is over.
func TestSlowAnswersOfAnIdlePlainServerAreNoOverload(t *testing.T) {
	now := epoch
	core := testCore("z", nil)
	server := &Candidate{ID: "p-1", listing: listing{server: Server{Slots: 6}}, answerTimes: answerTimes{meanMilliseconds: 900}}
	core.byService["plain"] = []*Candidate{server}
	request := &Request{Service: "plain", Target: 120 * time.Millisecond}
	_, refusal := core.Choose(request, now)
	assert.Nil(t, refusal)
	server.sends.inFlight = 7
	_, refusal = core.Choose(request, now)
	assert.NotNil(t, refusal, "a full one is overloaded")
	request.Tried = []*Candidate{{}}
	_, refusal = core.Choose(request, now)
	assert.Nil(t, refusal, "a request that was admitted once is not refused for load")
}

// Guards against a report that counts in one place when it has just become too old for all others: the time of
// a refusal came from a transfer that no choice considered any more.
func TestReportOfTheMaximumAgePromisesNothing(t *testing.T) {
	now := epoch
	core := testCore("z", nil)
	request := &Request{Service: "s", Engine: &Engine{Pieces: 10, CopyTime: 4 * time.Second}}
	unknown := core.soonestReady(request, now)
	core.reports["10.0.0.1:1"] = timedReport{LoadReport: LoadReport{Address: "10.0.0.1:1", Reachable: true}, at: now.Add(-reportTTL)}
	assert.Equal(t, unknown, core.soonestReady(request, now))
	core.reports["10.0.0.1:1"] = timedReport{LoadReport: LoadReport{Address: "10.0.0.1:1", Reachable: true}, at: now.Add(-reportTTL + 1)}
	assert.Less(t, core.soonestReady(request, now), unknown)
}
