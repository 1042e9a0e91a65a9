// Package frontend serves a client's connection through its life, whatever dialect is spoken on it: who reads
// and writes it, when it is idle, how it drains and ends. A dialect's [Session] reads its commands and formats
// their answers.
//
// Invariants:
//
//  1. Only the reader ends a connection between commands; a command that has arrived is never lost to a close.
//  2. Answers are written in the order of their commands, each once.
//  3. Every connection ends: one that is idle, stops in the middle of a command or takes no answer is closed
//     within a bound.
//
// It does not listen, bound the number of connections or decide when to drain: package proxy does.
//
// Goroutines and state: [Conn.Serve] runs the reader and starts the writer, and returns when both have ended.
// Conn.mu guards what they share. The core may answer a command with its own lock held, and then takes Conn.mu:
// so nothing here may call the core with Conn.mu held. One place still does, in reader.go: see KNOWN-RED.txt.
package frontend
