//go:build !race

package gossiper_test

const raceEnabled = false
