package client

import (
	"time"

	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

const (
	// maxIDLength bounds the length of an id in bytes: a prefix of 18 and serialDigits digits.
	maxIDLength = 32
	// serialDigits is the number of hexadecimal digits of the serial in an id: ids repeat after 2^40 attempts.
	serialDigits = 10
	bitsPerDigit = 4
	hexDigits    = "0123456789abcdef"
)

// appendID appends the id of an attempt: the client's prefix and the serial.
func appendID(dst []byte, prefix string, serial uint64) []byte {
	dst = append(dst, prefix...)
	for shift := bitsPerDigit * (serialDigits - 1); shift >= 0; shift -= bitsPerDigit {
		dst = append(dst, hexDigits[serial>>shift&15])
	}
	return dst
}

// isID reports whether id is what appendID makes of prefix and serial.
func isID(id []byte, prefix string, serial uint64) bool {
	if len(id) != len(prefix)+serialDigits || string(id[:len(prefix)]) != prefix {
		return false
	}
	n := uint64(0)
	for _, c := range id[len(prefix):] {
		switch {
		case '0' <= c && c <= '9':
			n = n<<bitsPerDigit | uint64(c-'0')
		case 'a' <= c && c <= 'f':
			n = n<<bitsPerDigit | uint64(c-'a'+10)
		default:
			return false
		}
	}
	return n == serial
}

// maxAnswerTransit bounds the part of a timeout that is reserved for the answer's way back to the client.
const maxAnswerTransit = 20 * time.Millisecond

// answerTransitDivisor determines the reserved part: timeout/answerTransitDivisor, at most maxAnswerTransit.
const answerTransitDivisor = 20

// announcedTimeout returns the timeout that a request carries. It is shorter than the attempt's own timeout, so that an
// answer that the proxy sends at the last moment still arrives in time.
func announcedTimeout(timeout time.Duration) time.Duration {
	return timeout - min(timeout/answerTransitDivisor, maxAnswerTransit)
}

// appendCommand appends a request in the meta protocol, with the value of a write.
func appendCommand(dst []byte, idPrefix string, t *attempt, r *request.Request) []byte {
	var id [maxIDLength]byte
	millis := max(announcedTimeout(t.timeout).Milliseconds(), 1)
	dst = meta.AppendRequest(dst, r, appendID(id[:0], idPrefix, t.serial), millis)
	if r.Verb == request.Set {
		dst = append(dst, r.Value...)
		dst = append(dst, lineEnd...)
	}
	return dst
}
