//go:build !race

package soak

// buildFlags are those of the programs.
var buildFlags []string
