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
	maxResponse = 2*sasl.MaxName + sasl.MaxSecret + 2
	// A connection that guesses wrong so often is closed.
	mostGuesses = 3
	// Logins that wait for the one being looked at. Each costs milliseconds of a
	// proxy's one core: guessers must not keep it from requests, and tills that find
	// no place are told to come again.
	mostLogins = 16
)

// Frontend is what all binary clients of a proxy have in common.
type Frontend struct {
	rules  atomic.Pointer[Rules]
	prefix string // of ids: no other proxy's, nor another run's of this one
	serial atomic.Uint64
	stats  func(kind string) []core.Stat

	mu    sync.Mutex
	guard *sasl.GuessLimiter

	logins  chan struct{} // one place
	waiting atomic.Int32
}

// New returns a Front without rules, which serves nobody yet. stats are the figures of a
// kind, as [front.Host] has them.
func New(stats func(kind string) []core.Stat) *Frontend {
	var random [8]byte
	crand.Read(random[:])
	return &Frontend{prefix: "b" + hex.EncodeToString(random[:]) + "-", stats: stats, guard: sasl.NewGuessLimiter(),
		logins: make(chan struct{}, 1)}
}

// SetRules puts rules into force for what comes from now on; nil turns the front off.
func (f *Frontend) SetRules(r *Rules) { f.rules.Store(r) }

// Enabled tells whether the front serves anybody.
func (f *Frontend) Enabled() bool { return f.rules.Load() != nil }

// session is the dialect on one connection.
type session struct {
	front    *Frontend
	host     *frontend.Host
	conn     *frontend.Conn
	listener string
	user     *sasl.User // nil until it has proved to be one
	guesses  int
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
	host *frontend.Host
	head codec.Header // of the command
	key  string       // of a get that its answer names
	size int          // of its body, as budgeted
}

// Release implements core.Reply.
func (r *reply) Release() { r.host.BodyBudget.Release(r.size) }

