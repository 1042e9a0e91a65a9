// Package binary is the front for clients that speak the memcached binary protocol. What
// such a client can't say (class, tenant, wait, id, idempotency key) comes from the
// routing table and, for writes, from the ticket that its last read brought.
//
// Invariants:
//
//  1. Answers come in the order of the commands. A quiet command's success (of a get: its
//     miss) is not told, all else is.
//  2. A write reaches a keyed class only with a ticket that lives, under a key made of it;
//     so its repeat through any proxy is dropped or refused.
//  3. Where users are configured, nothing but SASL, VERSION, NOOP and QUIT is carried out
//     for a client that has not proved to be one of them, as the file in force has them.
//  4. No length is believed before the codec has checked it, and a body is read only
//     within the budget.
package binary

import (
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/core"
	"mulleinpier/internal/frontend"
	"mulleinpier/internal/request"
	"mulleinpier/internal/route"
	"mulleinpier/internal/sasl"
	"mulleinpier/internal/ticket"
)

// Rules are what a configuration says of binary clients. They are replaced whole.
type Rules struct {
	Routes       *route.Table
	DedupWindows map[string]time.Duration // of keyed classes, by name
	Users        *sasl.Users              // nil where anybody may come
}

const (
	// A response of PLAIN is no longer than a name, a secret and what is between them.
	maxPlainResponse = 2*sasl.MaxName + sasl.MaxSecret + 2
	// A connection that guesses wrong so often is closed.
	maxFailedLogins = 3
	// Logins that wait for the one being looked at. Each costs milliseconds of a
	// proxy's one core: guessers must not keep it from requests, and tills that find
	// no place are told to come again.
	maxWaitingLogins = 16
)

// Frontend is what all binary clients of a proxy have in common.
type Frontend struct {
	rules    atomic.Pointer[Rules]
	idPrefix string // of ids: no other proxy's, nor another run's of this one
	lastID   atomic.Uint64
	stats    func(kind string) []core.Stat

	mu      sync.Mutex
	guesses *sasl.GuessLimiter

	loginSlot     chan struct{} // one place
	waitingLogins atomic.Int32
}

// New returns a Front without rules, which serves nobody yet. stats are the figures of a
// kind, as [front.Host] has them.
func New(stats func(kind string) []core.Stat) *Frontend {
	var random [8]byte
	crand.Read(random[:])
	return &Frontend{idPrefix: "b" + hex.EncodeToString(random[:]) + "-", stats: stats, guesses: sasl.NewGuessLimiter(),
		loginSlot: make(chan struct{}, 1)}
}

// SetRules puts rules into force for what comes from now on; nil turns the front off.
func (f *Frontend) SetRules(r *Rules) { f.rules.Store(r) }

// Enabled tells whether the front serves anybody.
func (f *Frontend) Enabled() bool { return f.rules.Load() != nil }

// session is the dialect on one connection.
type session struct {
	front        *Frontend
	host         *frontend.Host
	conn         *frontend.Conn
	listener     string
	user         *sasl.User // nil until it has proved to be one
	failedLogins int
}

// NewSession begins a session of a client that came to a listener.
func (f *Frontend) NewSession(host *frontend.Host, c *frontend.Conn, listener string) frontend.Session {
	return &session{front: f, host: host, conn: c, listener: listener}
}

// TimeoutAnswer implements front.Session. Half a command has no opaque to answer by.
func (s *session) TimeoutAnswer() []byte { return nil }

// reply is the place of a request's answer.
type reply struct {
	frontend.Slot
	host    *frontend.Host
	header  codec.Header // of the command
	key     string       // of a get that its answer names
	bodyLen int          // of its body, as budgeted
}

// Release implements core.Reply.
func (r *reply) Release() { r.host.BodyBudget.Release(r.bodyLen) }

