// Package simwire reads and writes the simulator's line protocol: it parses batches of tab-separated lines and formats
// the actions of balancers. No other package maps the simulator's names to the terms of package policy.
//
// Guarantees:
//
//  1. Whatever the input, a [Reader] fails only with a [SyntaxError], which names the line and the field, or with an
//     error of the underlying reader.
//  2. A [Reply] depends only on what was added to it.
//
// The package makes no decisions, starts no goroutine and reads no clock. Readers and Replies are not safe for
// concurrent use.
package simwire
