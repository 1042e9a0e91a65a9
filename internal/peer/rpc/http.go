package rpc

import (
	"log/slog"
	"net/http"
	"time"
)

const (
	// ExchangeTimeout bounds a request that the server answers without delay.
	ExchangeTimeout = 500 * time.Millisecond
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout = 30 * time.Second

	readHeaderTimeout  = time.Second
	readTimeout        = 2 * time.Second
	maxHeaderBytes     = 8 << 10
	maxIdleConnections = 2 // idle connections kept to each server
)

// NewServer returns an HTTP server for fleet messages. Connection errors are caused by clients and are not logged.
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

// NewClient returns an HTTP client for requests that the server answers without delay. maxConnections bounds the
// connections to each server; 0 means no bound.
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
