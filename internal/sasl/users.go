// Package sasl says who clients are that prove it by the mechanism PLAIN, from a file of
// hashed secrets, and how often they may guess. It does no I/O and reads no clock.
//
// Invariants:
//
//  1. Whether a user exists is not told, by word or by time: an unknown one costs the
//     same derivation as a known one.
//  2. From one source no more than [Burst] guesses at once and one in [Refill] after
//     that are looked at, whether they are good or not; the guard's memory is bounded.
//  3. No secret is kept in memory but as a hash.
package sasl

import (
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"sync"
)

// The bounds of a users' file.
const (
	MaxUsers      = 4096
	MaxName       = 64
	MaxSecret     = 256 // bytes
	minIterations = 1000
	maxIterations = 1000000
	saltLen       = 16
	hashLen       = 32
)

// DefaultIterations is how many a new secret is hashed with. A login costs a proxy a few
// milliseconds of its one core; more would make of guesses, or of a thousand tills that
// come back at once, an outage.
const DefaultIterations = 10000

const scheme = "pbkdf2-sha256"

// User is one line of the file. Two are the same user for as long as name and secret are.
type User struct {
	Name       string
	iterations int
	salt       [saltLen]byte
	hash       [hashLen]byte
}

// Users are those of a file. They are safe for concurrent use.
type Users struct {
	byName map[string]*User
	list   []*User

	mu          sync.Mutex
	verifiedKey []byte            // of the quick hashes
	verified    map[string][]byte // of secrets that were good, by name
}

// ParseUsers reads a users' file: a line each, NAME:pbkdf2-sha256:ITERATIONS:SALT:HASH with
// salt and hash in hex, as [Line] makes them; empty ones and those with # in front
// are passed over. Its error joins one error a defect. key is random, and the
// process's own.
func ParseUsers(text string, key []byte) (*Users, error) {
	us := &Users{byName: make(map[string]*User), verifiedKey: key, verified: make(map[string][]byte)}
	var errs []error
	number := 0
	for line := range strings.Lines(text) {
		number++
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		u, err := parseLine(line)
		switch {
		case err != nil:
			errs = append(errs, fmt.Errorf("line %d: %w", number, err))
		case us.byName[u.Name] != nil:
			errs = append(errs, fmt.Errorf("line %d: user %q is there twice", number, u.Name))
		case len(us.list) >= MaxUsers:
			return nil, fmt.Errorf("more than %d users", MaxUsers)
		default:
			us.byName[u.Name], us.list = u, append(us.list, u)
		}
	}
	if len(errs) == 0 && len(us.list) == 0 {
		errs = append(errs, errors.New("names no user"))
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return us, nil
}

func parseLine(line string) (*User, error) {
	parts := strings.Split(line, ":")
	if len(parts) != 5 || parts[1] != scheme {
		return nil, fmt.Errorf("want NAME:%s:ITERATIONS:SALT:HASH", scheme)
	}
	u := &User{Name: parts[0]}
	if err := checkName(u.Name); err != nil {
		return nil, err
	}
	var err error
	if u.iterations, err = strconv.Atoi(parts[2]); err != nil || u.iterations < minIterations || u.iterations > maxIterations {
		return nil, fmt.Errorf("iterations cannot be %q: want %d to %d", parts[2], minIterations, maxIterations)
	}
	salt, err1 := hex.DecodeString(parts[3])
	hash, err2 := hex.DecodeString(parts[4])
	if err1 != nil || err2 != nil || len(salt) != saltLen || len(hash) != hashLen {
		return nil, fmt.Errorf("want a salt of %d and a hash of %d bytes in hex", saltLen, hashLen)
	}
	copy(u.salt[:], salt)
	copy(u.hash[:], hash)
	return u, nil
}

func checkName(name string) error {
	if name == "" || len(name) > MaxName || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == ':' || r == 0x7f }) {
		return fmt.Errorf("a user cannot be %q: want 1 to %d characters without blanks and colons", name, MaxName)
	}
	return nil
}

// FormatUser returns the line of a user with a new secret. salt is random.
func FormatUser(name, secret string, iterations int, salt [saltLen]byte) (string, error) {
	if err := checkName(name); err != nil {
		return "", err
	}
	if secret == "" || len(secret) > MaxSecret || strings.Contains(secret, "\x00") {
		return "", fmt.Errorf("want a secret of 1 to %d bytes without a zero byte", MaxSecret)
	}
	hash := derive(secret, salt[:], iterations)
	return fmt.Sprintf("%s:%s:%d:%x:%x", name, scheme, iterations, salt, hash), nil
}

func derive(secret string, salt []byte, iterations int) []byte {
	hash, err := pbkdf2.Key(sha256.New, secret, salt, iterations, hashLen)
	if err != nil {
		return make([]byte, hashLen+1) // equals no hash
	}
	return hash
}

// Revalidate returns a user who is there with the secret that it had then, nil if it is not.
func (us *Users) Revalidate(u *User) *User {
	if now := us.byName[u.Name]; now != nil && *now == *u {
		return now
	}
	return nil
}

// Authenticate returns the user whose secret it is, or nil. It takes the CPU time of one
// derivation, unless the secret is good and has been found so before.
func (us *Users) Authenticate(name, secret string) *User {
	if len(secret) > MaxSecret {
		secret = secret[:MaxSecret+1] // equals none, and costs no more
	}
	u := us.byName[name]
	known := u != nil
	if !known { // any will do for the time, the same for the same name
		h := fnv.New32a()
		h.Write([]byte(name))
		u = us.list[h.Sum32()%uint32(len(us.list))]
	}
	mac := hmac.New(sha256.New, us.verifiedKey)
	mac.Write([]byte(name + "\x00" + secret))
	sum := mac.Sum(nil)
	us.mu.Lock()
	quick := us.verified[name]
	us.mu.Unlock()
	if known && quick != nil && hmac.Equal(quick, sum) {
		return u
	}
	good := subtle.ConstantTimeCompare(derive(secret, u.salt[:], u.iterations), u.hash[:]) == 1
	if !known || !good {
		return nil
	}
	us.mu.Lock()
	us.verified[name] = sum
	us.mu.Unlock()
	return u
}

// ParsePlain takes a response of the mechanism PLAIN apart (RFC 4616). It returns false for
// what is none, and for one that asks to act for another.
func ParsePlain(response []byte) (name, secret string, ok bool) {
	parts := strings.SplitN(string(response), "\x00", 4)
	if len(parts) != 3 || parts[1] == "" || parts[2] == "" || parts[0] != "" && parts[0] != parts[1] {
		return "", "", false
	}
	return parts[1], parts[2], true
}
