package consul

import (
	"encoding/pem"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"mulleinpier/internal/readlimit"
)

// TestTokenIsReadForEachCall checks that each call uses the current content of the token file. Otherwise calls
// would fail after the token was rotated.
func TestTokenIsReadForEachCall(t *testing.T) {
	_, agent := startAgent(t, "second")
	file := filepath.Join(t.TempDir(), "token")
	writeFile(t, file, []byte("first\n"))
	s := SourceConfig{Agent: Agent{Address: agent.Address(), TokenFile: file}, Service: "cache"}.Open()
	var status *StatusError
	if _, err := s.Fetch(t.Context()); !errors.As(err, &status) || status.Status != http.StatusForbidden {
		t.Errorf("with the wrong token: %v", err)
	}
	writeFile(t, file, []byte("second\n"))
	if _, err := s.Fetch(t.Context()); err != nil {
		t.Errorf("with the new token: %v", err)
	}
	writeFile(t, file, []byte("second"+strings.Repeat("\n", maxTokenBytes)))
	var tooLarge *readlimit.TooLargeError
	if _, err := s.Fetch(t.Context()); !errors.As(err, &tooLarge) || !strings.Contains(err.Error(), file) {
		t.Errorf("with a file that is too large: %v", err)
	}
}

// TestCertificatesAreChecked checks that only agents with a certificate from the configured CA are trusted.
func TestCertificatesAreChecked(t *testing.T) {
	emptyList := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "[]") }
	server := httptest.NewTLSServer(http.HandlerFunc(emptyList))
	defer server.Close()
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	agent := Agent{Address: strings.TrimPrefix(server.URL, "https://"), TLS: true}
	c := SourceConfig{Agent: agent, Service: "cache"}
	if _, err := c.Open().Fetch(t.Context()); err == nil {
		t.Error("an unknown certificate was trusted")
	}
	c.CAFile = filepath.Join(t.TempDir(), "ca.pem")
	certificate := &pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}
	writeFile(t, c.CAFile, pem.EncodeToMemory(certificate))
	if _, err := c.Open().Fetch(t.Context()); err != nil {
		t.Errorf("with its CA: %v", err)
	}
	writeFile(t, c.CAFile, []byte("nothing"))
	if _, err := c.Open().Fetch(t.Context()); err == nil {
		t.Error("a file without a certificate was accepted")
	}
}
