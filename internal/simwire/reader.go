package simwire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"mulleinpier/policy"
)

// Batch is a group of items with the same virtual time.
type Batch struct {
	Now      time.Duration
	Sequence uint64
	Items    []Item
}

// Item is one line of a batch for one instance: a start, a stop or an event. Only the matching field is set.
type Item struct {
	Instance string
	Start    *Start
	Stop     bool
	Event    policy.Event
}

// Start starts an instance. Err is not nil if its settings are invalid.
type Start struct {
	Seed     uint64
	Settings policy.Settings
	Err      error
}

// SyntaxError describes invalid input.
type SyntaxError struct {
	Line    int
	Field   string
	Message string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Message)
}

const (
	readBufferBytes = 1 << 20

	// Endpoint lists are sent as numbered pages; updates refer to pages by number.
	pageBits  = 4
	pageCount = 1 << pageBits

	rowCountBits = 20 // bits of the number of rows in a page
)

// Reader reads batches, and keeps the pages of endpoint lists for later updates.
type Reader struct {
	in    *bufio.Reader
	line  int
	pages [pageCount]page
}

// page is the endpoint list that was last sent under a page number.
type page struct {
	endpoints []policy.Endpoint
	known     bool
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBufferBytes)}
}

// Read returns the next batch, or io.EOF if the input ended after a complete batch.
func (r *Reader) Read() (*Batch, error) {
	f, err := r.nextLine()
	if err != nil {
		return nil, err
	}
	if f.name != "batch" {
		return nil, f.errorf("message", "want batch, have %q", f.name)
	}
	b := &Batch{Now: f.duration("SimTime"), Sequence: f.unsigned("seq", 64)}
	f.end()
	if f.err != nil {
		return nil, f.err
	}
	if err := r.readItems(b); err != nil {
		return nil, err
	}
	return b, nil
}

// readItems reads the lines of a batch up to its end.
func (r *Reader) readItems(b *Batch) error {
	instance := ""
	for {
		f, err := r.nextRequiredLine("input ends within a batch", "end")
		if err != nil {
			return err
		}
		switch f.name {
		case "end":
			f.end()
			return f.err
		case "about":
			instance = f.text("Who")
			f.end()
		case "census":
			r.readPage(f)
		default:
			item := r.item(f)
			if f.err == nil && instance == "" {
				return f.errorf("message", "no preceding about line names an instance")
			}
			item.Instance = instance
			b.Items = append(b.Items, item)
		}
		if f.err != nil {
			return f.err
		}
	}
}

// nextLine returns the next line, or io.EOF at the end of the input.
func (r *Reader) nextLine() (*fields, error) {
	text, err := r.in.ReadString('\n')
	if err == io.EOF && text != "" {
		return nil, &SyntaxError{r.line + 1, "line", "is truncated: want a newline at its end"}
	}
	if err != nil {
		return nil, err
	}
	r.line++
	name, rest, more := strings.Cut(text[:len(text)-1], "\t")
	return &fields{line: r.line, name: name, rest: rest, more: more}, nil
}

// nextRequiredLine returns the next line. The end of the input is a SyntaxError with this message and field.
func (r *Reader) nextRequiredLine(message, field string) (*fields, error) {
	f, err := r.nextLine()
	if err == io.EOF {
		return nil, &SyntaxError{r.line, field, message}
	}
	return f, err
}

// readPage reads the rows that follow a census line. It records errors in f.
func (r *Reader) readPage(f *fields) {
	number, rows := f.unsigned("Page", pageBits), f.unsigned("Items", rowCountBits)
	f.end()
	if f.err != nil {
		return
	}
	var endpoints []policy.Endpoint
	for range rows {
		row, err := r.nextRequiredLine("input ends within a list", "row")
		if err != nil {
			f.err = err
			return
		}
		if row.name != "row" {
			f.err = row.errorf("message", "want row, have %q", row.name)
			return
		}
		endpoints = append(endpoints, row.endpoint())
		if row.err != nil {
			f.err = row.err
			return
		}
	}
	r.pages[number] = page{endpoints: endpoints, known: true}
}

// item parses an event, a start or a stop. It records errors in f.
func (r *Reader) item(f *fields) (item Item) {
	switch f.name {
	case "attach":
		item.Start = &Start{Seed: f.unsigned("RandomSeed", 64)}
		item.Start.Settings, item.Start.Err = ParseSettings(f.remainder("Setup"))
	case "down":
		item.Stop = true
	case "update":
		item.Event = r.endpointUpdate(f)
	case "demand":
		item.Event = f.arrival()
	case "first":
		item.Event = f.streamStarted()
	case "result":
		item.Event = f.outcome()
	case "client_left":
		item.Event = policy.ClientLeft{ID: f.requestID()}
	case "alarm":
		item.Event = policy.TimerFired{Token: f.unsigned("KeyBack", 63)}
	case "probe_done":
		item.Event = f.healthCheckResult()
	case "whisper":
		item.Event = policy.PeerMessage{From: f.index("Sender"), Data: f.hexBytes("Msg")}
	default:
		f.err = f.errorf("message", "unknown kind %s", strconv.Quote(f.name))
	}
	f.end()
	return item
}

func (r *Reader) endpointUpdate(f *fields) policy.Event {
	u := policy.EndpointUpdate{
		Version: f.unsigned("Gen", 64),
		Kind:    policy.EndpointUpdateKind(f.enum("Form", endpointUpdateNames)),
	}
	number := f.unsigned("Page", 64)
	if f.err != nil || u.Kind == policy.EndpointsUnavailable {
		return u
	}
	if number >= pageCount || !r.pages[number].known {
		f.err = f.errorf("Page", "no census line has this number")
		return u
	}
	u.Endpoints = r.pages[number].endpoints
	return u
}
