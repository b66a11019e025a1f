//go:build race

package sitetest

// raceFactor is how many times as long as usual the reading of a large configuration may take under the
// race detector, beside other load.
const raceFactor = 12
