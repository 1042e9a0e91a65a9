//go:build race

package agent

// concurrentContenders is how many contenders wait at a time. Under the race detector, a thousand send requests faster
// than the voters can answer.
const concurrentContenders = 300
