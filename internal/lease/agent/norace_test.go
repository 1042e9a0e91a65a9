//go:build !race

package agent

// concurrentContenders is how many contenders wait at a time.
const concurrentContenders = 1000
