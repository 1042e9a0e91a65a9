package frontend

import (
	"net"
	"time"
)

const (
	// maxWriteBytes is the size from which on no more answers are added to a write.
	maxWriteBytes = 64 << 10
	// maxUnbudgetedAnswer is the size in bytes up to which an answer is not counted against the budget.
	maxUnbudgetedAnswer = 512
)

// FinishSilently answers a command by sending nothing.
func (s *Slot) FinishSilently() { s.Finish([]byte{}) }

// Finish sets the answer of a command even if the budget is used up: it is for answers that are small or the
// proxy's own.
func (s *Slot) Finish(text []byte) { s.FinishValue(text, nil) }

// FinishValue sets the answer of a command. If the budget for answers that clients have yet to take is used up,
// the result of overBudget is the answer instead; with a nil overBudget the answer is set all the same.
func (s *Slot) FinishValue(text []byte, overBudget func() []byte) {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return
	}
	if len(text) > maxUnbudgetedAnswer {
		if overBudget == nil {
			c.host.AnswerBudget.Acquire(len(text))
		} else if !c.host.AnswerBudget.TryAcquire(len(text)) {
			text = overBudget()
		}
	}
	s.text = text
	c.changed.Broadcast()
}

// releaseAnswers releases the budget of answers.
func (h *Host) releaseAnswers(texts net.Buffers) {
	budgeted := 0
	for _, text := range texts {
		if len(text) > maxUnbudgetedAnswer {
			budgeted += len(text)
		}
	}
	h.AnswerBudget.Release(budgeted)
}

// WriteBlockedSince returns since when a write has been under way that the client has not taken, zero for none.
func (c *Conn) WriteBlockedSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writingSince
}

// writeAnswers writes answers in the order of the commands, until the connection is gone.
func (c *Conn) writeAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		texts, taken := c.takeReady()
		switch {
		case c.gone:
			c.host.releaseAnswers(texts)
			for _, slot := range c.slots {
				c.host.releaseAnswers(net.Buffers{slot.text})
			}
			return
		case !taken:
			c.changed.Wait()
		case len(texts) == 0: // all that were taken are silent
			c.lastAnswerAt = time.Now()
			c.answersWritten()
		default:
			c.writeTexts(texts)
			c.answersWritten()
		}
	}
}

// writeTexts writes answers. c.mu is held, except during the write.
func (c *Conn) writeTexts(texts net.Buffers) {
	c.writingSince = time.Now()
	c.mu.Unlock()
	remaining := append(net.Buffers(nil), texts...) // WriteTo consumes its receiver
	_, err := remaining.WriteTo(c.socket)
	c.host.releaseAnswers(texts)
	c.mu.Lock()
	c.lastAnswerAt, c.writingSince = time.Now(), time.Time{}
	if err != nil {
		c.noteReason("write: " + err.Error())
		c.gone = true
		c.socket.Close() // wakes the reader
	}
}

// answersWritten wakes those who wait for answers to be written. c.mu is held.
func (c *Conn) answersWritten() {
	if c.draining && c.allAnswered() {
		c.wakeReader()
	}
	c.changed.Broadcast()
}

// takeReady removes the answers that can be written now, and reports whether there were any, silent ones
// included. c.mu is held.
func (c *Conn) takeReady() (texts net.Buffers, taken bool) {
	size := 0
	for len(c.slots) > 0 && c.slots[0].text != nil && size < maxWriteBytes {
		text := c.slots[0].text
		if len(text) > 0 {
			texts = append(texts, text)
			size += len(text)
			c.silentSince = time.Time{}
		} else if c.silentSince.IsZero() {
			c.silentSince = time.Now()
		}
		c.slots[0] = nil
		c.slots = c.slots[1:]
		taken = true
	}
	return texts, taken
}
