// Command standin plays the cases of the review: it starts the project's programs as processes, stands in for clients,
// cache nodes, the origin, discovery and the network between them, and judges what these could see.
//
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	unable = 2
)

// limit bounds a whole run.
const limit = 110 * time.Second

// record is the file record.txt of a case. Its times count from its creation.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// since returns the time since the record's start.
func (r *record) since() time.Duration { return time.Since(r.start) }

// note writes one line with the present time in seconds.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", r.since().Seconds(), fmt.Sprintf(format, args...))
}

// scenario is one case. It returns whether the rule was broken, or an error if it could not run.
type scenario func(ctx context.Context, rec *record, trouble bool) (isBroken bool, err error)

// scenarios are the cases by name; each file of a case adds its own.
var scenarios = make(map[string]scenario)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, from the root of the repository")
		return unable
	}
	for _, program := range []string{"bin/mulleinpier", "bin/mulleinctl"} {
		if _, err := os.Stat(program); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return unable
		}
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer rec.file.Close()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, with the disruption: %v", os.Args[1], trouble)
	isBroken, err := scenarios[os.Args[1]](ctx, rec, trouble)
	switch {
	case err == nil && ctx.Err() != nil:
		err = ctx.Err()
		fallthrough
	case err != nil:
		rec.note("COULD NOT RUN: %v", err)
		fmt.Println("could not run:", err)
		return unable
	case isBroken:
		rec.note("BROKEN")
		fmt.Println("broken, see", filepath.ToSlash(os.Args[2]))
		return broken
	}
	rec.note("HELD")
	fmt.Println("held")
	return held
}

var errEarly = errors.New("the set-up was not reached")
