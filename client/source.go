package client

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"
)

// Source tells which proxies there are.
type Source interface {
	// Follow calls tell with the whole list, host:port each, at first and at each change, until ctx
	// ends or an error: then it is called again after a pause. An empty list is not put into force: the last
	// one stays.
	Follow(ctx context.Context, tell func(addresses []string)) error
}

type static []string

// Static is a list that does not change.
func Static(addresses ...string) Source { return static(addresses) }

func (s static) Follow(ctx context.Context, tell func([]string)) error {
	list, err := checked(s)
	if err != nil {
		return err
	}
	tell(list)
	<-ctx.Done()
	return ctx.Err()
}

// mostProxies bounds a list.
const mostProxies = 4096

// checked returns a list without repetitions, or what is wrong with it.
func checked(addresses []string) ([]string, error) {
	list := slices.Clone(addresses)
	slices.Sort(list)
	list = slices.Compact(list)
	for _, a := range list {
		if host, port, err := net.SplitHostPort(a); err != nil || host == "" || port == "" {
			return nil, fmt.Errorf("mulleinpier: proxy %q: want host:port", a)
		}
	}
	if len(list) > mostProxies {
		return nil, fmt.Errorf("mulleinpier: %d proxies: want at most %d", len(list), mostProxies)
	}
	return list, nil
}

type file struct {
	path  string
	every time.Duration
}

// File is a list in a file, an address a line, with comments from # on; it is read again each second. A
// change counts once it was read twice alike, as a file may be read half written.
func File(path string) Source { return file{path, time.Second} }

// mostFile bounds a file's length in bytes.
const mostFile = 1 << 20

func (f file) read() ([]string, error) {
	text, err := os.ReadFile(f.path)
	if err != nil {
		return nil, err
	}
	if len(text) > mostFile {
		return nil, fmt.Errorf("mulleinpier: %s: longer than %d bytes", f.path, mostFile)
	}
	var list []string
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		line, _, _ := strings.Cut(lines.Text(), "#")
		if line = strings.TrimSpace(line); line != "" {
			list = append(list, line)
		}
	}
	return checked(list)
}

func (f file) Follow(ctx context.Context, tell func([]string)) error {
	list, err := f.read()
	if err != nil {
		return err
	}
	tell(list)
	told, before := list, list
	ticker := time.NewTicker(f.every)
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
		if slices.Equal(list, before) && !slices.Equal(list, told) {
			told = list
			tell(list)
		}
		before = list
	}
}
