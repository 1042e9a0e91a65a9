// Package faultinject puts faults into real processes and between them: it stops processes, cuts and slows the links
// between them, fills their backlogs and disks, and takes their CPU time. Each file is one kind of fault. The package
// knows nothing of scenarios or of the data that passes; what a fault is to show is its caller's business.
//
// Invariants:
//
//  1. Every fault ends: with its time, with its context, or with Close. No process is left stopped.
//  2. What a link has received it passes on completely and in order, or it ends the connection.
//  3. All traffic stays on loopback, and every goroutine ends with the call or the link that started it.
package faultinject
