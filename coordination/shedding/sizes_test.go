package shedding

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Bounds of the served ratio of a size class relative to its kind.
const (
	// minServedRatio applies to the largest tenth, the fifth below it and the smallest tenth.
	minServedRatio = 0.75
	// capacityLoad is the steadyLoad that all slots together can serve: a load of 1 is a quarter
	// more.
	capacityLoad = 0.8
)

// Guards against large requests not being served. The limit on the expected start once included the
// reading of a request's own prompt, which left the capacity in an overload to short prompts. The
// largest tenth of each kind, the fifth below it and the smallest tenth must be served about as
// often as the kind, at each load and with few and many entries.
func TestLargeRequestsAreServedAsOftenAsTheirKind(t *testing.T) {
	for _, entries := range []int{6, 44, 90, 330} {
		for _, load := range []float64{0.5, 1, 1.25, 1.5, 2, 3, 4} {
			t.Run(fmt.Sprintf("%d entries, load %.2f", entries, load), func(t *testing.T) {
				_, out := simulateSeeds(scenario{kinds: requestKinds(steadyLoad(load * capacityLoad)), up: alwaysUp, reportAge: loadQueryAge, entries: entries}, prioritized)
				requireServedBySize(t, out)
			})
		}
	}
}

// requireServedBySize requires minServedRatio of each size class of each kind.
func requireServedBySize(t *testing.T, out outcome) {
	t.Helper()
	names := [sizeClasses]string{"largest tenth", "next fifth", "middle", "smallest tenth"}
	for i := range out.byKind {
		for class, name := range names {
			ofKind := out.bySize[class][i].servedRatio() / out.byKind[i].servedRatio()
			assert.GreaterOrEqual(t, ofKind, minServedRatio, "%s of kind %d", name, i)
		}
	}
}
