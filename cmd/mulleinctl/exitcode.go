package main

import (
	"errors"

	"mulleinpier/client"
	"mulleinpier/internal/cli"
	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
)

// Exit codes, so that scripts know what to do next; docs/operators/client.md lists them.
const (
	exitFailed  = 1 // failed, or no proxy could be reached: trying again is harmless
	exitUsage   = 2
	exitMiss    = 3 // there is no such key
	exitRefused = 4 // trying again later is harmless
	exitUnknown = 5 // the write may have been carried out
	exitTaken   = 6 // another process holds the task, and --wait was not given or has run out
	exitLost    = 7 // the lease ended before the command, which was ended for that
)

var errUsage = cli.ErrUsage

// exitCode is the exit code for an error.
func exitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errUsage) || errors.Is(err, client.ErrInvalid):
		return exitUsage
	case errors.Is(err, client.ErrMiss):
		return exitMiss
	case errors.Is(err, client.ErrUnknown):
		return exitUnknown
	case errors.Is(err, client.ErrRefused):
		return exitRefused
	case errors.Is(err, lease.ErrHeld):
		return exitTaken
	case errors.Is(err, agent.ErrLeaseLost):
		return exitLost
	}
	return exitFailed
}
