package client

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"
)

// Source provides the list of proxies.
type Source interface {
	// Follow calls update with the complete list of host:port addresses, once immediately and then after each change,
	// until ctx ends or an error occurs; after an error the client calls Follow again with a delay. An empty list does
	// not take effect: the previous one stays in use.
	Follow(ctx context.Context, update func(addresses []string)) error
}

type staticSource []string

// Static returns a source whose list does not change.
func Static(addresses ...string) Source { return staticSource(addresses) }

func (s staticSource) Follow(ctx context.Context, update func([]string)) error {
	list, err := validateAddresses(s)
	if err != nil {
		return err
	}
	update(list)
	<-ctx.Done()
	return ctx.Err()
}

// maxProxies bounds the length of a list.
const maxProxies = 4096

// validateAddresses returns the list sorted and without duplicates, or an error if it is invalid.
func validateAddresses(addresses []string) ([]string, error) {
	list := slices.Clone(addresses)
	slices.Sort(list)
	list = slices.Compact(list)
	for _, a := range list {
		if host, port, err := net.SplitHostPort(a); err != nil || host == "" || port == "" {
			return nil, fmt.Errorf("mulleinpier: proxy %q: want host:port", a)
		}
	}
	if len(list) > maxProxies {
		return nil, fmt.Errorf("mulleinpier: %d proxies: want at most %d", len(list), maxProxies)
	}
	return list, nil
}

type fileSource struct {
	path     string
	interval time.Duration
}

// filePollInterval is how often a file is read.
const filePollInterval = time.Second

// File returns a source that reads its list from a file: one address per line, with comments from # on. The file is
// read again each second. A change takes effect once two reads in a row have returned it, because the first one may
// have read a half-written file.
func File(path string) Source { return fileSource{path, filePollInterval} }

const maxFileBytes = 1 << 20

func (f fileSource) read() ([]string, error) {
	text, err := os.ReadFile(f.path)
	if err != nil {
		return nil, err
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("mulleinpier: %s: longer than %d bytes", f.path, maxFileBytes)
	}
	var list []string
	for line := range strings.Lines(string(text)) {
		line, _, _ = strings.Cut(line, "#")
		if line = strings.TrimSpace(line); line != "" {
			list = append(list, line)
		}
	}
	return validateAddresses(list)
}

func (f fileSource) Follow(ctx context.Context, update func([]string)) error {
	list, err := f.read()
	if err != nil {
		return err
	}
	update(list)
	inForce, previous := list, list
	ticker := time.NewTicker(f.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if list, err = f.read(); err != nil {
			return err
		}
		if slices.Equal(list, previous) && !slices.Equal(list, inForce) {
			inForce = list
			update(list)
		}
		previous = list
	}
}
