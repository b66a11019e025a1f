// Package testseed fixes the seed of generated test histories, so that a run of
// the tests gives the same verdict every time.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// seed is where generated histories start.
const seed = "20261202"

// Main runs a package's tests with the fixed seed of pgregory.net/rapid, which
// the package must import; -rapid.seed on the command line replaces it.
func Main(m *testing.M) {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
