// Package sasl authenticates clients by mechanism PLAIN (RFC 4616) against a file of hashed secrets, and bounds how
// often they may guess. It does no I/O and reads no clock.
//
// Invariants:
//
//  1. Neither words nor time reveal whether a user exists: an unknown one costs the same derivation as a known one.
//  2. From one source no more than [GuessBurst] wrong guesses at once and one in each [GuessRefillInterval] after that
//     are checked; beyond that no guess is, not even a right one. The limiter's memory is bounded.
//  3. No secret is kept in memory except as a hash.
//
// The package starts no goroutine. [Users] are safe for concurrent use; a [GuessLimiter] is guarded by its caller.
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

// User is a user of the file. Two are the same user as long as name and secret are.
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

	verifiedKey []byte // of the hashes in verified
	mu          sync.Mutex
	verified    map[string][]byte // fast hashes of secrets that were right, by name; guarded by mu
}

// ParseUsers reads a users' file: a line for each, NAME:pbkdf2-sha256:ITERATIONS:SALT:HASH with salt and hash in
// hex, as [FormatUser] writes them; empty lines and those that begin with # are skipped. Its error joins one error
// for each defect. The key is random and the process's own.
func ParseUsers(text string, key []byte) (*Users, error) {
	users := &Users{byName: make(map[string]*User), verifiedKey: key, verified: make(map[string][]byte)}
	var defects []error
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
			defects = append(defects, fmt.Errorf("line %d: %w", number, err))
		case users.byName[user.Name] != nil:
			defects = append(defects, fmt.Errorf("line %d: user %q is there twice", number, user.Name))
		case len(users.list) >= MaxUsers:
			return nil, fmt.Errorf("more than %d users", MaxUsers)
		default:
			users.byName[user.Name] = user
			users.list = append(users.list, user)
		}
	}
	if len(defects) == 0 && len(users.list) == 0 {
		defects = append(defects, errors.New("names no user"))
	}
	if len(defects) > 0 {
		return nil, errors.Join(defects...)
	}
	return users, nil
}

// Revalidate returns the user of the same name, if it has the same secret as u had when it authenticated, else nil.
func (us *Users) Revalidate(u *User) *User {
	if present := us.byName[u.Name]; present != nil && *present == *u {
		return present
	}
	return nil
}

// Authenticate returns the user of a name if the secret is the user's, else nil. It takes the CPU time of one
// derivation, unless the secret is right and was so before.
func (us *Users) Authenticate(name, secret string) *User {
	if len(secret) > MaxSecret {
		secret = secret[:MaxSecret+1] // equals no secret, and costs no more
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
	isRight := subtle.ConstantTimeCompare(derive(secret, user.salt[:], user.iterations), user.hash[:]) == 1
	if !known || !isRight {
		return nil
	}
	us.mu.Lock()
	us.verified[name] = fastHash
	us.mu.Unlock()
	return user
}

// substitute returns the user whose derivation an unknown name costs, the same one for the same name.
func (us *Users) substitute(name string) *User {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return us.list[hash.Sum32()%uint32(len(us.list))]
}

// fastHash returns a hash of a secret that is fast, under the process's own key.
func (us *Users) fastHash(name, secret string) []byte {
	mac := hmac.New(sha256.New, us.verifiedKey)
	mac.Write([]byte(name + "\x00" + secret))
	return mac.Sum(nil)
}

// derive returns the hash of a secret that a users' file has.
func derive(secret string, salt []byte, iterations int) []byte {
	hash, err := pbkdf2.Key(sha256.New, secret, salt, iterations, hashLen)
	if err != nil {
		return make([]byte, hashLen+1) // equals no hash
	}
	return hash
}

// ParsePlain reads a response of mechanism PLAIN (RFC 4616). It returns false for a malformed one, and for one that
// requests to act for another user.
func ParsePlain(response []byte) (name, secret string, ok bool) {
	parts := strings.SplitN(string(response), "\x00", 4)
	if len(parts) != 3 {
		return "", "", false
	}
	actFor, name, secret := parts[0], parts[1], parts[2]
	if name == "" || secret == "" || actFor != "" && actFor != name {
		return "", "", false
	}
	return name, secret, true
}
