package rpc

import (
	"log/slog"
	"net/http"
	"time"
)

const (
	// ExchangeTimeout bounds an exchange that is answered at once.
	ExchangeTimeout = 500 * time.Millisecond
	// IdleTimeout is how long a connection without a message is kept.
	IdleTimeout = 30 * time.Second

	readHeaderTimeout  = time.Second
	readTimeout        = 2 * time.Second
	maxHeaderBytes     = 8 << 10
	maxIdleConnections = 2 // to each server
)

// NewServer returns a server of fleet messages. Its errors are not logged: they are those of its clients.
func NewServer(handler http.Handler, writeTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
}

// NewClient returns a client for exchanges that are answered at once, with at most so many connections to each server,
// 0 for no bound.
func NewClient(maxConnections int) *http.Client {
	return &http.Client{
		Timeout: ExchangeTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections,
			MaxConnsPerHost:     maxConnections,
			IdleConnTimeout:     IdleTimeout,
		},
	}
}