// Finish implements core.Reply.
func (r *reply) Finish(a *request.Answer) {
	quiet := r.header.Opcode.Quiet()
	switch a.Kind {
	case request.Value:
		var room [codec.HeaderLen + 4 + codec.MaxKey]byte
		h := codec.Header{Opcode: r.header.Opcode, KeyLen: len(r.key), ExtrasLen: 4, BodyLen: 4 + len(r.key) + a.ValueLen(), Opaque: r.header.Opaque,
			CAS: ticket.New(time.Now(), rand.Uint64())}
		head := binary.BigEndian.AppendUint32(h.Append(room[:0], codec.ResponseMagic), a.Flags)
		r.Slot.FinishValue(a.Frame(append(head, r.key...), nil), func() []byte {
			return codec.AppendStatus(nil, &r.header, codec.OutOfMemory, 0)
		})
	case request.Stored:
		if quiet {
			r.FinishSilently()
			return
		}
		h := codec.Header{Opcode: r.header.Opcode, Opaque: r.header.Opaque, CAS: receiptCAS(a.Receipt)}
		r.Slot.Finish(h.Append(nil, codec.ResponseMagic))
	case request.NotFound:
		switch {
		case quiet:
			r.FinishSilently()
		case r.key != "":
			h := codec.Header{Opcode: r.header.Opcode, KeyLen: len(r.key), Status: codec.NotFound, BodyLen: len(r.key), Opaque: r.header.Opaque}
			r.Slot.Finish(append(h.Append(nil, codec.ResponseMagic), r.key...))
		default:
			r.status(codec.NotFound, 0)
		}
	case request.Busy:
		r.status(codec.Busy, a.RetryAfter)
	case request.Invalid:
		r.status(codec.InvalidArguments, 0)
	default:
		r.status(codec.InternalError, 0)
	}
}

func (r *reply) status(status codec.Status, after time.Duration) {
	r.Slot.Finish(codec.AppendStatus(nil, &r.header, status, retryAfterMillis(after)))
}

// retryAfterMillis is a wait in whole milliseconds, 0 for none.
func retryAfterMillis(after time.Duration) int64 {
	if after <= 0 {
		return 0
	}
	return max(after.Milliseconds(), 1)
}

