//go:build !race

package entry

// slowdown is the factor by which the race detector may slow the entry down.
const slowdown = 1
