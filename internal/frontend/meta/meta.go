// Package meta is the front for clients that speak the meta commands.
package meta

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"

	"mulleinpier/internal/frontend"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

// A connection that sends so many commands in a row that can't be meant is noise: it
// is told so and closed.
const maxBadCommands = 8

// session is the dialect on one connection.
type session struct {
	host        *frontend.Host
	conn        *frontend.Conn
	badCommands int // commands in a row that can't be meant
}

// NewSession begins a session.
func NewSession(host *frontend.Host, c *frontend.Conn) frontend.Session {
	return &session{host: host, conn: c}
}

// reply is the place of a request's answer.
type reply struct {
	frontend.Slot
	host    *frontend.Host
	id      string
	bodyLen int                // of its value, as budgeted
	kind    request.AnswerKind // of its answer
}

// Finish implements core.Reply.
func (r *reply) Finish(a *request.Answer) {
	r.kind = a.Kind
	r.Slot.FinishValue(meta.FormatAnswer(a, r.id), outOfMemory)
}

// outOfMemory is the answer in place of one that finds no room.
func outOfMemory() []byte { return []byte("SERVER_ERROR out of memory\r\n") }

// Release implements core.Reply.
func (r *reply) Release() { r.host.BodyBudget.Release(r.bodyLen) }

// TimeoutAnswer implements front.Session.
func (s *session) TimeoutAnswer() []byte { return []byte("CLIENT_ERROR command took too long\r\n") }

func (s *session) answer(text string) { s.conn.AddSlot(new(frontend.Slot)).Finish([]byte(text)) }

// answerAndStop answers what can't be read on from. It returns true.
func (s *session) answerAndStop(text string) bool {
	s.answer(text)
	return true
}

// ServeCommand implements front.Session.
func (s *session) ServeCommand() (lost bool, err error) {
	if lost, err = s.handleCommand(); lost || err != nil || s.badCommands < maxBadCommands {
		return lost, err
	}
	return s.answerAndStop("CLIENT_ERROR too many bad commands\r\n"), nil
}

// answerStats answers by a line a figure. Of a kind that there is not it says ERROR, as to any
// command that is not known.
func (s *session) answerStats(kind string) error {
	list := s.host.Stats(kind)
	if list == nil {
		s.badCommands++
		s.answer("ERROR\r\n")
		return nil
	}
	s.badCommands = 0
	var b strings.Builder
	for _, x := range list {
		b.WriteString("STAT " + x.Name + " " + x.Value + "\r\n")
	}
	s.answer(b.String() + "END\r\n")
	return nil
}

func (s *session) handleCommand() (lost bool, err error) {
	in := s.conn.In
	text, err := in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || err == nil && len(text) > meta.MaxLine {
		return s.answerAndStop("CLIENT_ERROR line too long\r\n"), nil
	}
	if err != nil {
		return false, err
	}
	line, ok := strings.CutSuffix(string(text), "\r\n")
	if !ok {
		return s.answerAndStop("CLIENT_ERROR line does not end in CRLF\r\n"), nil
	}
	command, err := meta.ParseCommand(line)
	var bad *meta.ClientError
	switch {
	case errors.As(err, &bad):
		if bad.SkipBytes > 0 {
			if _, err := in.Discard(bad.SkipBytes); err != nil {
				return false, err
			}
		}
		s.badCommands++
		s.answer("CLIENT_ERROR " + bad.Reason + "\r\n")
		return bad.SkipBytes < 0, nil
	case err != nil:
		s.badCommands++
		s.answer("ERROR\r\n")
		return false, nil
	case command.Noop:
		s.badCommands = 0
		s.answer("MN\r\n")
		return false, nil
	}
	if command.Stats {
		return false, s.answerStats(command.Key)
	}
	var body []byte
	if command.Verb == request.Set {
		size := command.ValueLen + 2
		if !s.host.ReserveBody(size, command.Class) {
			if _, err := in.Discard(size); err != nil {
				return false, err
			}
			s.answer(string(meta.FormatAnswer(&request.Answer{Kind: request.Busy}, "")))
			return false, nil
		}
		body = make([]byte, size)
		if _, err := io.ReadFull(in, body); err != nil {
			s.host.BodyBudget.Release(size)
			return false, err
		}
		if !bytes.HasSuffix(body, []byte("\r\n")) {
			s.host.BodyBudget.Release(size)
			return s.answerAndStop("CLIENT_ERROR bad data chunk\r\n"), nil
		}
		command.Value = body[:command.ValueLen]
	}
	r := &reply{host: s.host, id: command.ID, bodyLen: len(body)}
	command.HeaderRoom = meta.AnswerHeaderRoom(command.ID)
	s.conn.Submit(&command.Request, &r.Slot, r)
	s.badCommands++
	if r.InFlight == nil {
		r.Release()
	}
	if r.InFlight != nil || r.kind != request.Invalid { // one that is refused was well meant
		s.badCommands = 0
	}
	return false, nil
}
