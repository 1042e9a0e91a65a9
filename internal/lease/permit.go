package lease

import (
	"strconv"
	"strings"
	"time"
)

// This file decides what a process does about permits: leave to drain or reload, of which a fleet has few at a time.

// PermitTask is the task whose holders may drain or reload, and PermitLength how long one that has ended without a word
// keeps others from it.
const (
	PermitTask     = "restart"
	PermitDuration = 10 * time.Second
)

// HolderName is how a process is called as a holder: by its name, its process's number and what else tells it apart.
func HolderName(name string, pid int, nonce uint64) string {
	return name + "/" + strconv.Itoa(pid) + "/" + strconv.FormatUint(nonce, 16)
}

// process reads a holder's name.
func process(holder string) (name string, pid int, ok bool) {
	rest, _, found := cutLast(holder)
	name, number, again := cutLast(rest)
	pid, err := strconv.Atoi(number)
	return name, pid, found && again && err == nil
}

func cutLast(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// OrphanedTokens are the grants of a task that processes of a name have left behind: not of this process, and of one that runs no
// more on this machine. Whoever comes up after them gives them back: a permit covers a restart to its end. One that
// runs still gives back its own.
func OrphanedTokens(t *Task, name string, self int, runs func(pid int) bool) (numbers []uint64) {
	if t == nil {
		return nil
	}
	for _, g := range t.Grants {
		if n, pid, ok := process(g.Holder); ok && n == name && pid != self && !runs(pid) {
			numbers = append(numbers, g.Token)
		}
	}
	return numbers
}

// PermitVerdict is what follows when no permit has come.
type PermitVerdict uint8

// The verdicts.
const (
	KeepWaiting          PermitVerdict = iota // serving meanwhile
	ProceedWithoutPermit                      // without one
)

// DecideWithoutPermit decides for a process that has waited for so long and is to wait for most.
func DecideWithoutPermit(waited, most time.Duration, insist bool) PermitVerdict {
	if waited < most || insist {
		return KeepWaiting
	}
	return ProceedWithoutPermit
}
