package binary

import (
	"io"
	"time"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/sasl"
)

const (
	// maxPlainResponse is the maximum size in bytes of a response for mechanism PLAIN: two names, a secret and two
	// separators.
	maxPlainResponse = 2*sasl.MaxName + sasl.MaxSecret + 2
	// maxFailedLogins is the number of failed logins after which a connection is closed.
	maxFailedLogins = 3
	// maxWaitingLogins limits the waiting logins, including the one being checked. A check takes milliseconds of CPU
	// time, and clients that guess secrets must not starve requests.
	maxWaitingLogins = 16
	// loginRetryDelay is the retry delay sent to a client whose login was rejected because too many are waiting.
	loginRetryDelay = 200 * time.Millisecond
)

// mayUse reports whether the session's client may execute a command. Unless the command is allowed for everybody, the
// client must have authenticated, and its user's secret must not have changed since.
func (s *session) mayUse(opcode codec.Opcode, rules *Rules) bool {
	if rules.Users == nil || allowedUnauthenticated(opcode) {
		return true
	}
	if s.user != nil {
		s.user = rules.Users.Revalidate(s.user)
	}
	return s.user != nil
}

// allowedUnauthenticated reports whether clients may execute a command without having authenticated.
func allowedUnauthenticated(opcode codec.Opcode) bool {
	switch opcode {
	case codec.SASLList, codec.SASLAuth, codec.SASLStep, codec.Version, codec.Noop, codec.Quit, codec.QuitQ:
		return true
	}
	return false
}

// handleLogin handles a login with mechanism PLAIN; a login of any other kind fails. It returns stop after
// maxFailedLogins failures on the connection.
func (s *session) handleLogin(h *codec.Header, rules *Rules) (stop bool, err error) {
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

// authenticate sets the session's user if the secret is correct. Only one login is checked at a time, and the guesses
// of each source address are limited.
func (s *session) authenticate(users *sasl.Users, name, secret string) codec.Status {
	f, source := s.frontend, s.conn.RemoteHost()
	s.user = nil
	if f.waitingLogins.Add(1) > maxWaitingLogins {
		f.waitingLogins.Add(-1)
		return codec.Busy
	}
	f.loginSlot <- struct{}{} // bounded wait: each login ahead takes one key derivation at most
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
