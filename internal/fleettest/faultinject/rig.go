// Package faultinject puts faults between and into real processes: it stops them, cuts and slows
// the links between them, fills their backlogs and takes their cores. One file is one kind
// of fault. It knows nothing of scenarios or of what passes; what a fault is to show is its
// caller's business.
//
// Invariants:
//
//  1. Every fault ends: with its time, with its context, or with Close. Nobody is left stopped.
//  2. What a link has taken it passes on in order and whole, or it ends the connection.
//  3. All traffic stays on loopback, and every goroutine ends with what began it.
package faultinject
