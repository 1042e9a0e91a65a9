// Package simwire reads and writes the simulator's line dialect.
package simwire

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"mulleinpier/policy"
)

// Item is one line of a batch for one instance: a start, a stop or an event.
type Item struct {
	Instance string
	Start    *Start
	Stop     bool
	Event    policy.Event
}

// Start begins an instance. Err tells why its settings cannot be used.
type Start struct {
	Seed     uint64
	Settings policy.Settings
	Err      error
}

// Batch is a round of items at one time.
type Batch struct {
	Now      time.Duration
	Sequence uint64
	Items    []Item
}

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	line  int
	pages [16][]policy.Endpoint
	known [16]bool
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20)}
}

// SyntaxError is a defect of the input.
type SyntaxError struct {
	Line    int
	Field   string
	Message string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Message)
}

// Read returns the next batch; io.EOF stands for the end of a whole input.
func (r *Reader) Read() (*Batch, error) {
	f, err := r.next()
	if err != nil {
		return nil, err
	}
	if f.name != "batch" {
		return nil, f.fail("message", "want batch, have "+strconv.Quote(f.name))
	}
	b := &Batch{Now: f.duration("SimTime"), Sequence: f.whole("seq", 64)}
	if f.end(); f.err != nil {
		return nil, f.err
	}
	instance := ""
	for {
		f, err := r.next()
		if err == io.EOF {
			return nil, &SyntaxError{r.line, "end", "input stops within a batch"}
		}
		if err != nil {
			return nil, err
		}
		switch f.name {
		case "end":
			if f.end(); f.err != nil {
				return nil, f.err
			}
			return b, nil
		case "about":
			instance = f.text("Who")
			f.end()
		case "census":
			if err := r.census(f); err != nil {
				return nil, err
			}
		default:
			item := r.item(f)
			if f.err == nil && instance == "" {
				return nil, f.fail("message", "no about line names the instance")
			}
			item.Instance = instance
			b.Items = append(b.Items, item)
		}
		if f.err != nil {
			return nil, f.err
		}
	}
}

func (r *Reader) next() (*fields, error) {
	text, err := r.in.ReadString('\n')
	if err == io.EOF && text != "" {
		return nil, &SyntaxError{r.line + 1, "line", "is cut short"}
	}
	if err != nil {
		return nil, err
	}
	r.line++
	name, rest, more := strings.Cut(text[:len(text)-1], "\t")
	return &fields{line: r.line, name: name, rest: rest, more: more}, nil
}

func (r *Reader) census(f *fields) error {
	page, n := f.whole("Page", 4), f.whole("Items", 20)
	if f.end(); f.err != nil {
		return f.err
	}
	var list []policy.Endpoint
	for range n {
		row, err := r.next()
		if err == io.EOF {
			return &SyntaxError{r.line, "row", "input stops within a list"}
		}
		if err != nil {
			return err
		}
		if row.name != "row" {
			return row.fail("message", "want row, have "+strconv.Quote(row.name))
		}
		list = append(list, policy.Endpoint{
			Server: row.text("Node"), Zone: row.index("Area"), MachineKind: row.index("GenerationHw"),
			Cell: row.index("Cohort"), State: policy.EndpointState(row.word("Mode", modes)),
			Weight: row.number("Rating"), StartedAt: row.duration("CameUp"),
		})
		if row.end(); row.err != nil {
			return row.err
		}
	}
	r.pages[page], r.known[page] = list, true
	return nil
}

var (
	modes     = []string{"in_service", "terminating", "terminated"}
	listKinds = []string{"incr", "total", "warm_copy", "lost"}
	results   = []string{"S", "E", "F", "T", "C", "R", "X", "N", "M"}
)

// The bits of a request's flags.
const (
	flagRepeat = 2
	flagWrite  = 4
)

// item decodes one event line.
func (r *Reader) item(f *fields) Item {
	var it Item
	switch f.name {
	case "attach":
		it.Start = &Start{Seed: f.whole("RandomSeed", 64)}
		it.Start.Settings, it.Start.Err = ParseSettings(f.remainder("Setup"))
	case "down":
		it.Stop = true
	case "update":
		it.Event = r.update(f)
	case "demand":
		it.Event = demand(f)
	case "first":
		it.Event = policy.StreamStarted{ID: f.id(), Attempt: f.index("Go"), Server: f.text("Node"),
			Took: f.duration("Took")}
	case "result":
		it.Event = policy.Outcome{ID: f.id(), Attempt: f.index("Go"), Server: f.text("Node"),
			Result: policy.Result(f.word("StateCode", results)), Took: f.duration("Took"),
			Final: f.flag("Terminal"), CacheStatus: policy.CacheStatus(f.whole("Detail", 2)), LoadReport: f.report("Metrics")}
	case "client_left":
		it.Event = policy.ClientLeft{ID: f.id()}
	case "alarm":
		it.Event = policy.TimerFired{Token: f.whole("KeyBack", 63)}
	case "probe_done":
		it.Event = policy.HealthCheckResult{Took: f.duration("Took"),
			Result: policy.Result(f.word("StateCode", results)), Server: f.text("Node"),
			LoadReport: f.report("Metrics")}
	case "whisper":
		it.Event = policy.PeerMessage{From: f.index("Sender"), Data: f.bytes("Msg")}
	default:
		f.err = f.fail("message", "unknown kind "+strconv.Quote(f.name))
	}
	f.end()
	return it
}

