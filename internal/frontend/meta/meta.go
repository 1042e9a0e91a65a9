// Package meta serves clients that speak the meta commands of the memcache text protocol.
//
// It reads commands, gives requests to the core and formats their answers. What connections have in common
// (order of answers, pipelining, draining) is package frontend's. A session belongs to its connection's reader.
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
	// maxBadCommands is how many invalid commands in a row a connection may send: more is noise, and ends it.
	maxBadCommands = 8
	// lineEnd ends each line and each value.
	lineEnd = "\r\n"
)

// session is the dialect on one connection.
type session struct {
	host        *frontend.Host
	conn        *frontend.Conn
	badCommands int // invalid commands in a row
}

// NewSession starts the dialect on a connection.
func NewSession(host *frontend.Host, c *frontend.Conn) frontend.Session {
	return &session{host: host, conn: c}
}

// reply is where the answer to a request goes.
type reply struct {
	frontend.Slot
	host    *frontend.Host
	id      string
	bodyLen int                // bytes of the body budget that the request uses
	kind    request.AnswerKind // of its answer
}

// Finish implements core.Reply.
func (r *reply) Finish(answer *request.Answer) {
	r.kind = answer.Kind
	r.Slot.FinishValue(meta.FormatAnswer(answer, r.id), outOfMemory)
}

// Release implements core.Reply.
func (r *reply) Release() { r.host.BodyBudget.Release(r.bodyLen) }

// outOfMemory returns the answer in place of one for which there is no budget.
func outOfMemory() []byte { return []byte("SERVER_ERROR out of memory" + lineEnd) }

// TimeoutAnswer implements frontend.Session.
func (s *session) TimeoutAnswer() []byte {
	return []byte("CLIENT_ERROR command took too long" + lineEnd)
}

// answer answers a command that is no request.
func (s *session) answer(text string) { s.conn.AddSlot(new(frontend.Slot)).Finish([]byte(text)) }

// answerAndStop answers a command after which nothing can be read. It returns true, for ServeCommand.
func (s *session) answerAndStop(text string) bool {
	s.answer(text)
	return true
}

// answerBad answers an invalid command.
func (s *session) answerBad(text string) {
	s.badCommands++
	s.answer(text)
}

// answerGood answers a valid command that is no request.
func (s *session) answerGood(text string) {
	s.badCommands = 0
	s.answer(text)
}

// ServeCommand implements frontend.Session.
func (s *session) ServeCommand() (lost bool, err error) {
	lost, err = s.handleCommand()
	if lost || err != nil || s.badCommands < maxBadCommands {
		return lost, err
	}
	return s.answerAndStop("CLIENT_ERROR too many bad commands" + lineEnd), nil
}

// handleCommand carries out one command.
func (s *session) handleCommand() (lost bool, err error) {
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
		s.answerBad("ERROR" + lineEnd)
		return false, nil
	case command.Noop:
		s.answerGood("MN" + lineEnd)
		return false, nil
	case command.Stats:
		s.answerStats(command.Key)
		return false, nil
	}
	return s.handleRequest(&command)
}

// handleInvalid answers an invalid command, and skips its value if that can be told from commands.
func (s *session) handleInvalid(invalid *meta.ClientError) (lost bool, err error) {
	if invalid.SkipBytes > 0 {
		if _, err := s.conn.In.Discard(invalid.SkipBytes); err != nil {
			return false, err
		}
	}
	s.answerBad("CLIENT_ERROR " + invalid.Reason + lineEnd)
	return invalid.SkipBytes < 0, nil
}

// answerStats answers by one line for each statistic of a kind. To an unknown kind it answers ERROR, as to any
// unknown command.
func (s *session) answerStats(kind string) {
	stats := s.host.Stats(kind)
	if stats == nil {
		s.answerBad("ERROR" + lineEnd)
		return
	}
	var text strings.Builder
	for _, stat := range stats {
		text.WriteString("STAT " + stat.Name + " " + stat.Value + lineEnd)
	}
	s.answerGood(text.String() + "END" + lineEnd)
}

// handleRequest reads a request's value, if it has one, and gives the request to the core.
func (s *session) handleRequest(command *meta.Command) (lost bool, err error) {
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
	r := &reply{host: s.host, id: command.ID, bodyLen: bodyLen}
	command.HeaderRoom = meta.AnswerHeaderRoom(command.ID)
	s.conn.Submit(&command.Request, &r.Slot, r)
	if r.InFlight == nil {
		r.Release()
	}
	if r.InFlight == nil && r.kind == request.Invalid {
		s.badCommands++
	} else {
		s.badCommands = 0
	}
	return false, nil
}

// rejectBody skips a body for which there is no budget, and rejects its command.
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
