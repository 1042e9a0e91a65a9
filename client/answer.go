package client

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"mulleinpier/client/internal/retry"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

// answer is the answer to an attempt, or the reason why there is none.
type answer struct {
	outcome    retry.Outcome
	abandoned  bool // the caller gave up, and the answer may still arrive
	retryAfter time.Duration
	value      []byte
	receipt    string
	cause      error
}

// noValue is the size that parseFirstLine returns for an answer without a value.
const noValue = -1

// parseFirstLine parses the first line of the answer to an attempt. size is the size of the value that follows, or
// noValue.
func (a *answer) parseFirstLine(line []byte, idPrefix string, t *attempt) (size int, err error) {
	if rest, ok := bytes.CutPrefix(line, []byte("SERVER_ERROR busy")); ok {
		retryAfter, ok := parseRetryAfter(rest)
		if !ok {
			return noValue, errMalformedAnswer
		}
		a.outcome = retry.Rejected
		a.retryAfter = retryAfter
		return noValue, nil
	}
	first, err := meta.ParseAnswer(line)
	if err != nil {
		return noValue, err
	}
	needsID := first.Kind == request.Value || first.Kind == request.Stored || len(first.ID) > 0
	if needsID && !isID(first.ID, idPrefix, t.serial) {
		return noValue, errMalformedAnswer
	}
	if first.Kind == request.Failed {
		a.setFailed(line)
		return noValue, nil
	}
	if t.isRead {
		return a.setRead(&first)
	}
	if first.Kind != request.Stored {
		return noValue, errMalformedAnswer
	}
	a.outcome = retry.Served
	a.receipt = string(first.Receipt)
	return noValue, nil
}

// setFailed sets the outcome from a line that reports a failure or an invalid request.
func (a *answer) setFailed(line []byte) {
	a.outcome = retry.Failed
	a.cause = errors.New(string(line))
	if bytes.HasPrefix(line, []byte("CLIENT_ERROR")) || bytes.HasPrefix(line, []byte("ERROR")) {
		a.outcome = retry.Invalid
	}
}

// setRead sets the outcome from the first line of an answer to a read. It returns the size of the value that follows,
// or noValue.
func (a *answer) setRead(first *meta.AnswerLine) (size int, err error) {
	switch first.Kind {
	case request.Value:
		a.outcome = retry.Served
		return first.ValueLen, nil
	case request.NotFound:
		a.outcome = retry.NotFound
		return noValue, nil
	}
	return noValue, errMalformedAnswer
}

// maxRetryAfter bounds the Retry-After of a rejection.
const maxRetryAfter = time.Hour

// parseRetryAfter parses the Retry-After of a rejection: a space and milliseconds, or nothing if the rejection has
// none.
func parseRetryAfter(text []byte) (time.Duration, bool) {
	if len(text) == 0 {
		return 0, true
	}
	ms, err := strconv.ParseUint(string(bytes.TrimPrefix(text, []byte(" "))), 10, 32)
	if err != nil || text[0] != ' ' {
		return 0, false
	}
	return min(time.Duration(ms)*time.Millisecond, maxRetryAfter), true
}