func (r *Reader) update(f *fields) policy.Event {
	u := policy.EndpointUpdate{Version: f.whole("Gen", 64), Kind: policy.EndpointUpdateKind(f.word("Form", listKinds))}
	page := f.whole("Page", 64)
	if f.err != nil || u.Kind == policy.EndpointsUnavailable {
		return u
	}
	if page > 15 || !r.known[page] {
		f.err = f.fail("Page", "no census has this number")
		return u
	}
	u.Endpoints = r.pages[page]
	return u
}

func demand(f *fields) policy.Event {
	a := policy.Arrival{ID: f.id(), Class: f.index("Class"), Tenant: f.index("Customer"),
		Key: f.text("Entity"), Deadline: f.duration("ValidUntil")}
	f.number("Work")
	f.number("BytesHint")
	flags := f.whole("Attrs", 63)
	a.Write, a.IsRetry = flags&flagWrite != 0, flags&flagRepeat != 0
	return a
}

// fields takes the tab-separated values of one line in order; the first
// defect stays in err.
type fields struct {
	line int
	name string
	rest string
	more bool
	err  error
}

func (f *fields) fail(field, text string) error {
	return &SyntaxError{f.line, f.name + " " + field, text}
}

func (f *fields) remainder(field string) string {
	if f.err == nil && !f.more {
		f.err = f.fail(field, "is missing")
	}
	f.more = false
	return f.rest
}

func (f *fields) end() {
	if f.err == nil && f.more {
		f.err = f.fail("line", "has more values than are known")
	}
}

// text takes a value; absent is "".
func (f *fields) text(field string) string {
	if f.err != nil {
		return ""
	}
	if !f.more {
		f.err = f.fail(field, "is missing")
		return ""
	}
	var v string
	v, f.rest, f.more = strings.Cut(f.rest, "\t")
	if v == "-" {
		return ""
	}
	return v
}

func (f *fields) bad(field, v string) {
	if f.err == nil {
		f.err = f.fail(field, "cannot be "+strconv.Quote(v))
	}
}

// number takes a finite figure; absent is 0.
func (f *fields) number(field string) float64 {
	v := f.text(field)
	if v == "" {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > 1e12 {
		f.bad(field, v)
		return 0
	}
	return x
}

func (f *fields) duration(field string) time.Duration { return millis(f.number(field)) }

func millis(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }

// whole takes an unsigned number of so many bits; absent is 0.
func (f *fields) whole(field string, bits int) uint64 {
	v := f.text(field)
	if v == "" {
		return 0
	}
	x, err := strconv.ParseUint(v, 10, bits)
	if err != nil {
		f.bad(field, v)
	}
	return x
}

func (f *fields) id() uint64 { return f.whole("Handle", 52) }

func (f *fields) index(field string) int { return int(f.whole(field, 31)) }

func (f *fields) flag(field string) bool { return f.whole(field, 1) == 1 }

// word takes one of the known words and returns its place.
func (f *fields) word(field string, known []string) int {
	v := f.text(field)
	for i, w := range known {
		if v == w {
			return i
		}
	}
	f.bad(field, v)
	return 0
}

func (f *fields) bytes(field string) []byte {
	v := f.text(field)
	data, err := hex.DecodeString(v)
	if err != nil {
		f.bad(field, v)
	}
	return data
}

func (f *fields) report(field string) *policy.LoadReport {
	v := f.text(field)
	if v == "" {
		return nil
	}
	rep := &policy.LoadReport{InFlight: -1, Queue: -1, Utilization: -1, Rate: -1, ErrorRate: -1, X0: -1, X1: -1,
		Latency: -1}
	for pair := range strings.SplitSeq(v, ",") {
		name, figure, ok := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(figure, 64)
		if !ok || err != nil || math.IsNaN(x) || math.Abs(x) > 1e12 {
			f.bad(field, v)
			return nil
		}
		switch name {
		case "active":
			rep.InFlight = x
		case "waiting":
			rep.Queue = x
		case "cpu":
			rep.Utilization = x
		case "avg_ms":
			rep.Latency = millis(x)
		case "rps":
			rep.Rate = x
		case "err_rps":
			rep.ErrorRate = x
		case "x0":
			rep.X0 = x
		case "x1":
			rep.X1 = x
		}
	}
	return rep
}
