package binary

import (
	"encoding/binary"
	"io"
	"strconv"
	"time"
	"unicode/utf8"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/request"
	"mulleinpier/internal/route"
	"mulleinpier/internal/ticket"
)

// handleGet reads a get and gives it to the core.
func (s *session) handleGet(h *codec.Header, rules *Rules) error {
	var buffer [codec.MaxKey]byte
	key := buffer[:h.KeyLen]
	if _, err := io.ReadFull(s.conn.In, key); err != nil {
		return err
	}
	r := &reply{host: s.host, header: *h}
	in := &request.Request{Verb: request.Get, Key: string(key), HeaderRoom: codec.HeaderLen + codec.FlagsLen}
	if h.Opcode.ReturnsKey() {
		r.key = in.Key
		in.HeaderRoom += len(in.Key)
	}
	if !validKey(in.Key) {
		s.answerStatus(h, codec.InvalidArguments)
		return nil
	}
	if !rules.Routes.Route(in, false, s.origin()) {
		s.answerStatus(h, codec.NotSupported)
		return nil
	}
	s.submit(in, r)
	return nil
}

// handleSet reads a set and gives it to the core. It has no class before its key is read, so it may use the part of the
// body budget that is reserved for keyed writes, keyed or not.
func (s *session) handleSet(h *codec.Header, rules *Rules) error {
	if !s.host.BodyBudget.TryAcquire(h.BodyLen) {
		return s.skipAndAnswer(h, codec.Busy)
	}
	r := &reply{host: s.host, header: *h, bodyLen: h.BodyLen}
	body := make([]byte, h.BodyLen)
	if _, err := io.ReadFull(s.conn.In, body); err != nil {
		r.Release()
		return err
	}
	key, value := body[h.ExtrasLen:h.ExtrasLen+h.KeyLen], body[h.ExtrasLen+h.KeyLen:]
	in := &request.Request{Verb: request.Set, Flags: binary.BigEndian.Uint32(body), Key: string(key), Value: value}
	if status := s.routeSet(in, h.CAS, rules); status != codec.OK {
		r.Release()
		s.answerStatus(h, status)
		return nil
	}
	s.submit(in, r)
	return nil
}

// routeSet sets the class of a write, and its idempotency key if it has a ticket. It returns another status than
// OK for a write that can't be carried out.
func (s *session) routeSet(in *request.Request, cas uint64, rules *Rules) codec.Status {
	hasTicket := cas != 0
	if !validKey(in.Key) {
		return codec.InvalidArguments
	}
	if !rules.Routes.Route(in, hasTicket, s.origin()) {
		return codec.NotSupported
	}
	window := rules.DedupWindows[in.Class]
	isKeyed := window > 0
	switch {
	case !isKeyed && hasTicket:
		return codec.NotSupported // it is a real CAS, which no node has
	case !isKeyed:
		return codec.OK
	case !hasTicket:
		return codec.InvalidArguments // no node could drop its repeats
	}
	remaining := ticket.Remaining(cas, time.Now(), window)
	if remaining <= 0 {
		return codec.Exists // it may be a late repeat: the client is to read again
	}
	in.Timeout = min(in.Timeout, remaining)
	in.IdempotencyKey = ticket.IdempotencyKey(cas, in.Key, in.Value)
	return codec.OK
}

// submit gives a request to the core.
func (s *session) submit(in *request.Request, r *reply) {
	in.ID = s.frontend.idPrefix + strconv.FormatUint(s.frontend.lastID.Add(1), 36)
	s.conn.Submit(in, &r.Slot, r)
	if r.InFlight == nil {
		r.Release()
	}
}

// origin returns where the session's requests come from.
func (s *session) origin() route.Client {
	client := route.Client{Listener: s.listener}
	if s.user != nil {
		client.User = s.user.Name
	}
	return client
}

// validKey reports whether a key can be written in every dialect of nodes.
func validKey(key string) bool {
	const del = 0x7f
	for i := range len(key) {
		if key[i] <= ' ' || key[i] == del {
			return false
		}
	}
	return utf8.ValidString(key)
}
