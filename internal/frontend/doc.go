// Package frontend serves client connections independently of the dialect: it reads and writes them, detects idle
// ones, drains and closes them. A dialect's [Session] reads commands and formats their answers.
//
// Invariants:
//
//  1. Only the reader closes a connection between commands, so that closing never loses a command that has arrived.
//  2. Answers are written in the order of their commands, each once.
//  3. Every connection ends: one that is idle, stops in the middle of a command or does not read its answers is
//     closed within a time limit.
//
// Listening, limiting the number of connections and the decision to drain are left to package proxy.
//
// Concurrency: [Conn.Serve] runs the reader and starts the writer, and returns when both have ended. Conn.mu guards
// the state that they share. The core may answer a command with its own lock held, which takes Conn.mu, so this
// package must not call the core with Conn.mu held.
package frontend
