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

// handleGet reads a get and submits it to the core.
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
	if !rules.Routes.Route(in, false, s.routeClient()) {
		s.answerStatus(h, codec.NotSupported)
		return nil
	}
	s.submit(in, r)
	return nil
}

// handleSet reads a set and submits it to the core. Its class is unknown until its key has been read, so even a set
// that is not keyed may use the part of the body budget that is reserved for keyed writes.
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

// routeSet sets the class, tenant and timeout of a write from the routing table. For a keyed class it also sets the
// idempotency key, and limits the timeout to the remaining validity of the ticket. It returns a status other than OK
// if the write can't be executed.
func (s *session) routeSet(in *request.Request, cas uint64, rules *Rules) codec.Status {
	hasTicket := cas != 0
	if !validKey(in.Key) {
		return codec.InvalidArguments
	}
	if !rules.Routes.Route(in, hasTicket, s.routeClient()) {
		return codec.NotSupported
	}
	window := rules.DedupWindows[in.Class]
	isKeyed := window > 0
	switch {
	case !isKeyed && hasTicket:
		return codec.NotSupported // a compare-and-swap, which nodes do not support
	case !isKeyed:
		return codec.OK
	case !hasTicket:
		return codec.InvalidArguments // without a ticket, nodes could not drop duplicates of the write
	}
	remaining := ticket.Remaining(cas, time.Now(), window)
	if remaining <= 0 {
		return codec.Exists // may be a late duplicate; the client has to read again for a new ticket
	}
	in.Timeout = min(in.Timeout, remaining)
	in.IdempotencyKey = ticket.IdempotencyKey(cas, in.Key, in.Value)
	return codec.OK
}

// submit sets the request's id and submits it to the core. If the core does not accept it, submit releases the
// request's body budget.
func (s *session) submit(in *request.Request, r *reply) {
	in.ID = s.frontend.idPrefix + strconv.FormatUint(s.frontend.lastID.Add(1), 36)
	if !s.conn.Submit(in, &r.Slot, r) {
		r.Release()
	}
}

// routeClient returns the listener and user that the routing table matches for the session's requests.
func (s *session) routeClient() route.Client {
	client := route.Client{Listener: s.listener}
	if s.user != nil {
		client.User = s.user.Name
	}
	return client
}

// validKey reports whether a key can be sent to nodes in any dialect.
func validKey(key string) bool {
	const del = 0x7f
	for i := range len(key) {
		if key[i] <= ' ' || key[i] == del {
			return false
		}
	}
	return utf8.ValidString(key)
}
