package balance

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against published figures whose predictions overflow: a request that seemed to be due 292
// years ago made its server count as late, and refused, for as long as lateness takes to fade.
func TestPredictionsOfImpossibleFiguresAreBounded(t *testing.T) {
	for _, figure := range []float64{1e300, -1e300, math.MaxFloat64, math.Inf(1), math.NaN()} {
		for _, server := range []Server{
			{Slots: 1, StepMilliseconds: figure, Stride: 1, ReadPerSecond: 1000, TypicalPrompt: 100, TypicalAnswer: 10},
			{Slots: 1, StepMilliseconds: 1, PerSequence: figure, ContextPerThousand: figure, Stride: 1, ReadPerSecond: 1000, TypicalPrompt: 100, TypicalAnswer: 10},
			{Slots: 1, StepMilliseconds: 1, Stride: math.MaxInt, ReadPerSecond: 1e-300, TypicalPrompt: figure, TypicalAnswer: figure},
			{Slots: 1, RequestMilliseconds: figure},
		} {
			for _, load := range []Load{{}, {Running: 3, Waiting: 2, Unread: 1000, Pace: figure}} {
				for name, predicted := range map[string]time.Duration{
					"first event": server.TimeToFirstEvent(load, 100), "duration": server.Duration(load, 100, 10), "service time": server.ServiceTime(),
				} {
					assert.GreaterOrEqual(t, predicted, time.Duration(0), "%s: %+v %+v", name, server, load)
					assert.LessOrEqual(t, predicted, 2*maxPrediction, "%s: %+v %+v", name, server, load)
				}
			}
		}
	}
}
