package client

import (
	"time"

	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

const (
	// maxIDLength bounds an id in bytes: a prefix of 18 and the digits of the serial.
	maxIDLength = 32
	// serialDigits is the number of hexadecimal digits of a serial in an id: ids repeat after 2^40 attempts.
	serialDigits = 10
	bitsPerDigit = 4
	hexDigits    = "0123456789abcdef"
)

// appendID appends the id of an attempt.
func appendID(dst []byte, prefix string, serial uint64) []byte {
	dst = append(dst, prefix...)
	for shift := bitsPerDigit * (serialDigits - 1); shift >= 0; shift -= bitsPerDigit {
		dst = append(dst, hexDigits[serial>>shift&15])
	}
	return dst
}

// isID reports whether an id is the one of an attempt.
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

// maxAnswerTravel bounds the time that is kept for an answer's way back to the client.
const maxAnswerTravel = 20 * time.Millisecond

// answerTravelDivisor gives the part of a timeout that is kept for that way, up to maxAnswerTravel.
const answerTravelDivisor = 20

// announcedTimeout is the timeout that a request carries: an answer that the proxy sends at its end still has to come
// back before the attempt times out.
func announcedTimeout(timeout time.Duration) time.Duration {
	return timeout - min(timeout/answerTravelDivisor, maxAnswerTravel)
}

// appendCommand appends a request as it is sent to proxies.
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
