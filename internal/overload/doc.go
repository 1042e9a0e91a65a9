// Package overload decides how far a proxy's service is degraded: it turns measured signals into a [Level], with a
// written condition for each entry and exit.
//
// A [Controller] takes one [Event] at a time and answers with a [Transition] for each change of the level in force.
// The caller owns the clock and calls it under its own lock; the package does no I/O, reads no clock and starts no
// goroutine. It does not carry out a level: what each means for a request is decided in package policy, and for the
// limits of a proxy in package core.
//
// Each [Signal] calls for a level by itself, and the level in force is the worst that any calls for. So of two faults
// that come together the one that lasts keeps its level when the other ends.
//
// Invariants, each guarded by a test that names it:
//
//  1. A level is entered when a signal has been at or over its entry threshold for [Timings].ConfirmFor, straight to
//     the level called for, and never while no signal is.
//  2. It is left no sooner than its minimum stay after it was entered, two levels at a time at most, and only once no
//     signal is over the exit threshold, which lies under the entry. A level that is entered again within
//     [Timings].ReentryWindow of being left stays for twice as long, up to [Timings].MaxStay. A better level that is
//     reached on the way down is left after a part of the stay of the one before.
//  3. Load that swings by 5% around any threshold, at any period, changes the level at most twice a minute; load that
//     swings between nothing and everything does so on average.
//  4. A signal that is missing or not a valid number raises no level, and holds one for [Timings].SignalTimeout at
//     most.
//  5. A clock that jumps, either way, counts as no more than [Timings].MaxStep of time.
//  6. While a pin is in force it alone determines the level; the level that signals call for is worked out all the
//     while, so that what follows is what they call for then.
//  7. Every change of the level in force is one Transition, with its cause.
package overload
