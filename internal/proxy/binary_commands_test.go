package proxy_test

import (
	"fmt"
	"strings"
	"testing"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/fake/rawclient"
)

// expectedResponse is the opaque and the status of a response.
type expectedResponse struct {
	opaque uint32
	status codec.Status
}

// quietPipeline returns 200 quiet commands with a Noop in the middle and at the end, and the responses to expect.
func quietPipeline() (text []byte, want []expectedResponse) {
	expect := func(opaque uint32, status codec.Status) { want = append(want, expectedResponse{opaque, status}) }
	for i := range uint32(200) {
		opaque := i + 1
		key := fmt.Sprint("k", i%20)
		switch {
		case i == 100:
			text = append(text, emptyCommand(codec.Noop, opaque)...)
			expect(opaque, codec.OK)
		case i%10 == 3: // misses are silent
			text = rawclient.AppendKeyOnly(text, codec.GetQ, fmt.Sprint("none", i), opaque)
		case i%10 == 5:
			text = append(text, emptyCommand(codec.GetQ, opaque)...)
			expect(opaque, codec.InvalidArguments)
		case i%10 == 6:
			text = rawclient.AppendKeyOnly(text, codec.DeleteQ, key, opaque)
			expect(opaque, codec.NotSupported)
		case i%10 == 7:
			text = rawclient.AppendKeyOnly(text, 0x77, key, opaque)
			expect(opaque, codec.UnknownCommand)
		case i%10 == 8: // successful writes are silent
			text = rawclient.AppendSet(text, codec.SetQ, key, "x", opaque, 0)
		case i%10 == 9:
			text = rawclient.AppendSet(text, codec.SetQ, key, "x", opaque, 99)
			expect(opaque, codec.Exists)
		default:
			text = rawclient.AppendKeyOnly(text, codec.GetKQ, key, opaque)
			expect(opaque, codec.OK)
		}
	}
	text = append(text, emptyCommand(codec.Noop, 999)...)
	expect(999, codec.OK)
	return text, want
}

// TestQuietPipeline checks that the responses to 200 quiet commands sent at once (hits, misses, rejections, errors and
// unsupported commands) come in order, and that commands that must stay silent get no response.
func TestQuietPipeline(t *testing.T) {
	f := startNodes(t)
	c := startProxy(t, f.addresses, "[binary]\n").dial()
	for i := range 200 { // a proxy that has just started rejects some requests of a large burst
		c.send(getCommand(fmt.Sprint("k", i%20), 1))
		c.next(codec.OK, 1)
	}
	text, want := quietPipeline()
	go c.send(text)
	for _, w := range want {
		r := c.next(w.status, w.opaque)
		if r.Opcode == codec.GetKQ && (r.KeyText == "" || !strings.HasPrefix(r.Value, r.KeyText+" ")) {
			t.Errorf("opaque %d: %q under %q", r.Opaque, r.Value, r.KeyText)
		}
	}
}

// supportedOpcodes maps the supported opcodes to the statuses that TestEveryOpcodeIsAnswered expects.
var supportedOpcodes = map[codec.Opcode]codec.Status{
	codec.Get: codec.OK, codec.GetK: codec.OK, codec.Set: codec.OK, codec.Noop: codec.OK, codec.Version: codec.OK,
	codec.SASLList: codec.OK, codec.SASLAuth: codec.AuthError, codec.SASLStep: codec.AuthError,
	codec.GetQ: codec.OK, codec.GetKQ: codec.OK,
}

// TestEveryOpcodeIsAnswered checks that each opcode except SetQ and QuitQ, whose success is silent, gets a response,
// and that the next command on the same connection is still parsed correctly.
func TestEveryOpcodeIsAnswered(t *testing.T) {
	f := startNodes(t)
	c := startProxy(t, f.addresses, "[binary]\n").dial()
	for i := range 256 {
		op := codec.Opcode(i)
		switch op {
		case codec.Quit, codec.QuitQ, codec.Stat, codec.SetQ:
			continue
		}
		c.send(commandOf(op, uint32(i)))
		c.next(expectedStatus(op), uint32(i))
	}
	c.send(emptyCommand(codec.Stat, 7))
	for {
		if r := c.next(codec.OK, 7); r.KeyText == "" {
			break
		}
	}
	c.send(emptyCommand(codec.Quit, 8))
	c.next(codec.OK, 8)
	c.expectEnd()
}

// commandOf returns a well-formed command of an opcode.
func commandOf(op codec.Opcode, opaque uint32) []byte {
	h := codec.Header{Opcode: op, Opaque: opaque}
	body := ""
	switch op {
	case codec.Noop, codec.Version, codec.SASLList, codec.Flush, codec.FlushQ:
	default:
		body, h.KeyLen = "k", 1
	}
	switch op {
	case codec.Set, codec.Add, codec.AddQ, codec.Replace, codec.ReplaceQ:
		h.ExtrasLen = 8
	case codec.Increment, codec.IncrementQ, codec.Decrement, codec.DecrementQ:
		h.ExtrasLen = 20
	case codec.Touch, codec.GAT, codec.GATQ:
		h.ExtrasLen = 4
	}
	body = strings.Repeat("\x00", h.ExtrasLen) + body
	h.BodyLen = len(body)
	return append(h.Append(nil, codec.RequestMagic), body...)
}

func expectedStatus(op codec.Opcode) codec.Status {
	if status, supported := supportedOpcodes[op]; supported {
		return status
	}
	if op.Handling() == codec.Unsupported {
		return codec.NotSupported
	}
	return codec.UnknownCommand
}

// TestUnreadableBinaryCommands checks that a command with an invalid header gets a response with its opaque, that an
// incomplete command gets none, and that the connection is closed in both cases. Other clients are still served.
func TestUnreadableBinaryCommands(t *testing.T) {
	f := startNodes(t)
	p := startProxy(t, f.addresses, "[binary]\n")
	huge := codec.Header{Opcode: codec.Set, KeyLen: 1, ExtrasLen: 8, BodyLen: 1<<32 - 1, Opaque: 5}
	beyond := codec.Header{Opcode: codec.Get, KeyLen: 9, BodyLen: 3, Opaque: 5}
	for _, k := range []struct {
		name   string
		text   []byte
		status codec.Status
		opaque uint32 // 0 where no response is expected
	}{
		{"a body of 4 GB", huge.Append(nil, codec.RequestMagic), codec.TooLarge, 5},
		{"a key beyond the body", beyond.Append(nil, codec.RequestMagic), codec.InvalidArguments, 5},
		{"text behind a command", append(emptyCommand(codec.Noop, 6), "mg k v O1 Pc=read\r\n"...), codec.OK, 6},
		{"half a header", emptyCommand(codec.Noop, 7)[:11], 0, 0},
		{"half a body", getCommand("a key that goes on", 8)[:30], 0, 0},
	} {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			c := dialBinary(t, p.server.Address())
			c.send(k.text)
			if k.opaque != 0 {
				c.next(k.status, k.opaque)
			}
			c.expectEnd()
		})
	}
	c := p.dial()
	c.send(getCommand("k", 3), getCommand("k", 3)) // the same opaque twice at once
	c.next(codec.OK, 3)
	c.next(codec.OK, 3)
}
