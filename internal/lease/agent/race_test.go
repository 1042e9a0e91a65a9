//go:build race

package agent

// concurrentContenders is how many contenders wait at a time: under the race detector a thousand ask faster than voters
// can answer.
const concurrentContenders = 300
