//go:build !race

package agent

// concurrentContenders is the number of contenders that request the task at the same time.
const concurrentContenders = 1000
