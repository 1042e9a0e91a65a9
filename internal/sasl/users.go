// Package sasl authenticates clients by mechanism PLAIN (RFC 4616) against a file of hashed secrets, and limits how
// often they may guess. It does no I/O and reads no clock.
//
// Invariants:
//
//  1. Neither the result nor its time reveals whether a user exists: an unknown user takes the same key derivation as a
//     known one.
//  2. From one source at most [GuessBurst] wrong guesses at once, and one per [GuessRefillInterval] after that, are
//     checked. Guesses above that limit are not checked, not even a correct one. The limiter's memory is bounded.
//  3. Secrets are kept in memory only as hashes.
//
// The package starts no goroutine. [Users] are safe for concurrent use; the caller must lock a [GuessLimiter].
package sasl

import (
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"hash/fnv"
	"strings"
	"sync"
)

// User is a user of the file. Two User values are equal if their names and hashed secrets are equal.
type User struct {
	Name       string
	iterations int
	salt       [saltLen]byte
	hash       [hashLen]byte
}

// Users are the users of a file.
type Users struct {
	byName map[string]*User
	list   []*User

	verifiedKey []byte // key of the hashes in verified
	mu          sync.Mutex
	verified    map[string][]byte // fast hashes of secrets that were correct, by user name; guarded by mu
}

// ParseUsers parses a users file. It has a line NAME:pbkdf2-sha256:ITERATIONS:SALT:HASH for each user, with salt and
// hash in hex, as [FormatUser] writes them; empty lines and those that begin with # are skipped. The error joins one
// error for each invalid line. The key must be random and used by this process only.
func ParseUsers(text string, key []byte) (*Users, error) {
	users := &Users{byName: make(map[string]*User), verifiedKey: key, verified: make(map[string][]byte)}
	var errs []error
	number := 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		user, err := parseLine(line)
		switch {
		case err != nil:
			errs = append(errs, fmt.Errorf("line %d: %w", number, err))
		case users.byName[user.Name] != nil:
			errs = append(errs, fmt.Errorf("line %d: user %q is listed twice", number, user.Name))
		case len(users.list) >= MaxUsers:
			return nil, fmt.Errorf("more than %d users", MaxUsers)
		default:
			users.byName[user.Name] = user
			users.list = append(users.list, user)
		}
	}
	if len(errs) == 0 && len(users.list) == 0 {
		errs = append(errs, errors.New("lists no user"))
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return users, nil
}

// Revalidate returns the user of the same name if its hashed secret is still that of u, else nil.
func (us *Users) Revalidate(u *User) *User {
	if present := us.byName[u.Name]; present != nil && *present == *u {
		return present
	}
	return nil
}

// Authenticate returns the user of a name if the secret is correct, else nil. It takes the CPU time of one key
// derivation, unless this secret was correct before.
func (us *Users) Authenticate(name, secret string) *User {
	if len(secret) > MaxSecret {
		secret = secret[:MaxSecret+1] // matches no secret, and bounds the time of its hash
	}
	user, known := us.byName[name]
	if !known {
		user = us.substitute(name)
	}
	fastHash := us.fastHash(name, secret)
	us.mu.Lock()
	verified := us.verified[name]
	us.mu.Unlock()
	if known && verified != nil && hmac.Equal(verified, fastHash) {
		return user
	}
	isCorrect := subtle.ConstantTimeCompare(derive(secret, user.salt[:], user.iterations), user.hash[:]) == 1
	if !known || !isCorrect {
		return nil
	}
	us.mu.Lock()
	us.verified[name] = fastHash
	us.mu.Unlock()
	return user
}

// substitute returns the user whose derivation is computed for an unknown name, the same one for the same name.
func (us *Users) substitute(name string) *User {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return us.list[hash.Sum32()%uint32(len(us.list))]
}

// fastHash returns a hash of a secret that is fast to compute, under verifiedKey.
func (us *Users) fastHash(name, secret string) []byte {
	mac := hmac.New(sha256.New, us.verifiedKey)
	mac.Write([]byte(name + "\x00" + secret))
	return mac.Sum(nil)
}

// derive returns the hash of a secret, as a users file has it.
func derive(secret string, salt []byte, iterations int) []byte {
	hash, err := pbkdf2.Key(sha256.New, secret, salt, iterations, hashLen)
	if err != nil {
		return make([]byte, hashLen+1) // matches no hash
	}
	return hash
}

// ParsePlain parses a response of mechanism PLAIN (RFC 4616). It returns false for a malformed one, and for one that
// asks to act as another user.
func ParsePlain(response []byte) (name, secret string, ok bool) {
	parts := strings.SplitN(string(response), "\x00", 4)
	if len(parts) != 3 {
		return "", "", false
	}
	authorizationID, name, secret := parts[0], parts[1], parts[2]
	if name == "" || secret == "" || authorizationID != "" && authorizationID != name {
		return "", "", false
	}
	return name, secret, true
}
