package lease

import (
	"errors"
	"time"
)

// CommandKind says what a command asks for. The numbers are stored in the voters' logs.
type CommandKind uint8

// The kinds of commands.
const (
	Acquire     CommandKind = iota + 1 // a grant of Task for Holder, or a place in the queue if Wait
	Release                            // gives Token back, or Holder's place in the queue if Token is 0
	Transfer                           // ends Token and grants the task to To, which waits
	Revoke                             // Token is not renewed any more
	Expire                             // Token's time is over; proposed by the leader alone
	SetLimit                           // at most MaxHolders hold Task from now on
	HandOver                           // revokes Token and moves To, which waits, to the head of the queue
	AddVoter                           // To votes from now on, under a voter ID that nobody has had
	RemoveVoter                        // To votes no more, and its voter ID is never used again
)

// MaxNameBytes bounds the name of a task, a holder or a voter.
const MaxNameBytes = 128

// Command is one entry of the voters' log.
type Command struct {
	Kind CommandKind `cbor:"1,keyasint"`
	Task string      `cbor:"2,keyasint,omitempty"`
	// Holder names one run of a process, see [HolderName].
	Holder string `cbor:"3,keyasint,omitempty"`
	// Nonce tells the acquisitions of one holder apart; repetitions of an Acquire carry the same one.
	Nonce    uint64        `cbor:"4,keyasint,omitempty"`
	Duration time.Duration `cbor:"5,keyasint,omitempty"` // of the lease
	// Wait makes an Acquire wait in the queue where the task is held.
	Wait bool `cbor:"6,keyasint,omitempty"`
	// Token is the fencing token of the grant that the command is about.
	Token uint64 `cbor:"7,keyasint,omitempty"`
	// To is the waiter that gets the task next, or the voter that is added or removed.
	To         string `cbor:"8,keyasint,omitempty"`
	MaxHolders int    `cbor:"9,keyasint,omitempty"`
	// VoterID is that of an AddVoter or RemoveVoter, as the leader proposed it.
	VoterID uint64 `cbor:"10,keyasint,omitempty"`
}

// Errors of commands. Their texts are part of the voters' replies to operators.
var (
	ErrHeld               = errors.New("lease: the task is taken")
	ErrUnknownGrant       = errors.New("lease: there is no such grant")
	ErrLimitExceeded      = errors.New("lease: too many tasks, holders or waiters")
	ErrInvalidCommand     = errors.New("lease: bad command")
	ErrInvalidVoterChange = errors.New("lease: the voters can't be changed so")
)

// CheckCommand returns ErrInvalidCommand for a command that no client may send, and nil for any other. Expire is
// always invalid: it comes from the leader alone.
func (p Parameters) CheckCommand(c *Command) error {
	if !p.isValid(c) {
		return ErrInvalidCommand
	}
	return nil
}

func (p Parameters) isValid(c *Command) bool {
	if c.Kind == AddVoter || c.Kind == RemoveVoter {
		return isName(c.To)
	}
	if !isName(c.Task) {
		return false
	}
	switch c.Kind {
	case Acquire:
		return c.namesHolder() && p.allows(c.Duration)
	case Release:
		return c.Token > 0 || c.namesHolder()
	case Transfer, HandOver:
		return c.Token > 0 && isName(c.To)
	case Revoke:
		return c.Token > 0
	case SetLimit:
		return c.MaxHolders >= 1 && c.MaxHolders <= maxHoldersPerTask
	default:
		return false
	}
}

func (p Parameters) allows(duration time.Duration) bool {
	return duration >= p.MinDuration && duration <= p.MaxDuration
}

func (c *Command) namesHolder() bool { return isName(c.Holder) && c.Nonce > 0 }

func isName(s string) bool { return s != "" && len(s) <= MaxNameBytes }