// receiptCAS is a receipt as a CAS has room for it: its number, if it is one.
func receiptCAS(text string) uint64 {
	if n, err := strconv.ParseUint(text, 10, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

func (s *session) answer(text []byte) { s.conn.AddSlot(new(frontend.Slot)).Finish(text) }

// skipAndAnswer passes over a command's body and answers by a status.
func (s *session) skipAndAnswer(h *codec.Header, status codec.Status) (bool, error) {
	if _, err := s.conn.In.Discard(h.BodyLen); err != nil {
		return false, err
	}
	s.answer(codec.AppendStatus(nil, h, status, 0))
	return false, nil
}

// allowedUnauthenticated tells whether a command is carried out for whoever sends it.
func allowedUnauthenticated(o codec.Opcode) bool {
	switch o {
	case codec.SASLList, codec.SASLAuth, codec.SASLStep, codec.Version, codec.Noop, codec.Quit, codec.QuitQ:
		return true
	}
	return false
}

// ServeCommand implements front.Session.
func (s *session) ServeCommand() (lost bool, err error) {
	in := s.conn.In
	first, err := in.Peek(1)
	if err != nil {
		return false, err
	}
	if first[0] != codec.RequestMagic {
		return true, nil // no command, and nothing that it could be answered by
	}
	b, err := in.Peek(codec.HeaderLen)
	if err != nil {
		return false, err
	}
	h, err := codec.ParseHeader(b, codec.RequestMagic)
	in.Discard(codec.HeaderLen) // it has been peeked at
	if errors.Is(err, codec.ErrBadLength) {
		status := codec.InvalidArguments
		if h.BodyLen > codec.MaxSkippedBody {
			status = codec.TooLarge
		}
		s.answer(codec.AppendStatus(nil, &h, status, 0))
		return true, nil
	} else if err != nil {
		return true, nil
	}
	rules := s.front.rules.Load()
	if rules == nil { // turned off since
		_, err := s.skipAndAnswer(&h, codec.NotSupported)
		return true, err
	}
	if rules.Users != nil && !allowedUnauthenticated(h.Opcode) {
		if s.user != nil {
			s.user = rules.Users.Revalidate(s.user) // its secret may have changed, or it may be gone
		}
		if s.user == nil {
			return s.skipAndAnswer(&h, codec.AuthError)
		}
	}
	if status := h.Validate(); status != codec.OK {
		return s.skipAndAnswer(&h, status)
	}
	switch h.Opcode {
	case codec.Get, codec.GetQ, codec.GetK, codec.GetKQ:
		return false, s.handleGet(&h, rules)
	case codec.Set, codec.SetQ:
		return false, s.handleSet(&h, rules)
	case codec.Noop:
		return s.skipAndAnswer(&h, codec.OK)
	case codec.Version:
		s.answerText(&h, "1.6.0") // clients look at it for what the protocol has
		return false, nil
	case codec.Quit:
		_, err := s.skipAndAnswer(&h, codec.OK)
		return true, err
	case codec.QuitQ:
		return true, nil
	case codec.Stat:
		return false, s.handleStat(&h)
	case codec.SASLList:
		s.answerText(&h, "PLAIN")
		return false, nil
	}
	return s.login(&h, rules)
}

// answerText answers a command by a text.
func (s *session) answerText(h *codec.Header, text string) {
	out := codec.Header{Opcode: h.Opcode, BodyLen: len(text), Opaque: h.Opaque}
	s.answer(append(out.Append(nil, codec.ResponseMagic), text...))
}

// handleStat answers by one response a figure, and an empty one. The key names their kind.
func (s *session) handleStat(h *codec.Header) error {
	if h.BodyLen > codec.MaxKey {
		_, err := s.skipAndAnswer(h, codec.NotFound)
		return err
	}
	kind := make([]byte, h.BodyLen)
	if _, err := io.ReadFull(s.conn.In, kind); err != nil {
		return err
	}
	list := s.front.stats(string(kind))
	if list == nil {
		s.answer(codec.AppendStatus(nil, h, codec.NotFound, 0))
		return nil
	}
	var out []byte
	for _, x := range list {
		one := codec.Header{Opcode: h.Opcode, KeyLen: len(x.Name), BodyLen: len(x.Name) + len(x.Value), Opaque: h.Opaque}
		out = append(append(one.Append(out, codec.ResponseMagic), x.Name...), x.Value...)
	}
	last := codec.Header{Opcode: h.Opcode, Opaque: h.Opaque}
	s.answer(last.Append(out, codec.ResponseMagic))
	return nil
}

// validKey tells whether a key can be said in every dialect of a node.
func validKey(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] == 0x7f {
			return false
		}
	}
	return utf8.ValidString(key)
}

// origin is where the session's requests come from.
func (s *session) origin() route.Client {
	c := route.Client{Listener: s.listener}
	if s.user != nil {
		c.User = s.user.Name
	}
	return c
}

func (s *session) handleGet(h *codec.Header, rules *Rules) error {
	var room [codec.MaxKey]byte
	if _, err := io.ReadFull(s.conn.In, room[:h.KeyLen]); err != nil {
		return err
	}
	r := &reply{host: s.host, header: *h}
	in := &request.Request{Verb: request.Get, Key: string(room[:h.KeyLen]), HeaderRoom: codec.HeaderLen + 4}
	if h.Opcode.ReturnsKey() {
		r.key = in.Key
		in.HeaderRoom += len(in.Key)
	}
	if !validKey(in.Key) {
		s.answer(codec.AppendStatus(nil, h, codec.InvalidArguments, 0))
		return nil
	}
	if !rules.Routes.Route(in, false, s.origin()) {
		s.answer(codec.AppendStatus(nil, h, codec.NotSupported, 0))
		return nil
	}
	s.submit(in, r)
	return nil
}

