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

// cacheFlag is the flag in the first line of a value that says whether it came from the cache.
type cacheFlag string

const (
	cacheHit  cacheFlag = "h1"
	cacheMiss cacheFlag = "h0"
)

// malformedLength is a value length that no client accepts, in bytes.
const malformedLength = 3_000_000_000

// outcome is an answer before it is encoded in the node's dialect.
type outcome struct {
	kind  request.AnswerKind
	text  string    // the value or the receipt
	cache cacheFlag // of a value
}

// readMeta reads a request of the meta protocol. It returns false if the connection ends first. For a line that cannot
// be parsed, it sets the answer and returns an error, because the start of the next request is unknown.
func (n *Node) readMeta(in *bufio.Reader, r *pendingRequest) (complete bool, err error) {
	line, err := in.ReadSlice('\n')
	if err != nil {
		return false, err
	}
	text, clientFlags := cutClientFlags(strings.TrimSuffix(string(line), "\r\n"))
	command, err := meta.ParseCommand(text)
	command.Flags = clientFlags
	if err == nil && command.Verb == request.Set {
		body := make([]byte, command.ValueLen+len("\r\n"))
		if _, err := io.ReadFull(in, body); err != nil {
			return false, err
		}
		command.Value = body[:command.ValueLen]
	}
	r.command = command
	switch {
	case err != nil:
		r.answer = []byte("CLIENT_ERROR " + err.Error() + "\r\n")
	case command.Noop:
		r.answer = []byte("MN\r\n")
	case command.Stats:
		r.answer = []byte("ERROR\r\n")
	}
	return true, err
}

// cutClientFlags removes the flag F from a line and returns its value. Proxies send it to nodes, but meta.ParseCommand,
// which reads what clients send to proxies, does not accept it.
func cutClientFlags(line string) (rest string, clientFlags uint32) {
	at := strings.LastIndex(line, " F")
	if at <= 0 {
		return line, 0
	}
	value, err := strconv.ParseUint(line[at+len(" F"):], 10, 32)
	if err != nil {
		return line, 0
	}
	return line[:at], uint32(value)
}

// readBinary reads a request of the binary protocol. It returns false if the connection ends first or the header cannot
// be parsed.
func (n *Node) readBinary(in *bufio.Reader, r *pendingRequest) (complete bool, err error) {
	encoded, err := in.Peek(binary.HeaderLen)
	if err != nil {
		return false, err
	}
	header, err := binary.ParseHeader(encoded, binary.RequestMagic)
	if err != nil {
		return false, err
	}
	in.Discard(binary.HeaderLen) // cannot fail: Peek has buffered the header
	body := make([]byte, header.BodyLen)
	if _, err := io.ReadFull(in, body); err != nil {
		return false, err
	}
	r.header = header
	r.command.Timeout = -1 // the binary protocol has no timeouts
	status := header.Validate()
	switch {
	case status == binary.OK && (header.Opcode == binary.Get || header.Opcode == binary.Set):
		r.command.Key = string(body[header.ExtrasLen : header.ExtrasLen+header.KeyLen])
		if header.Opcode == binary.Set {
			r.command.Verb = request.Set
			r.command.Value = body[header.ExtrasLen+header.KeyLen:]
		}
		return true, nil
	case status == binary.OK && header.Opcode != binary.Noop:
		status = binary.NotSupported
	}
	r.answer = binary.AppendStatus(nil, &header, status, 0)
	return true, nil
}

// valueOutcome returns the answer to a read: key, node and a serial number, padded to ValueSize. n.mu is held.
func (n *Node) valueOutcome(r *pendingRequest, cache cacheFlag) outcome {
	n.serial++
	text := fmt.Sprintf("%s %s %d ", r.command.Key, n.config.Name, n.serial)
	if padding := n.config.ValueSize - len(text); padding > 0 {
		text += strings.Repeat(".", padding)
	}
	return outcome{kind: request.Value, text: text, cache: cache}
}

// receipt returns the receipt of a write. In the binary protocol it is a number, because it is sent as the CAS.
func (n *Node) receipt(r *pendingRequest) string {
	if !n.config.Binary {
		return n.Name() + "." + r.command.ID
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serial++
	return strconv.Itoa(n.serial)
}

// encode returns an answer in the node's dialect. n.mu is held.
func (n *Node) encode(r *pendingRequest, result outcome) []byte {
	if n.config.Binary {
		return n.encodeBinary(r, result)
	}
	return n.encodeMeta(r, result)
}

func (n *Node) encodeMeta(r *pendingRequest, result outcome) []byte {
	id, text := r.command.ID, result.text
	switch result.kind {
	case request.Value:
		return fmt.Appendf(nil, "VA %d O%s %s%s\r\n%s\r\n", len(text), id, result.cache, n.loadReport(), text)
	case request.Stored:
		return fmt.Appendf(nil, "HD O%s c%s%s\r\n", id, text, n.loadReport())
	case request.Busy:
		return []byte("SERVER_ERROR busy\r\n")
	case request.NotFound:
		return []byte("EN\r\n")
	default:
		return []byte("SERVER_ERROR failed\r\n")
	}
}

func (n *Node) encodeBinary(r *pendingRequest, result outcome) []byte {
	header := binary.Header{Opcode: r.header.Opcode, Opaque: r.header.Opaque}
	switch result.kind {
	case request.Value:
		const clientFlags = "\x00\x00\x00\x00"
		header.ExtrasLen = len(clientFlags)
		header.BodyLen = len(clientFlags) + len(result.text)
		header.CAS = uint64(n.serial)
		return append(header.Append(nil, binary.ResponseMagic), clientFlags+result.text...)
	case request.Stored:
		header.CAS, _ = strconv.ParseUint(result.text, 10, 64)
		return header.Append(nil, binary.ResponseMagic)
	case request.Busy:
		return binary.AppendStatus(nil, &r.header, binary.Busy, 0)
	case request.NotFound:
		return binary.AppendStatus(nil, &r.header, binary.NotFound, 0)
	default:
		return binary.AppendStatus(nil, &r.header, binary.InternalError, 0)
	}
}

// malformedAnswer returns an answer that a client cannot parse.
func (n *Node) malformedAnswer(r *pendingRequest) []byte {
	if n.config.Binary {
		header := binary.Header{
			Opcode:    r.header.Opcode,
			Opaque:    r.header.Opaque + 1,
			ExtrasLen: 4,
			BodyLen:   malformedLength,
		}
		return append(header.Append(nil, binary.ResponseMagic), "noise"...)
	}
	return fmt.Appendf(nil, "VA %d O%s\r\n\x00noise", malformedLength, r.command.ID)
}

// loadReport returns the part of an answer's first line that reports the node's load, "" if the node reports none.
// n.mu is held.
func (n *Node) loadReport() string {
	if !n.config.ReportLoad {
		return ""
	}
	return fmt.Sprintf(" Linflight=%d,x1=%d", n.running+len(n.queue), n.fetching)
}
