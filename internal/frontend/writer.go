package frontend

import (
	"net"
	"time"
)

const (
	// maxWriteBytes is the size in bytes from which on no more answers are added to a write.
	maxWriteBytes = 64 << 10
	// maxUnbudgetedAnswer is the size in bytes up to which an answer does not count against the answer budget.
	maxUnbudgetedAnswer = 512
)

// FinishSilently completes a quiet command without sending an answer.
func (s *Slot) FinishSilently() { s.Finish([]byte{}) }

// Finish sets the answer to a command even if the answer budget is exhausted. It is for small answers and for those
// that the proxy itself generates.
func (s *Slot) Finish(text []byte) { s.FinishValue(text, nil) }

// FinishValue sets the answer to a command. If the answer budget is exhausted it sets the result of overBudget
// instead; if overBudget is nil it sets the answer regardless of the budget. It does nothing if the connection is gone.
func (s *Slot) FinishValue(text []byte, overBudget func() []byte) {
	c := s.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	s.inFlight = nil
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

// releaseAnswers returns the bytes of answers to the answer budget.
func (h *Host) releaseAnswers(texts net.Buffers) {
	budgeted := 0
	for _, text := range texts {
		if len(text) > maxUnbudgetedAnswer {
			budgeted += len(text)
		}
	}
	h.AnswerBudget.Release(budgeted)
}

// WriteBlockedSince returns the start of the write that is under way, zero for none. A write that started long ago is
// blocked by a client that does not read.
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
		case len(texts) == 0: // all completed commands are quiet
			c.lastAnswerAt = time.Now()
			c.answersWritten()
		default:
			c.writeTexts(texts)
			c.answersWritten()
		}
	}
}

// writeTexts writes answers, and marks the connection gone if that fails. c.mu is held, except during the write.
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

// answersWritten wakes goroutines that wait for answers to be written, and the reader of a draining connection once
// everything is answered. c.mu is held.
func (c *Conn) answersWritten() {
	if c.draining && c.allAnswered() {
		c.wakeReader()
	}
	c.changed.Broadcast()
}

// takeReady removes the slots whose answers can be written now and returns the answers. taken reports whether it
// removed any slots, including those of quiet commands, which have no answer to write. c.mu is held.
func (c *Conn) takeReady() (texts net.Buffers, taken bool) {
	size := 0
	for len(c.slots) > 0 && c.slots[0].text != nil && size < maxWriteBytes {
		text := c.slots[0].text
		if len(text) > 0 {
			texts = append(texts, text)
			size += len(text)
			c.quietSince = time.Time{}
		} else if c.quietSince.IsZero() {
			c.quietSince = time.Now()
		}
		c.releaseFloodSlots(c.slots[:1])
		c.slots[0] = nil
		c.slots = c.slots[1:]
		taken = true
	}
	return texts, taken
}
