package config

import (
	"net"
	"slices"
	"strings"
)

// maxNameLength bounds names, which become words of the protocol.
const maxNameLength = 64

// anything allows every text.
func anything(string) string { return "" }

// printable allows texts that cannot end a word of the protocol early.
func printable(text string) string {
	endsWord := func(r rune) bool { return r <= ' ' || r == 0x7f || r == ',' || r == '=' }
	if text == "" || len(text) > maxNameLength || strings.ContainsFunc(text, endsWord) {
		return "1 to 64 characters without blanks, commas and ="
	}
	return ""
}

// isAddress allows HOST:PORT.
func isAddress(text string) string {
	host, port, err := net.SplitHostPort(text)
	if err != nil || port == "" || strings.Contains(host, ",") {
		return "HOST:PORT"
	}
	return ""
}

// oneOf allows some words.
func oneOf(words ...string) check {
	return func(text string) string {
		if slices.Contains(words, text) {
			return ""
		}
		return "one of " + strings.Join(words, ", ")
	}
}
