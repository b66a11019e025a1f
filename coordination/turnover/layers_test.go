package turnover

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

func heldExcept(pieces int, missing ...int) []bool {
	held := make([]bool, pieces)
	for index := range held {
		held[index] = true
	}
	for _, index := range missing {
		held[index] = false
	}
	return held
}

func TestCompleteLayers(t *testing.T) {
	for _, test := range []struct {
		name   string
		held   []bool
		layers int
		want   Layers
	}{
		{"everything", heldExcept(24), 4, Layers{0, 4}},
		{"nothing", make([]bool, 24), 4, Layers{}},
		{"the last piece is missing", heldExcept(24, 23), 4, Layers{0, 3}},
		{"the first piece is missing", heldExcept(24, 0), 4, Layers{1, 4}},
		{"a piece in the middle is missing", heldExcept(24, 7), 4, Layers{2, 4}},
		{"one piece of each layer is missing", heldExcept(24, 0, 6, 12, 18), 4, Layers{}},
		{"two ranges of the same length", heldExcept(24, 6, 18), 4, Layers{0, 1}},
		{"a piece that two layers share", heldExcept(10, 2), 4, Layers{2, 4}},
		{"fewer pieces than layers", heldExcept(2, 0), 4, Layers{2, 4}},
		{"no pieces at all", nil, 4, Layers{}},
		{"no layers", heldExcept(4), 0, Layers{}},
	} {
		assert.Equal(t, test.want, CompleteLayers(test.held, test.layers), test.name)
	}
}

// Every piece of the layers found is held, and no longer range is complete.
func TestCompleteLayersAreLongest(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		pieces, layers := 1+random.IntN(40), 1+random.IntN(12)
		held := make([]bool, pieces)
		for index := range held {
			held[index] = random.Float64() < 0.8
		}
		complete := func(r Layers) bool {
			for _, piece := range r.Pieces(pieces, layers) {
				if !held[piece] {
					return false
				}
			}
			return true
		}
		found := CompleteLayers(held, layers)
		assert.True(t, found.Count() == 0 || complete(found))
		for from := range layers {
			for to := from + found.Count() + 1; to <= layers; to++ {
				assert.False(t, complete(Layers{from, to}), "%v of %d layers in %v, found %v", Layers{from, to}, layers, held, found)
			}
		}
	}
}
