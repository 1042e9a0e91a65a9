//go:build race

package agent

// concurrentContenders is the number of contenders that request the task at the same time. Under the race detector, a
// thousand contenders send requests faster than the voters can answer.
const concurrentContenders = 300
