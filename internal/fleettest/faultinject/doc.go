// Package faultinject injects faults into real processes and into the links between them: it stops processes, cuts and
// slows links, fills backlogs and disks, and takes CPU time. The package does not know scenarios, and does not
// interpret the data on links; its callers decide what a fault tests.
//
// Invariants:
//
//  1. Every fault ends: after its duration, with its context, or with Close. No process is left stopped.
//  2. A link forwards what it has received completely and in order, or it ends the connection.
//  3. All traffic stays on loopback, and every goroutine ends with the call or the link that started it.
package faultinject
