//go:build !race

package sitetest

// raceFactor is 1 without the race detector.
const raceFactor = 1
