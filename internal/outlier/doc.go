// Package outlier implements the statistics of outlier detection: how often healthy servers fail, and how the odds that
// a server is faulty change with each observed attempt. It works with few events.
//
// Guarantees:
//
//  1. Log odds never fall below those of [PriorProbability], and exceed them by [MaxLogOdds] at most.
//  2. Without samples a [Suspicion] and a [FailureRate] decay; no sample counts forever.
//  3. The zero values are ready for use and stand for a server without samples.
//
// The package does no I/O, reads no clock and starts no goroutine; its types are not safe for concurrent use. It makes
// no decisions: package policy defines what counts as a failure and what follows from the odds.
package outlier