func (s *session) handleSet(h *codec.Header, rules *Rules) error {
	if !s.host.BodyBudget.TryAcquire(h.BodyLen) {
		_, err := s.skipAndAnswer(h, codec.Busy)
		return err
	}
	r := &reply{host: s.host, header: *h, bodyLen: h.BodyLen}
	body := make([]byte, h.BodyLen)
	if _, err := io.ReadFull(s.conn.In, body); err != nil {
		r.Release()
		return err
	}
	in := &request.Request{Verb: request.Set, Flags: binary.BigEndian.Uint32(body), Key: string(body[h.ExtrasLen : h.ExtrasLen+h.KeyLen]),
		Value: body[h.ExtrasLen+h.KeyLen:]}
	if status := s.routeSet(in, h.CAS, rules); status != codec.OK {
		r.Release()
		s.answer(codec.AppendStatus(nil, h, status, 0))
		return nil
	}
	s.submit(in, r)
	return nil
}

// routeSet finds where a write belongs, and its key if it has a ticket. What can't be
// carried out is told by another status than OK.
func (s *session) routeSet(in *request.Request, cas uint64, rules *Rules) codec.Status {
	if !validKey(in.Key) {
		return codec.InvalidArguments
	}
	if !rules.Routes.Route(in, cas != 0, s.origin()) {
		return codec.NotSupported
	}
	window := rules.DedupWindows[in.Class]
	switch {
	case window == 0 && cas != 0:
		return codec.NotSupported // no node of ours compares
	case window == 0:
		return codec.OK
	case cas == 0:
		return codec.InvalidArguments // nothing could drop its repeats
	}
	left := ticket.Remaining(cas, time.Now(), window)
	if left <= 0 {
		return codec.Exists // a late repeat, for all that can be told: read, and see
	}
	in.Timeout = min(in.Timeout, left)
	in.IdempotencyKey = ticket.IdempotencyKey(cas, in.Key, in.Value)
	return codec.OK
}

func (s *session) submit(in *request.Request, r *reply) {
	in.ID = s.front.idPrefix + strconv.FormatUint(s.front.lastID.Add(1), 36)
	if s.conn.Submit(in, &r.Slot, r); r.InFlight == nil {
		r.Release()
	}
}

// login looks at a client's proof. Three wrong ones end the connection, and how many are
// looked at is bounded by their source.
func (s *session) login(h *codec.Header, rules *Rules) (lost bool, err error) {
	if h.ValueLen() > maxPlainResponse {
		return s.skipAndAnswer(h, codec.AuthError)
	}
	body := make([]byte, h.BodyLen)
	if _, err := io.ReadFull(s.conn.In, body); err != nil {
		return false, err
	}
	status := codec.AuthError
	name, secret, ok := sasl.ParsePlain(body[h.KeyLen:])
	if ok && h.Opcode == codec.SASLAuth && string(body[:h.KeyLen]) == "PLAIN" && rules.Users != nil {
		status = s.authenticate(rules.Users, name, secret)
	}
	switch status {
	case codec.OK:
		s.answerText(h, "Authenticated")
		return false, nil
	case codec.AuthError:
		s.failedLogins++
	}
	s.answer(codec.AppendStatus(nil, h, status, retryAfterMillis(loginRetryDelay)))
	return s.failedLogins >= maxFailedLogins, nil
}

// loginRetryDelay is when a login that found no place may come again.
const loginRetryDelay = 200 * time.Millisecond

func (s *session) authenticate(users *sasl.Users, name, secret string) codec.Status {
	f, source := s.front, s.conn.RemoteHost()
	s.user = nil
	if f.waitingLogins.Add(1) > maxWaitingLogins {
		f.waitingLogins.Add(-1)
		return codec.Busy
	}
	f.loginSlot <- struct{}{} // each before it ends within one derivation
	defer func() {
		<-f.loginSlot
		f.waitingLogins.Add(-1)
	}()
	f.mu.Lock()
	allowed := f.guesses.Allow(time.Now(), source)
	f.mu.Unlock()
	if !allowed {
		return codec.AuthError
	}
	if s.user = users.Authenticate(name, secret); s.user == nil {
		return codec.AuthError
	}
	f.mu.Lock()
	f.guesses.Refund(time.Now(), source)
	f.mu.Unlock()
	return codec.OK
}
