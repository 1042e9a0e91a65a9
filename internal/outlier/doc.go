// Package outlier holds the statistics behind outlier detection: how often healthy servers fail, and how the odds that
// one server is faulty move with what is seen of it. It works from few events.
//
// Guarantees:
//
//  1. Log odds never fall under those of [PriorProbability], and exceed them by [MaxLogOdds] at most.
//  2. Without samples a [Suspicion] and a [FailureRate] decay; no sample counts for ever.
//  3. The zero values are those of something of which nothing is known.
//
// The package does no I/O, reads no clock and starts no goroutine; its values belong to the caller. It decides nothing:
// what counts as a failure, and what follows from the odds, is package policy's.
package outlier