// Finish implements core.Reply.
func (r *reply) Finish(a *request.Answer) {
	quiet := r.head.Opcode.Quiet()
	switch a.Kind {
	case request.Value:
		var room [codec.HeaderLen + 4 + codec.MaxKey]byte
		h := codec.Header{Opcode: r.head.Opcode, KeyLen: len(r.key), ExtrasLen: 4, BodyLen: 4 + len(r.key) + a.ValueLen(), Opaque: r.head.Opaque,
			CAS: ticket.New(time.Now(), rand.Uint64())}
		head := binary.BigEndian.AppendUint32(h.Append(room[:0], codec.ResponseMagic), a.Flags)
		r.Slot.FinishValue(a.Frame(append(head, r.key...), nil), func() []byte {
			return codec.AppendStatus(nil, &r.head, codec.OutOfMemory, 0)
		})
	case request.Stored:
		if quiet {
			r.FinishSilently()
			return
		}
		h := codec.Header{Opcode: r.head.Opcode, Opaque: r.head.Opaque, CAS: receipt(a.Receipt)}
		r.Slot.Finish(h.Append(nil, codec.ResponseMagic))
	case request.NotFound:
		switch {
		case quiet:
			r.FinishSilently()
		case r.key != "":
			h := codec.Header{Opcode: r.head.Opcode, KeyLen: len(r.key), Status: codec.NotFound, BodyLen: len(r.key), Opaque: r.head.Opaque}
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
	r.Slot.Finish(codec.AppendStatus(nil, &r.head, status, advice(after)))
}

// advice is a wait in whole milliseconds, 0 for none.
func advice(after time.Duration) int64 {
	if after <= 0 {
		return 0
	}
	return max(after.Milliseconds(), 1)
}

// receipt is a receipt as a CAS has room for it: its number, if it is one.
func receipt(text string) uint64 {
	if n, err := strconv.ParseUint(text, 10, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

func (s *session) say(text []byte) { s.conn.AddSlot(new(frontend.Slot)).Finish(text) }

// refuse passes over a command's body and answers by a status.
func (s *session) refuse(h *codec.Header, status codec.Status) (bool, error) {
	if _, err := s.conn.In.Discard(h.BodyLen); err != nil {
		return false, err
	}
	s.say(codec.AppendStatus(nil, h, status, 0))
	return false, nil
}

// mayCome tells whether a command is carried out for whoever sends it.
func mayCome(o codec.Opcode) bool {
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
		s.say(codec.AppendStatus(nil, &h, status, 0))
		return true, nil
	} else if err != nil {
		return true, nil
	}
	rules := s.front.rules.Load()
	if rules == nil { // turned off since
		_, err := s.refuse(&h, codec.NotSupported)
		return true, err
	}
	if rules.Users != nil && !mayCome(h.Opcode) {
		if s.user != nil {
			s.user = rules.Users.Revalidate(s.user) // its secret may have changed, or it may be gone
		}
		if s.user == nil {
			return s.refuse(&h, codec.AuthError)
		}
	}
	if status := h.Validate(); status != codec.OK {
		return s.refuse(&h, status)
	}
	switch h.Opcode {
	case codec.Get, codec.GetQ, codec.GetK, codec.GetKQ:
		return false, s.get(&h, rules)
	case codec.Set, codec.SetQ:
		return false, s.set(&h, rules)
	case codec.Noop:
		return s.refuse(&h, codec.OK)
	case codec.Version:
		s.value(&h, "1.6.0") // clients look at it for what the protocol has
		return false, nil
	case codec.Quit:
		_, err := s.refuse(&h, codec.OK)
		return true, err
	case codec.QuitQ:
		return true, nil
	case codec.Stat:
		return false, s.stat(&h)
	case codec.SASLList:
		s.value(&h, "PLAIN")
		return false, nil
	}
	return s.login(&h, rules)
}

// value answers a command by a text.
func (s *session) value(h *codec.Header, text string) {
	out := codec.Header{Opcode: h.Opcode, BodyLen: len(text), Opaque: h.Opaque}
	s.say(append(out.Append(nil, codec.ResponseMagic), text...))
}

// stat answers by one response a figure, and an empty one. The key names their kind.
func (s *session) stat(h *codec.Header) error {
	if h.BodyLen > codec.MaxKey {
		_, err := s.refuse(h, codec.NotFound)
		return err
	}
	kind := make([]byte, h.BodyLen)
	if _, err := io.ReadFull(s.conn.In, kind); err != nil {
		return err
	}
	list := s.front.stats(string(kind))
	if list == nil {
		s.say(codec.AppendStatus(nil, h, codec.NotFound, 0))
		return nil
	}
	var out []byte
	for _, x := range list {
		one := codec.Header{Opcode: h.Opcode, KeyLen: len(x.Name), BodyLen: len(x.Name) + len(x.Value), Opaque: h.Opaque}
		out = append(append(one.Append(out, codec.ResponseMagic), x.Name...), x.Value...)
	}
	last := codec.Header{Opcode: h.Opcode, Opaque: h.Opaque}
	s.say(last.Append(out, codec.ResponseMagic))
	return nil
}

// fits tells whether a key can be said in every dialect of a node.
func fits(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] == 0x7f {
			return false
		}
	}
	return utf8.ValidString(key)
}

// from is where the session's requests come from.
func (s *session) from() route.Client {
	c := route.Client{Listener: s.listener}
	if s.user != nil {
		c.User = s.user.Name
	}
	return c
}

func (s *session) get(h *codec.Header, rules *Rules) error {
	var room [codec.MaxKey]byte
	if _, err := io.ReadFull(s.conn.In, room[:h.KeyLen]); err != nil {
		return err
	}
	r := &reply{host: s.host, head: *h}
	in := &request.Request{Verb: request.Get, Key: string(room[:h.KeyLen]), HeaderRoom: codec.HeaderLen + 4}
	if h.Opcode.ReturnsKey() {
		r.key = in.Key
		in.HeaderRoom += len(in.Key)
	}
	if !fits(in.Key) {
		s.say(codec.AppendStatus(nil, h, codec.InvalidArguments, 0))
		return nil
	}
	if !rules.Routes.Route(in, false, s.from()) {
		s.say(codec.AppendStatus(nil, h, codec.NotSupported, 0))
		return nil
	}
	s.arrive(in, r)
	return nil
}

func (s *session) set(h *codec.Header, rules *Rules) error {
	if !s.host.BodyBudget.TryAcquire(h.BodyLen) {
		_, err := s.refuse(h, codec.Busy)
		return err
	}
	r := &reply{host: s.host, head: *h, size: h.BodyLen}
	body := make([]byte, h.BodyLen)
	if _, err := io.ReadFull(s.conn.In, body); err != nil {
		r.Release()
		return err
	}
	in := &request.Request{Verb: request.Set, Flags: binary.BigEndian.Uint32(body), Key: string(body[h.ExtrasLen : h.ExtrasLen+h.KeyLen]),
		Value: body[h.ExtrasLen+h.KeyLen:]}
	if status := s.routeSet(in, h.CAS, rules); status != codec.OK {
		r.Release()
		s.say(codec.AppendStatus(nil, h, status, 0))
		return nil
	}
	s.arrive(in, r)
	return nil
}

// routeSet finds where a write belongs, and its key if it has a ticket. What can't be
// carried out is told by another status than OK.
func (s *session) routeSet(in *request.Request, cas uint64, rules *Rules) codec.Status {
	if !fits(in.Key) {
		return codec.InvalidArguments
	}
	if !rules.Routes.Route(in, cas != 0, s.from()) {
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

func (s *session) arrive(in *request.Request, r *reply) {
	in.ID = s.front.prefix + strconv.FormatUint(s.front.serial.Add(1), 36)
	if s.conn.Submit(in, &r.Slot, r); r.InFlight == nil {
		r.Release()
	}
}

// login looks at a client's proof. Three wrong ones end the connection, and how many are
// looked at is bounded by their source.
func (s *session) login(h *codec.Header, rules *Rules) (lost bool, err error) {
	if h.ValueLen() > maxResponse {
		return s.refuse(h, codec.AuthError)
	}
	body := make([]byte, h.BodyLen)
	if _, err := io.ReadFull(s.conn.In, body); err != nil {
		return false, err
	}
	status := codec.AuthError
	name, secret, ok := sasl.ParsePlain(body[h.KeyLen:])
	if ok && h.Opcode == codec.SASLAuth && string(body[:h.KeyLen]) == "PLAIN" && rules.Users != nil {
		status = s.check(rules.Users, name, secret)
	}
	switch status {
	case codec.OK:
		s.value(h, "Authenticated")
		return false, nil
	case codec.AuthError:
		s.guesses++
	}
	s.say(codec.AppendStatus(nil, h, status, advice(loginPause)))
	return s.guesses >= mostGuesses, nil
}

// loginPause is when a login that found no place may come again.
const loginPause = 200 * time.Millisecond

func (s *session) check(users *sasl.Users, name, secret string) codec.Status {
	f, source := s.front, s.conn.RemoteHost()
	s.user = nil
	if f.waiting.Add(1) > mostLogins {
		f.waiting.Add(-1)
		return codec.Busy
	}
	f.logins <- struct{}{} // each before it ends within one derivation
	defer func() {
		<-f.logins
		f.waiting.Add(-1)
	}()
	f.mu.Lock()
	allowed := f.guard.Allow(time.Now(), source)
	f.mu.Unlock()
	if !allowed {
		return codec.AuthError
	}
	if s.user = users.Authenticate(name, secret); s.user == nil {
		return codec.AuthError
	}
	f.mu.Lock()
	f.guard.Refund(time.Now(), source)
	f.mu.Unlock()
	return codec.OK
}
