package lease

import (
	"strconv"
	"strings"
	"time"
)

// This file decides what a process does about permits: leases that let it drain or reload, of which a fleet has few at
// a time.

const (
	// PermitTask is the task whose holders may drain or reload.
	PermitTask = "restart"
	// PermitDuration is the lease duration of a permit. Others wait that long after a holder that ended without
	// releasing it.
	PermitDuration = 10 * time.Second
)

// HolderName returns the name of one run of a process as a lease holder: NAME/PID/NONCE.
func HolderName(name string, pid int, nonce uint64) string {
	return name + "/" + strconv.Itoa(pid) + "/" + strconv.FormatUint(nonce, 16)
}

// parseHolderName splits what HolderName has joined. The process's own name may contain slashes.
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

// OrphanedTokens returns the fencing tokens of a task's grants that earlier processes of a name did not release:
// processes that do not run on this machine any more, self excepted. Their successor releases these once it serves, as
// a permit covers a restart to its end. A process that still runs releases its own.
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
	KeepWaiting PermitVerdict = iota // and serve meanwhile
	ProceedWithoutPermit
)

// DecideWithoutPermit decides for a process that has waited for a permit in vain so far. One that insists on a permit
// waits for ever; any other goes on without one after maxWait.
func DecideWithoutPermit(waited, maxWait time.Duration, insist bool) PermitVerdict {
	switch {
	case insist, waited < maxWait:
		return KeepWaiting
	default:
		return ProceedWithoutPermit
	}
}
