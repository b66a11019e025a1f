package dispatch

import (
	"math/rand/v2"
	"time"

	"pinevane.example/pinevane/coordination/balance"
)

// epoch is the start time of the tests.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// testPolicy is the policy that entries run with.
func testPolicy() Policy {
	return Policy{RefusalShare: 1, InTimeShare: 0.7, LateShare: 0.15, UnseenLoad: 1, Lateness: 1, SwitchWeight: 2, Scarcity: 1, SampleSize: 4}
}

// testCore returns a core in a zone with a fixed random seed.
func testCore(zone string, regions map[string]string) *Core {
	random := rand.New(rand.NewPCG(1, 1))
	return New(Options{Zone: zone, Regions: regions, Policy: testPolicy(), Self: "entry-0", Started: epoch, Random: random.Float64, Shuffle: random.Shuffle})
}

// modelServer returns a server whose agent has just reported that it serves version 1.
func modelServer(now time.Time, missing int) *Candidate {
	return &Candidate{
		ID: "i-1", listing: listing{server: Server{Slots: 16}},
		report: agentReport{timedReport: timedReport{LoadReport: LoadReport{Reachable: true, Version: 1, MissingPieces: missing}, at: now}},
	}
}

// withFigures sets the engine of a request, without learned figures.
func withFigures(request Request, engine *Engine) *Request {
	request.Engine, request.Figures = engine, engine.Published
	return &request
}

// copiedEngine returns an engine for which a copy of a version takes 2.5 s over a link like the origin's.
func copiedEngine() *Engine {
	return &Engine{
		Pieces: 100, CopyTime: 2500 * time.Millisecond,
		Published: balance.Server{StepMilliseconds: 9, Stride: 5, ReadPerSecond: 20000, TypicalPrompt: 1000, TypicalAnswer: 100},
	}
}
