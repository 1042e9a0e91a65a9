// Package binary serves clients that speak the memcached binary protocol. The protocol has no fields for class,
// tenant, timeout, id and idempotency key. The routing table supplies the class, tenant and timeout, and the proxy
// generates the id. The idempotency key of a keyed write is derived from the ticket that the client's last read
// returned.
//
// Invariants:
//
//  1. Answers are sent in the order of the commands. A quiet command is not answered if it succeeds, a quiet get if it
//     misses; everything else is answered.
//  2. A write reaches a keyed class only with a valid ticket, and with an idempotency key derived from it, so a
//     duplicate of the write through any proxy is dropped or rejected.
//  3. If users are configured, clients that have not authenticated as a user in the current users file can only
//     execute SASL, VERSION, NOOP and QUIT commands.
//  4. No length is used before the codec has validated it, and bodies are read only within the budget.
//
// A session is used only by its connection's reader. The package starts no goroutines; a [Frontend] is safe for
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

// protocolVersion is the answer to VERSION, from which clients infer the features of the server.
const protocolVersion = "1.6.0"

// saslMechanisms is the answer to SASL LIST MECHS.
const saslMechanisms = "PLAIN"

// Rules are the settings for binary clients. A Rules must not be changed after [Frontend.SetRules].
type Rules struct {
	Routes       *route.Table
	DedupWindows map[string]time.Duration // dedup windows of the keyed classes, by class name
	Users        *sasl.Users              // nil if clients need not authenticate
}

// Frontend is the state that all binary clients of a proxy share.
type Frontend struct {
	rules    atomic.Pointer[Rules] // nil while the frontend is disabled
	idPrefix string                // prefix of request ids; random, to differ between proxies and between restarts
	lastID   atomic.Uint64
	stats    func(kind string) []core.Stat

	mu      sync.Mutex
	guesses *sasl.GuessLimiter // guarded by mu

	loginSlot     chan struct{} // held while a login is checked, so that only one is checked at a time
	waitingLogins atomic.Int32  // including the login being checked
}

// New returns a Frontend without rules, which is disabled until [Frontend.SetRules] is called. stats returns the
// statistics of a kind, as [frontend.Host.Stats] does.
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

// SetRules replaces the rules for commands read from now on; nil disables the frontend.
func (f *Frontend) SetRules(rules *Rules) { f.rules.Store(rules) }

// Enabled reports whether the frontend has rules and so serves clients.
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

// NewSession returns the session of a connection that was accepted by the named listener.
func (f *Frontend) NewSession(host *frontend.Host, c *frontend.Conn, listener string) frontend.Session {
	return &session{frontend: f, host: host, conn: c, listener: listener}
}

// TimeoutAnswer implements frontend.Session. It returns nil: an incomplete command is not answered, and if its header
// is incomplete there is no opaque to answer with.
func (s *session) TimeoutAnswer() []byte { return nil }

// ServeCommand implements frontend.Session.
func (s *session) ServeCommand() (stop bool, err error) {
	h, err := s.readHeader()
	switch {
	case errors.Is(err, codec.ErrBadLength):
		status := codec.InvalidArguments
		if h.BodyLen > codec.MaxSkippedBody {
			status = codec.TooLarge
		}
		s.answerStatus(&h, status)
		return true, nil
	case errors.Is(err, codec.ErrBadMagic): // not a command, so there is no opaque to answer with
		return true, nil
	case err != nil:
		return false, err
	}
	rules := s.frontend.rules.Load()
	if rules == nil { // the frontend was disabled after the connection was opened
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

// readHeader reads a command's header. It returns codec.ErrBadMagic if the first byte is not that of a request.
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

// handleCommand executes a command whose header is valid.
func (s *session) handleCommand(h *codec.Header, rules *Rules) (stop bool, err error) {
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

// answer sends the answer to a command that was not submitted to the core.
func (s *session) answer(text []byte) { s.conn.AddSlot(new(frontend.Slot)).Finish(text) }

// answerStatus answers a command with a status.
func (s *session) answerStatus(h *codec.Header, status codec.Status) {
	s.answer(codec.AppendStatus(nil, h, status, 0))
}

// skipAndAnswer skips a command's body and answers with a status.
func (s *session) skipAndAnswer(h *codec.Header, status codec.Status) error {
	if _, err := s.conn.In.Discard(h.BodyLen); err != nil {
		return err
	}
	s.answerStatus(h, status)
	return nil
}

// answerText answers a command with a text as its body.
func (s *session) answerText(h *codec.Header, text string) {
	head := codec.Header{Opcode: h.Opcode, BodyLen: len(text), Opaque: h.Opaque}
	s.answer(append(head.Append(nil, codec.ResponseMagic), text...))
}

// handleStat answers a stat command with one response per statistic and an empty one at the end. The command's key is
// the kind of statistics.
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
