package main

import (
	"bufio"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"strings"

	"mulleinpier/internal/sasl"
)

// printSecret reads a secret from the first line of in, and prints the line for the user in a users file, which
// contains a salted hash of the secret.
func printSecret(user string, in io.Reader, out io.Writer) error {
	limited := io.LimitReader(in, sasl.MaxSecret+int64(len("\r\n")))
	text, err := bufio.NewReader(limited).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	var salt [16]byte
	rand.Read(salt[:])
	line, err := sasl.FormatUser(user, strings.TrimRight(text, "\r\n"), sasl.DefaultIterations, salt)
	if err != nil {
		return fmt.Errorf("%w: secret: %w", errUsage, err)
	}
	fmt.Fprintln(out, line)
	return nil
}
