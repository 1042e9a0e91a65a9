package node

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"mulleinpier/internal/binary"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

// readMeta reads a command of the meta protocol. It returns false at the end of the connection, and an error together
// with an answer for what is no command, because the framing may be lost then.
func (n *Node) readMeta(in *bufio.Reader, j *command) (bool, error) {
	line, err := in.ReadSlice('\n')
	if err != nil {
		return false, err
	}
	text, flags := strings.TrimSuffix(string(line), "\r\n"), uint64(0)
	if at := strings.LastIndex(text, " F"); at > 0 { // the one flag that clients may not send
		if f, err := strconv.ParseUint(text[at+2:], 10, 32); err == nil {
			text, flags = text[:at], f
		}
	}
	command, err := meta.ParseCommand(text)
	command.Flags = uint32(flags)
	if err == nil && command.Verb == request.Set {
		body := make([]byte, command.ValueLen+2)
		if _, err := io.ReadFull(in, body); err != nil {
			return false, err
		}
		command.Value = body[:command.ValueLen]
	}
	j.command = command
	switch {
	case err != nil:
		j.answer = []byte("CLIENT_ERROR " + err.Error() + "\r\n")
	case command.Noop:
		j.answer = []byte("MN\r\n")
	case command.Stats:
		j.answer = []byte("ERROR\r\n")
	}
	return true, err
}

// readBinary reads a command of the binary protocol, as readMeta does in the other dialect.
func (n *Node) readBinary(in *bufio.Reader, j *command) (bool, error) {
	b, err := in.Peek(binary.HeaderLen)
	if err != nil {
		return false, err
	}
	h, err := binary.ParseHeader(b, binary.RequestMagic)
	if err != nil {
		return false, err
	}
	in.Discard(binary.HeaderLen) // it has been peeked at
	body := make([]byte, h.BodyLen)
	if _, err := io.ReadFull(in, body); err != nil {
		return false, err
	}
	j.header = h
	j.command.Timeout = -1
	status := h.Validate()
	switch {
	case status == binary.OK && (h.Opcode == binary.Get || h.Opcode == binary.Set):
		j.command.Key = string(body[h.ExtrasLen : h.ExtrasLen+h.KeyLen])
		if h.Opcode == binary.Set {
			j.command.Verb = request.Set
			j.command.Value = body[h.ExtrasLen+h.KeyLen:]
		}
		return true, nil
	case status == binary.OK && h.Opcode != binary.Noop:
		status = binary.NotSupported
	}
	j.answer = binary.AppendStatus(nil, &h, status, 0)
	return true, nil
}

// makeValueLocked is the value of a read: its key, the node and a serial, padded to the size of values. n.mu is held.
func (n *Node) makeValueLocked(c *meta.Command) string {
	n.serial++
	text := fmt.Sprintf("%s %s %d ", c.Key, n.config.Name, n.serial)
	if short := n.config.ValueSize - len(text); short > 0 {
		text += strings.Repeat(".", short)
	}
	return text
}

// makeReceipt is the receipt of a write: a number in the dialect that has no room for more.
func (n *Node) makeReceipt(c *meta.Command) string {
	if !n.config.Binary {
		return n.config.Name + "." + c.ID
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serial++
	return strconv.Itoa(n.serial)
}

// encodeLocked is an answer in the node's dialect. n.mu is held.
func (n *Node) encodeLocked(j *command, kind request.AnswerKind, text, flag string) []byte {
	if n.config.Binary {
		return n.encodeBinaryLocked(j, kind, text)
	}
	id := j.command.ID
	switch kind {
	case request.Value:
		return fmt.Appendf(nil, "VA %d O%s %s%s\r\n%s\r\n", len(text), id, flag, n.loadReportLocked(), text)
	case request.Stored:
		return fmt.Appendf(nil, "HD O%s c%s%s\r\n", id, text, n.loadReportLocked())
	case request.Busy:
		return []byte("SERVER_ERROR busy\r\n")
	case request.NotFound:
		return []byte("EN\r\n")
	case request.Failed:
		return []byte("SERVER_ERROR failed\r\n")
	}
	return []byte{} // nil would stand for no answer yet
}

// binaryStatus are the statuses of answers without a value or receipt.
var binaryStatus = map[request.AnswerKind]binary.Status{
	request.Busy:     binary.Busy,
	request.NotFound: binary.NotFound,
	request.Failed:   binary.InternalError,
}

// encodeBinaryLocked is an answer in the binary protocol. n.mu is held.
func (n *Node) encodeBinaryLocked(j *command, kind request.AnswerKind, text string) []byte {
	const flags = "\x00\x00\x00\x00"
	h := binary.Header{Opcode: j.header.Opcode, Opaque: j.header.Opaque}
	switch kind {
	case request.Value:
		h.ExtrasLen = len(flags)
		h.BodyLen = len(flags) + len(text)
		h.CAS = uint64(n.serial)
		return append(h.Append(nil, binary.ResponseMagic), flags+text...)
	case request.Stored:
		h.CAS, _ = strconv.ParseUint(text, 10, 64)
		return h.Append(nil, binary.ResponseMagic)
	}
	return binary.AppendStatus(nil, &j.header, binaryStatus[kind], 0)
}

// loadReportLocked is the load report at the end of a first line. n.mu is held.
func (n *Node) loadReportLocked() string {
	if !n.config.ReportLoad {
		return ""
	}
	return fmt.Sprintf(" Linflight=%d,x1=%d", n.running+len(n.waiting), n.fetching)
}
