// Package meta serves clients that use the meta commands of the memcache text protocol.
//
// It reads commands, submits requests to the core and formats their answers. Package frontend implements what all
// dialects share: order of answers, pipelining and draining. A session is used only by its connection's reader.
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

const (
	// maxBadCommands is the number of consecutive invalid commands after which a connection is closed, since it
	// probably carries garbage.
	maxBadCommands = 8
	// lineEnd terminates each line and each value.
	lineEnd = "\r\n"
)

// session is the dialect on one connection.
type session struct {
	host        *frontend.Host
	conn        *frontend.Conn
	badCommands int // number of consecutive invalid commands
}

// NewSession returns the session of a connection.
func NewSession(host *frontend.Host, c *frontend.Conn) frontend.Session {
	return &session{host: host, conn: c}
}

// reply receives the answer to a request, and formats it for the client.
type reply struct {
	frontend.Slot
	host    *frontend.Host
	id      string
	bodyLen int                // bytes of the body budget held by the request
	kind    request.AnswerKind // kind of the answer
}

// Finish implements core.Reply.
func (r *reply) Finish(answer *request.Answer) {
	r.kind = answer.Kind
	r.Slot.FinishValue(meta.FormatAnswer(answer, r.id), outOfMemory)
}

// Release implements core.Reply.
func (r *reply) Release() { r.host.BodyBudget.Release(r.bodyLen) }

// outOfMemory returns the answer to send if the answer budget does not suffice for the value.
func outOfMemory() []byte { return []byte("SERVER_ERROR out of memory" + lineEnd) }

// TimeoutAnswer implements frontend.Session.
func (s *session) TimeoutAnswer() []byte {
	return []byte("CLIENT_ERROR command took too long" + lineEnd)
}

// answer sends the answer to a command that was not submitted to the core.
func (s *session) answer(text string) { s.conn.AddSlot(new(frontend.Slot)).Finish([]byte(text)) }

// answerAndStop answers the last command that is read from the connection. It returns true, the stop result of
// ServeCommand.
func (s *session) answerAndStop(text string) bool {
	s.answer(text)
	return true
}

// answerInvalid answers and counts an invalid command.
func (s *session) answerInvalid(text string) {
	s.badCommands++
	s.answer(text)
}

// answerValid answers a valid command that is not a request for the core.
func (s *session) answerValid(text string) {
	s.badCommands = 0
	s.answer(text)
}

// ServeCommand implements frontend.Session.
func (s *session) ServeCommand() (stop bool, err error) {
	stop, err = s.handleCommand()
	if stop || err != nil || s.badCommands < maxBadCommands {
		return stop, err
	}
	return s.answerAndStop("CLIENT_ERROR too many bad commands" + lineEnd), nil
}

// handleCommand reads and executes one command.
func (s *session) handleCommand() (stop bool, err error) {
	text, err := s.conn.In.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || err == nil && len(text) > meta.MaxLine {
		return s.answerAndStop("CLIENT_ERROR line too long" + lineEnd), nil
	}
	if err != nil {
		return false, err
	}
	line, ok := strings.CutSuffix(string(text), lineEnd)
	if !ok {
		return s.answerAndStop("CLIENT_ERROR line does not end in CRLF" + lineEnd), nil
	}
	command, err := meta.ParseCommand(line)
	var invalid *meta.ClientError
	switch {
	case errors.As(err, &invalid):
		return s.handleInvalid(invalid)
	case err != nil:
		s.answerInvalid("ERROR" + lineEnd)
		return false, nil
	case command.Noop:
		s.answerValid("MN" + lineEnd)
		return false, nil
	case command.Stats:
		s.answerStats(command.Key)
		return false, nil
	}
	return s.handleRequest(&command)
}

// handleInvalid answers an invalid command and skips its value. It returns stop if the length of the value is unknown.
func (s *session) handleInvalid(invalid *meta.ClientError) (stop bool, err error) {
	if invalid.SkipBytes > 0 {
		if _, err := s.conn.In.Discard(invalid.SkipBytes); err != nil {
			return false, err
		}
	}
	s.answerInvalid("CLIENT_ERROR " + invalid.Reason + lineEnd)
	return invalid.SkipBytes < 0, nil
}

// answerStats answers with one line per statistic of a kind. It answers an unknown kind with ERROR, like any unknown
// command.
func (s *session) answerStats(kind string) {
	stats := s.host.Stats(kind)
	if stats == nil {
		s.answerInvalid("ERROR" + lineEnd)
		return
	}
	var text strings.Builder
	for _, stat := range stats {
		text.WriteString("STAT " + stat.Name + " " + stat.Value + lineEnd)
	}
	s.answerValid(text.String() + "END" + lineEnd)
}

// handleRequest reads a request's value, if it has one, and submits the request to the core.
func (s *session) handleRequest(command *meta.Command) (stop bool, err error) {
	bodyLen := 0
	if command.Verb == request.Set {
		bodyLen = command.ValueLen + len(lineEnd)
		if !s.host.ReserveBody(bodyLen, command.Class) {
			return false, s.rejectBody(bodyLen)
		}
		body, err := s.readBody(bodyLen)
		if err != nil {
			s.host.BodyBudget.Release(bodyLen)
			return false, err
		}
		if !bytes.HasSuffix(body, []byte(lineEnd)) {
			s.host.BodyBudget.Release(bodyLen)
			return s.answerAndStop("CLIENT_ERROR bad data chunk" + lineEnd), nil
		}
		command.Value = body[:command.ValueLen]
	}
	// The clone keeps an answer that waits for its client from holding the command's whole line.
	r := &reply{host: s.host, id: strings.Clone(command.ID), bodyLen: bodyLen}
	command.HeaderRoom = meta.AnswerHeaderRoom(command.ID)
	accepted := s.conn.Submit(&command.Request, &r.Slot, r)
	if !accepted {
		r.Release()
	}
	if !accepted && r.kind == request.Invalid {
		s.badCommands++
	} else {
		s.badCommands = 0
	}
	return false, nil
}

// rejectBody skips a body that the body budget has no room for, and answers its command with busy.
func (s *session) rejectBody(bodyLen int) error {
	if _, err := s.conn.In.Discard(bodyLen); err != nil {
		return err
	}
	s.answer(string(meta.FormatAnswer(&request.Answer{Kind: request.Busy}, "")))
	return nil
}

func (s *session) readBody(bodyLen int) ([]byte, error) {
	body := make([]byte, bodyLen)
	_, err := io.ReadFull(s.conn.In, body)
	return body, err
}
