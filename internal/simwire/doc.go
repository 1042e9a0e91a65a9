// Package simwire reads and writes the simulator's line protocol: batches of tab-separated lines in, actions of
// balancers out. It maps the simulator's words to the terms of package policy, here and nowhere else.
//
// Guarantees:
//
//  1. No input stops a [Reader] but by a [SyntaxError], which names the line and the field, or by an error of the
//     underlying reader.
//  2. A [Reply] depends on nothing but what was added to it.
//
// The package decides nothing, starts no goroutine and reads no clock. A Reader and a Reply belong to one goroutine.
package simwire
