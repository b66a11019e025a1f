// Package testseed fixes the seed of property-based tests, so that their results are reproducible.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// seed is the default of the flag -rapid.seed.
const seed = "20261202"

// Main runs a package's tests with a fixed seed for pgregory.net/rapid, which the package must
// import. The flag -rapid.seed overrides it.
func Main(m *testing.M) {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
