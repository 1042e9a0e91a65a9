package main

import (
	"errors"

	"mulleinpier/client"
	"mulleinpier/internal/cli"
	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
)

// Exit codes tell scripts whether a retry is harmless; docs/operators/client.md lists them.
const (
	exitFailed  = 1 // the command failed, or no proxy could be reached; a retry is harmless
	exitUsage   = 2
	exitMiss    = 3 // the key does not exist
	exitRefused = 4 // the request was rejected; a later retry is harmless
	exitUnknown = 5 // the write may have been carried out
	exitHeld    = 6 // another process holds the task, and --wait was not set or has passed
	exitLost    = 7 // the lease was lost, and the command terminated
)

var errUsage = cli.ErrUsage

// exitCode returns the exit code for an error.
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
		return exitHeld
	case errors.Is(err, agent.ErrLeaseLost):
		return exitLost
	}
	return exitFailed
}
