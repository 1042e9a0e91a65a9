package lease

import (
	"errors"
	"time"
)

// CommandKind says what a command does. The numbers are stored in the voters' logs.
type CommandKind uint8

// The kinds of commands.
const (
	Acquire     CommandKind = iota + 1 // grants Task to Holder, or queues Holder if others hold it and Wait is set
	Release                            // ends the grant Token, or takes Holder out of the queue if Token is 0
	Transfer                           // ends the grant Token in favor of the waiter To
	Revoke                             // ends renewals of the grant Token
	Expire                             // ends the expired grant Token; only the leader proposes it
	SetLimit                           // limits the holders of Task to MaxHolders
	HandOver                           // revokes the grant Token and moves the waiter To to the head of the queue
	AddVoter                           // adds the voter To under a voter ID that was never used before
	RemoveVoter                        // removes the voter To, whose voter ID is never used again
)

// MaxNameBytes is the maximum length of the name of a fleet, task, holder or voter.
const MaxNameBytes = 128

// Command is one entry of the voters' log.
type Command struct {
	Kind CommandKind `cbor:"1,keyasint"`
	Task string      `cbor:"2,keyasint,omitempty"`
	// Holder identifies one run of a process, see [HolderName].
	Holder string `cbor:"3,keyasint,omitempty"`
	// Nonce distinguishes the acquisitions of one holder; a retry of an Acquire carries the same nonce.
	Nonce    uint64        `cbor:"4,keyasint,omitempty"`
	Duration time.Duration `cbor:"5,keyasint,omitempty"` // of the lease
	// Wait makes an Acquire wait in the queue if others hold the task.
	Wait bool `cbor:"6,keyasint,omitempty"`
	// Token is the fencing token of the grant that the command refers to.
	Token uint64 `cbor:"7,keyasint,omitempty"`
	// To is the waiter that gets the task next, or the voter to add or remove.
	To         string `cbor:"8,keyasint,omitempty"`
	MaxHolders int    `cbor:"9,keyasint,omitempty"`
	// VoterID is the ID of the voter to add or remove; the leader sets it when it proposes the command.
	VoterID uint64 `cbor:"10,keyasint,omitempty"`
}

// Errors of rejected commands. Voters send their texts to holders and operators.
var (
	ErrHeld               = errors.New("lease: the task is taken")
	ErrUnknownGrant       = errors.New("lease: there is no such grant")
	ErrLimitExceeded      = errors.New("lease: too many tasks, holders or waiters")
	ErrInvalidCommand     = errors.New("lease: bad command")
	ErrInvalidVoterChange = errors.New("lease: the voters can't be changed so")
)

// CheckCommand returns ErrInvalidCommand for a command that clients may not send, and nil for any other. Expire is
// always invalid: only the leader proposes it.
func (p Parameters) CheckCommand(c *Command) error {
	if !p.isValid(c) {
		return ErrInvalidCommand
	}
	return nil
}

func (p Parameters) isValid(c *Command) bool {
	if c.Kind == AddVoter || c.Kind == RemoveVoter {
		return isValidName(c.To)
	}
	if !isValidName(c.Task) {
		return false
	}
	switch c.Kind {
	case Acquire:
		return c.hasHolderAndNonce() && p.allowsDuration(c.Duration)
	case Release:
		return c.Token > 0 || c.hasHolderAndNonce()
	case Transfer, HandOver:
		return c.Token > 0 && isValidName(c.To)
	case Revoke:
		return c.Token > 0
	case SetLimit:
		return c.MaxHolders >= 1 && c.MaxHolders <= maxHoldersPerTask
	default:
		return false
	}
}

func (p Parameters) allowsDuration(duration time.Duration) bool {
	return duration >= p.MinDuration && duration <= p.MaxDuration
}

func (c *Command) hasHolderAndNonce() bool { return isValidName(c.Holder) && c.Nonce > 0 }

func isValidName(s string) bool { return s != "" && len(s) <= MaxNameBytes }
