//go:build race

package soak

// buildFlags are those of the programs: with the race detector, where the tests have it.
var buildFlags = []string{"-race"}
