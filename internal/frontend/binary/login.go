package binary

import (
	"io"
	"time"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/sasl"
)

const (
	// maxPlainResponse is the largest response of mechanism PLAIN: two names, a secret and two separators.
	maxPlainResponse = 2*sasl.MaxName + sasl.MaxSecret + 2
	// maxFailedLogins is the number of failed logins that closes a connection.
	maxFailedLogins = 3
	// maxWaitingLogins bounds the logins that wait, the one being checked included. A check costs milliseconds
	// of the proxy's processor: guessers must not keep it from requests.
	maxWaitingLogins = 16
	// loginRetryDelay is the advice to a client whose login was rejected because too many wait.
	loginRetryDelay = 200 * time.Millisecond
)

// mayUse reports whether a command is carried out for the session's client: users must have authenticated, and
// their secrets be the same still, except for commands that everybody may use.
func (s *session) mayUse(opcode codec.Opcode, rules *Rules) bool {
	if rules.Users == nil || allowedUnauthenticated(opcode) {
		return true
	}
	if s.user != nil {
		s.user = rules.Users.Revalidate(s.user)
	}
	return s.user != nil
}

// allowedUnauthenticated reports whether a command is carried out for everybody.
func allowedUnauthenticated(opcode codec.Opcode) bool {
	switch opcode {
	case codec.SASLList, codec.SASLAuth, codec.SASLStep, codec.Version, codec.Noop, codec.Quit, codec.QuitQ:
		return true
	}
	return false
}

// handleLogin checks a client's response to mechanism PLAIN. Too many failed ones end the connection, and how
// many are checked is bounded for each source.
func (s *session) handleLogin(h *codec.Header, rules *Rules) (lost bool, err error) {
	if h.ValueLen() > maxPlainResponse {
		return false, s.skipAndAnswer(h, codec.AuthError)
	}
	body := make([]byte, h.BodyLen)
	if _, err := io.ReadFull(s.conn.In, body); err != nil {
		return false, err
	}
	mechanism, response := string(body[:h.KeyLen]), body[h.KeyLen:]
	status := codec.AuthError
	name, secret, ok := sasl.ParsePlain(response)
	if ok && h.Opcode == codec.SASLAuth && mechanism == saslMechanisms && rules.Users != nil {
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

// authenticate makes the session that of a user, if the secret is the user's. One login is checked at a time.
func (s *session) authenticate(users *sasl.Users, name, secret string) codec.Status {
	f, source := s.frontend, s.conn.RemoteHost()
	s.user = nil
	if f.waitingLogins.Add(1) > maxWaitingLogins {
		f.waitingLogins.Add(-1)
		return codec.Busy
	}
	f.loginSlot <- struct{}{} // bounded: each check before it takes one derivation
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
	s.user = users.Authenticate(name, secret)
	if s.user == nil {
		return codec.AuthError
	}
	f.mu.Lock()
	f.guesses.Refund(time.Now(), source)
	f.mu.Unlock()
	return codec.OK
}
