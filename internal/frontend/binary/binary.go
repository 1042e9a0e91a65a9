// Package binary serves clients that speak the memcached binary protocol. What such a client can't say (class,
// tenant, timeout, id, idempotency key) comes from the routing table and, for writes, from the ticket that its
// last read returned.
//
// Invariants:
//
//  1. Answers come in the order of the commands. The success of a quiet command (of a get: its miss) is not
//     answered, all else is.
//  2. A write reaches a keyed class only with a valid ticket, under a key made of it; so its repeat through any
//     proxy is dropped or rejected.
//  3. Where users are configured, nothing but SASL, VERSION, NOOP and QUIT is carried out for a client that has
//     not authenticated as one of them, as the users' file in force has them.
//  4. No length is used before the codec has checked it, and a body is read only within the budget.
//
// A session belongs to its connection's reader. The package starts no goroutine; a [Frontend] is safe for
// concurrent use.
package binary

import (
	crand "crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/core"
	"mulleinpier/internal/frontend"
	"mulleinpier/internal/route"
	"mulleinpier/internal/sasl"
)

// protocolVersion is the answer to VERSION: clients deduce from it what the server supports.
const protocolVersion = "1.6.0"

// saslMechanisms is the answer to SASL LIST MECHS.
const saslMechanisms = "PLAIN"

// Rules are the configuration of binary clients. They are replaced as a whole.
type Rules struct {
	Routes       *route.Table
	DedupWindows map[string]time.Duration // of keyed classes, by name
	Users        *sasl.Users              // nil where clients need not authenticate
}

// Frontend is what all binary clients of a proxy have in common.
type Frontend struct {
	rules    atomic.Pointer[Rules] // nil while the frontend is off
	idPrefix string                // of request ids; no other run of any proxy has it
	lastID   atomic.Uint64
	stats    func(kind string) []core.Stat

	mu      sync.Mutex
	guesses *sasl.GuessLimiter // guarded by mu

	loginSlot     chan struct{} // one login is checked at a time
	waitingLogins atomic.Int32  // the one being checked included
}

// New returns a Frontend without rules, which serves nobody yet. stats returns the statistics of a kind, as
// [frontend.Host.Stats] does.
func New(stats func(kind string) []core.Stat) *Frontend {
	var random [8]byte
	crand.Read(random[:])
	return &Frontend{
		idPrefix:  "b" + hex.EncodeToString(random[:]) + "-",
		stats:     stats,
		guesses:   sasl.NewGuessLimiter(),
		loginSlot: make(chan struct{}, 1),
	}
}

// SetRules puts rules into force for what comes from now on; nil turns the frontend off.
func (f *Frontend) SetRules(rules *Rules) { f.rules.Store(rules) }

// Enabled reports whether the frontend serves anybody.
func (f *Frontend) Enabled() bool { return f.rules.Load() != nil }

// session is the dialect on one connection.
type session struct {
	frontend     *Frontend
	host         *frontend.Host
	conn         *frontend.Conn
	listener     string
	user         *sasl.User // nil until the client has authenticated
	failedLogins int
}

// NewSession starts the dialect on a connection to a listener.
func (f *Frontend) NewSession(host *frontend.Host, c *frontend.Conn, listener string) frontend.Session {
	return &session{frontend: f, host: host, conn: c, listener: listener}
}

// TimeoutAnswer implements frontend.Session. A command that is not complete has no opaque to answer with.
func (s *session) TimeoutAnswer() []byte { return nil }

// ServeCommand implements frontend.Session.
func (s *session) ServeCommand() (lost bool, err error) {
	h, err := s.readHeader()
	switch {
	case errors.Is(err, codec.ErrBadLength):
		status := codec.InvalidArguments
		if h.BodyLen > codec.MaxSkippedBody {
			status = codec.TooLarge
		}
		s.answerStatus(&h, status)
		return true, nil
	case errors.Is(err, codec.ErrBadMagic): // no command, and nothing to answer with
		return true, nil
	case err != nil:
		return false, err
	}
	rules := s.frontend.rules.Load()
	if rules == nil { // it was turned off since the connection was opened
		return true, s.skipAndAnswer(&h, codec.NotSupported)
	}
	if !s.mayUse(h.Opcode, rules) {
		return false, s.skipAndAnswer(&h, codec.AuthError)
	}
	if status := h.Validate(); status != codec.OK {
		return false, s.skipAndAnswer(&h, status)
	}
	return s.handleCommand(&h, rules)
}

