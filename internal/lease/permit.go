package lease

import (
	"strconv"
	"strings"
	"time"
)

// This file has the rules of restart permits: leases that allow a process to drain or reload. A fleet has only a few
// permits, so that only a few processes restart at the same time.

const (
	// PermitTask is the name of the task whose holders may drain or reload.
	PermitTask = "restart"
	// PermitDuration is the lease duration of a permit. If a holder ends without releasing its permit, others wait
	// until this duration has passed.
	PermitDuration = 10 * time.Second
)

// HolderName returns the name of one run of a process as a lease holder: NAME/PID/NONCE.
func HolderName(name string, pid int, nonce uint64) string {
	return name + "/" + strconv.Itoa(pid) + "/" + strconv.FormatUint(nonce, 16)
}

// parseHolderName splits a name made by HolderName. The process's own name may contain slashes.
func parseHolderName(holder string) (name string, pid int, ok bool) {
	rest, _, hasNonce := cutLast(holder)
	name, number, hasPID := cutLast(rest)
	pid, err := strconv.Atoi(number)
	return name, pid, hasNonce && hasPID && err == nil
}

func cutLast(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// OrphanedTokens returns the fencing tokens of a task's orphaned grants: those of earlier processes with the given name
// that no longer run on this machine. Grants of the process with PID self are left out. A successor calls it once it
// serves, and then releases the orphaned grants: a permit covers a restart until the successor serves. An earlier
// process that still runs releases its grant itself.
func OrphanedTokens(t *Task, name string, self int, isRunning func(pid int) bool) (tokens []uint64) {
	if t == nil {
		return nil
	}
	for _, g := range t.Grants {
		holder, pid, ok := parseHolderName(g.Holder)
		if ok && holder == name && pid != self && !isRunning(pid) {
			tokens = append(tokens, g.Token)
		}
	}
	return tokens
}

// PermitVerdict is what a process does while it has no permit.
type PermitVerdict uint8

// The verdicts.
const (
	KeepWaiting PermitVerdict = iota // the process serves while it waits
	ProceedWithoutPermit
)

// DecideWithoutPermit decides what a process does that has waited for a permit for the time waited. With insist, it
// waits without limit; otherwise it proceeds without a permit after maxWait.
func DecideWithoutPermit(waited, maxWait time.Duration, insist bool) PermitVerdict {
	switch {
	case insist, waited < maxWait:
		return KeepWaiting
	default:
		return ProceedWithoutPermit
	}
}
