package config

import (
	"net"
	"slices"
	"strings"
)

// maxNameLength is the maximum length in bytes of names, which are sent as tokens of the protocol.
const maxNameLength = 64

// anything accepts every string.
func anything(string) string { return "" }

// printable accepts strings that can be sent as a token of the protocol: 1 to 64 bytes without separators.
func printable(text string) string {
	isSeparator := func(r rune) bool { return r <= ' ' || r == 0x7f || r == ',' || r == '=' }
	if text == "" || len(text) > maxNameLength || strings.ContainsFunc(text, isSeparator) {
		return "1 to 64 characters without blanks, control characters, commas or ="
	}
	return ""
}

// isAddress accepts HOST:PORT. The host must not contain a comma, which separates the addresses of a static list.
func isAddress(text string) string {
	host, port, err := net.SplitHostPort(text)
	if err != nil || port == "" || strings.Contains(host, ",") {
		return "HOST:PORT"
	}
	return ""
}

// oneOf returns a check that accepts only the given words.
func oneOf(words ...string) check {
	return func(text string) string {
		if slices.Contains(words, text) {
			return ""
		}
		return "one of " + strings.Join(words, ", ")
	}
}
