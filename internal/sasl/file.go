package sasl

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// Limits of a users file.
const (
	MaxUsers      = 4096
	MaxName       = 64  // bytes
	MaxSecret     = 256 // bytes
	minIterations = 1000
	maxIterations = 1000000
	saltLen       = 16 // bytes
	hashLen       = 32 // bytes
)

// DefaultIterations is the number of iterations for the hash of a new secret. A login takes a few milliseconds of a
// proxy's CPU time. With more iterations, guesses or a thousand clients that reconnect at once would cause an outage.
const DefaultIterations = 10000

// scheme is the name of the key derivation in a users file.
const scheme = "pbkdf2-sha256"

// parseLine parses the line of a user.
func parseLine(line string) (*User, error) {
	parts := strings.Split(line, ":")
	if len(parts) != 5 || parts[1] != scheme {
		return nil, fmt.Errorf("want NAME:%s:ITERATIONS:SALT:HASH", scheme)
	}
	name, iterationsText, saltText, hashText := parts[0], parts[2], parts[3], parts[4]
	if err := checkName(name); err != nil {
		return nil, err
	}
	iterations, err := strconv.Atoi(iterationsText)
	if err != nil || iterations < minIterations || iterations > maxIterations {
		return nil, fmt.Errorf("iterations cannot be %q: want %d to %d", iterationsText, minIterations, maxIterations)
	}
	user := &User{Name: name, iterations: iterations}
	if !decodeHex(user.salt[:], saltText) || !decodeHex(user.hash[:], hashText) {
		return nil, fmt.Errorf("want a salt of %d and a hash of %d bytes in hex", saltLen, hashLen)
	}
	return user, nil
}

// decodeHex fills dst from hex, and reports whether the text is valid hex of exactly that length.
func decodeHex(dst []byte, text string) bool {
	decoded, err := hex.DecodeString(text)
	return err == nil && copy(dst, decoded) == len(dst) && len(decoded) == len(dst)
}

func checkName(name string) error {
	isForbidden := func(r rune) bool {
		const del = 0x7f
		return r <= ' ' || r == ':' || r == del
	}
	if name == "" || len(name) > MaxName || strings.ContainsFunc(name, isForbidden) {
		return fmt.Errorf("user name cannot be %q: want 1 to %d bytes without blanks and colons", name, MaxName)
	}
	return nil
}

// FormatUser returns the line of a user with a new secret. The salt must be random.
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
