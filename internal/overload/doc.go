// Package overload decides how far a proxy's service is degraded: it turns measured signals into a degradation
// [Level], with an explicit condition for each entry and exit.
//
// A [Controller] takes one [Event] at a time and returns a [Transition] if the level in force changes. The caller
// passes the time and serializes the calls; the package does no I/O, reads no clock and starts no goroutine. It does
// not carry out a level: package policy decides what each level means for a request, and package core what it means
// for the limits of a proxy.
//
// Each [Signal] requires a level by itself, and the level in force is the worst that any signal requires. So if two
// faults overlap, the level that the longer one requires stays in force when the other ends.
//
// Invariants, each checked by a test that names its number:
//
//  1. A level is entered when a signal has been at or above its entry threshold for [Timings].ConfirmFor, directly from
//     whatever better level is in force, and never without such a signal.
//  2. A level is left no sooner than its minimum stay after it was entered, improving by two levels at a time at most,
//     and only once no signal is at or above the exit threshold, which is below the entry threshold. If a level is
//     entered again within [Timings].ReentryWindow of being left, its minimum stay doubles, up to [Timings].MaxStay. A
//     better level that is reached during recovery is left after a part of the minimum stay of the level before it.
//  3. Load that swings by 5% around any threshold, at any period, changes the level at most twice a minute; for load
//     that swings between none and full overload, this limit holds on average.
//  4. A signal that is missing or not a valid number raises no level, and holds one for [Timings].SignalTimeout at
//     most.
//  5. A clock that jumps, either way, counts as no more than [Timings].MaxStep of time.
//  6. While a pin is in force, it alone determines the level. The level that the signals require is still computed, and
//     takes effect when the pin ends.
//  7. Every change of the level in force is one Transition, with its cause.
package overload