// readHeader reads a command's header. It returns codec.ErrBadMagic for what is none.
func (s *session) readHeader() (codec.Header, error) {
	in := s.conn.In
	first, err := in.Peek(1)
	if err != nil {
		return codec.Header{}, err
	}
	if first[0] != codec.RequestMagic {
		return codec.Header{}, codec.ErrBadMagic
	}
	text, err := in.Peek(codec.HeaderLen)
	if err != nil {
		return codec.Header{}, err
	}
	h, err := codec.ParseHeader(text, codec.RequestMagic)
	in.Discard(codec.HeaderLen) // can't fail: it has been peeked at
	return h, err
}

// handleCommand carries out a command whose header is valid.
func (s *session) handleCommand(h *codec.Header, rules *Rules) (lost bool, err error) {
	switch h.Opcode {
	case codec.Get, codec.GetQ, codec.GetK, codec.GetKQ:
		return false, s.handleGet(h, rules)
	case codec.Set, codec.SetQ:
		return false, s.handleSet(h, rules)
	case codec.Noop:
		return false, s.skipAndAnswer(h, codec.OK)
	case codec.Version:
		s.answerText(h, protocolVersion)
		return false, nil
	case codec.Quit:
		return true, s.skipAndAnswer(h, codec.OK)
	case codec.QuitQ:
		return true, nil
	case codec.Stat:
		return false, s.handleStat(h)
	case codec.SASLList:
		s.answerText(h, saslMechanisms)
		return false, nil
	}
	return s.handleLogin(h, rules)
}

// answer answers a command that is no request.
func (s *session) answer(text []byte) { s.conn.AddSlot(new(frontend.Slot)).Finish(text) }

// answerStatus answers a command by a status.
func (s *session) answerStatus(h *codec.Header, status codec.Status) {
	s.answer(codec.AppendStatus(nil, h, status, 0))
}

// skipAndAnswer skips a command's body and answers by a status.
func (s *session) skipAndAnswer(h *codec.Header, status codec.Status) error {
	if _, err := s.conn.In.Discard(h.BodyLen); err != nil {
		return err
	}
	s.answerStatus(h, status)
	return nil
}

// answerText answers a command by a text.
func (s *session) answerText(h *codec.Header, text string) {
	head := codec.Header{Opcode: h.Opcode, BodyLen: len(text), Opaque: h.Opaque}
	s.answer(append(head.Append(nil, codec.ResponseMagic), text...))
}

// handleStat answers by one response for each statistic, and an empty one. The key names their kind.
func (s *session) handleStat(h *codec.Header) error {
	if h.BodyLen > codec.MaxKey {
		return s.skipAndAnswer(h, codec.NotFound)
	}
	kind := make([]byte, h.BodyLen)
	if _, err := io.ReadFull(s.conn.In, kind); err != nil {
		return err
	}
	stats := s.frontend.stats(string(kind))
	if stats == nil {
		s.answerStatus(h, codec.NotFound)
		return nil
	}
	var text []byte
	for _, stat := range stats {
		head := codec.Header{
			Opcode:  h.Opcode,
			KeyLen:  len(stat.Name),
			BodyLen: len(stat.Name) + len(stat.Value),
			Opaque:  h.Opaque,
		}
		text = head.Append(text, codec.ResponseMagic)
		text = append(text, stat.Name...)
		text = append(text, stat.Value...)
	}
	last := codec.Header{Opcode: h.Opcode, Opaque: h.Opaque}
	s.answer(last.Append(text, codec.ResponseMagic))
	return nil
}
