package shedding

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Bounds of how often a part of a kind is served, against the kind.
const (
	// leastOfKind holds for the largest tenth and the fifth below it, and for the smallest tenth.
	leastOfKind = 0.75
	// placesLoad is the load of steady that all places together can do: a load of 1 is a quarter more.
	placesLoad = 0.8
)

// Guards against large requests being left unserved: in an overload the limit of the expected beginning, which
// contains the reading of a request's own prompt, left the room that there was to short prompts. The largest
// tenth of each kind of request and the fifth below it are served about as often as the kind, at each load and with few and
// many entries, and so is the smallest tenth.
func TestLargeRequestsAreServedAsOftenAsTheirKind(t *testing.T) {
	for _, entries := range []int{6, 44, 90, 330} {
		for _, load := range []float64{0.5, 1, 1.25, 1.5, 2, 3, 4} {
			t.Run(fmt.Sprintf("%d entries, load %.2f", entries, load), func(t *testing.T) {
				_, out := result(day{kinds: streams(steady(load * placesLoad)), up: always, wordAge: askedAge, entries: entries}, inOrder)
				requireSizes(t, out)
			})
		}
	}
}

// requireSizes holds the parts by size of each kind to leastOfKind.
func requireSizes(t *testing.T, out outcome) {
	t.Helper()
	names := [sizeParts]string{"largest tenth", "fifth below", "others", "smallest tenth"}
	for i := range out.byKind {
		for part, name := range names {
			ofKind := out.bySize[part][i].served() / out.byKind[i].served()
			assert.GreaterOrEqual(t, ofKind, leastOfKind, "%s of kind %d", name, i)
		}
	}
}
